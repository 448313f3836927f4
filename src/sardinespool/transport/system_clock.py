"""Reading of the host's clocks."""

import time

from sardinespool.clock import Instant


def now() -> Instant:
    """Return the present instant.

    ``CLOCK_BOOTTIME`` also counts the time for which the host was suspended.
    """
    return Instant(
        boot_ms=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
        unix_ms=time.time_ns() // 1_000_000,
    )
