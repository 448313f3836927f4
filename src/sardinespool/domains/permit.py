"""The start permit that the global group gives a failure domain."""

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.clock import Instant

START_PERMIT_MS = 2_500
"""Task starts end this long after a take-out, also in a cut-off domain."""


def start_permit_deadline_unix_ms(in_service: bool, now: Instant) -> int:
    """Return the deadline of a permit given now; 0 gives none."""
    return now.unix_ms + START_PERMIT_MS if in_service else 0


class StartPermit:
    """Deadline of the newest permit; volatile, on the leader only.

    Attributes
    ----------
    deadline_unix_ms : int
        0 when no task may start.
    """

    def __init__(self) -> None:
        self.deadline_unix_ms = 0
        self._version = 0

    def update(self, version: int, deadline_unix_ms: int) -> None:
        """Take the permit of a reply of the global group.

        A reply of an earlier version, or one of the same version that was
        overtaken, does not extend the permit. A refusal holds at once.
        """
        if version < self._version:
            return
        if version > self._version or deadline_unix_ms == 0:
            self._version = version
            self.deadline_unix_ms = deadline_unix_ms
        else:
            self.deadline_unix_ms = max(
                self.deadline_unix_ms, deadline_unix_ms
            )

    def start_deadline_unix_ms(self, now_unix_ms: int) -> int:
        """Return the deadline for starts placed now, 0 if none may start."""
        deadline_unix_ms = self.deadline_unix_ms - CLOCK_ERROR_MS
        return deadline_unix_ms if deadline_unix_ms > now_unix_ms else 0
