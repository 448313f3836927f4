"""Reading of the boot clock and the wall clock."""

import dataclasses

CLOCK_ERROR_MS = 250
"""Assumed maximum difference between the wall clocks of two hosts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Instant:
    """Reading of the boot clock and the wall clock at one point in time.

    Attributes
    ----------
    boot_ms : int
        ``CLOCK_BOOTTIME`` in milliseconds. It includes time during which
        the host or process was suspended, and can only be compared within
        one host.
    unix_ms : int
        Wall clock in milliseconds since 1970, for deadlines that are sent
        to other hosts. Hosts agree within `CLOCK_ERROR_MS`.
    """

    boot_ms: int
    unix_ms: int

    def after(self, elapsed_ms: int) -> "Instant":
        """Return the instant `elapsed_ms` milliseconds later."""
        return Instant(self.boot_ms + elapsed_ms, self.unix_ms + elapsed_ms)
