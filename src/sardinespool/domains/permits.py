"""Start permits that the global group gives to failure domains."""

from sardinespool.clock import Instant

START_PERMIT_MS = 2_500
"""Task starts end this long after a take-out, also in a cut-off domain."""


def start_permit_deadline_unix_ms(in_service: bool, now: Instant) -> int:
    """Return the deadline of a permit given now; 0 gives none."""
    return now.unix_ms + START_PERMIT_MS if in_service else 0
