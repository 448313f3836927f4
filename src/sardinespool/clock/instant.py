"""One reading of both clocks."""

import dataclasses

CLOCK_ERROR_MS = 250
"""Largest difference between two hosts' wall clocks, in milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Instant:
    """One reading of both clocks.

    Attributes
    ----------
    boot_ms : int
        ``CLOCK_BOOTTIME`` in milliseconds. It counts suspends and freezes
        and is comparable within one host only.
    unix_ms : int
        Wall clock in milliseconds since 1970, for deadlines that cross
        hosts. Hosts agree within `CLOCK_ERROR_MS`.
    """

    boot_ms: int
    unix_ms: int

    def after(self, elapsed_ms: int) -> "Instant":
        """Return the instant `elapsed_ms` milliseconds later."""
        return Instant(self.boot_ms + elapsed_ms, self.unix_ms + elapsed_ms)
