"""Bounds of a worker's clock from its last reading."""


class WorkerClock:
    """Last reading of a worker's clock.

    Parameters
    ----------
    rate_min : float
        Slowest rate of the worker's clock against the local boot clock.
    """

    def __init__(self, rate_min: float) -> None:
        self._rate_min = rate_min
        self._clock_ms: int | None = None
        self._read_boot_ms = 0

    @property
    def known(self) -> bool:
        """Whether the clock was ever read."""
        return self._clock_ms is not None

    def read(self, clock_ms: int, received_boot_ms: int) -> None:
        """Take a reading; one that adds nothing is ignored."""
        if clock_ms >= self.earliest(received_boot_ms):
            self._clock_ms = clock_ms
            self._read_boot_ms = received_boot_ms

    def reset(self) -> None:
        """Forget the readings; the worker has started anew."""
        self._clock_ms = None

    def earliest(self, boot_ms: int) -> int:
        """Return a time that the worker's clock has certainly reached."""
        if self._clock_ms is None:
            return -1
        elapsed_ms = boot_ms - self._read_boot_ms
        return self._clock_ms + int(elapsed_ms * self._rate_min)

    def expected(self, boot_ms: int) -> int:
        """Return the likely time of the worker's clock.

        Raises
        ------
        ValueError
            The clock was never read.
        """
        if self._clock_ms is None:
            raise ValueError("the clock was never read")
        return self._clock_ms + boot_ms - self._read_boot_ms
