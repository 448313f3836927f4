"""Estimate and lower bound of a worker's clock from its last reading."""

READING_TOLERANCE_MS = 100
"""Difference up to which two readings may be of one clock. It is the safety
margin of leases, which covers an error of that size."""


class WorkerClock:
    """Last reading of a worker's clock.

    Parameters
    ----------
    rate_min : float
        Slowest rate of the worker's clock relative to the local boot clock.
    """

    def __init__(self, rate_min: float) -> None:
        self._rate_min = rate_min
        self._clock_ms: int | None = None
        self._reading_boot_ms = 0

    @property
    def known(self) -> bool:
        """Whether there is a reading."""
        return self._clock_ms is not None

    def read(self, clock_ms: int, received_boot_ms: int) -> None:
        """Store a reading unless it lies below the current lower bound."""
        if clock_ms >= self.lower_bound(received_boot_ms):
            self._clock_ms = clock_ms
            self._reading_boot_ms = received_boot_ms

    def reset(self) -> None:
        """Discard the reading after a restart of the worker."""
        self._clock_ms = None

    def lower_bound(self, boot_ms: int) -> int:
        """Return a lower bound of the worker's clock, -1 without a reading."""
        if self._clock_ms is None:
            return -1
        elapsed_ms = boot_ms - self._reading_boot_ms
        return self._clock_ms + int(elapsed_ms * self._rate_min)

    def error_ms(self, boot_ms: int) -> int:
        """Return by how much the estimate may be above the worker's clock."""
        if self._clock_ms is None:
            return 0
        return self.estimate(boot_ms) - self.lower_bound(boot_ms)

    def is_below(self, clock_ms: int, sent_boot_ms: int) -> bool:
        """Return whether a reading can't be one of this clock.

        Parameters
        ----------
        clock_ms : int
            Reading in the answer to a call.
        sent_boot_ms : int
            When the call was sent; the clock was read at that time or later.
        """
        if self._clock_ms is None:
            return False
        elapsed_ms = sent_boot_ms - self._reading_boot_ms
        rate = self._rate_min if elapsed_ms > 0 else 1.0
        bound_ms = self._clock_ms + int(elapsed_ms * rate)
        return clock_ms < bound_ms - READING_TOLERANCE_MS

    def estimate(self, boot_ms: int) -> int:
        """Return the estimated time of the worker's clock.

        Raises
        ------
        ValueError
            There is no reading.
        """
        if self._clock_ms is None:
            raise ValueError("the worker's clock was never read")
        return self._clock_ms + boot_ms - self._reading_boot_ms
