"""Access to the clocks of the host."""

import time

from sardinespool.clock import Instant


def now() -> Instant:
    """Return the current time since boot and Unix time.

    ``CLOCK_BOOTTIME`` includes the time for which the host was suspended.
    """
    return Instant(
        boot_ms=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
        unix_ms=time.time_ns() // 1_000_000,
    )
