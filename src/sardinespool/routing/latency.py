"""Recent latency of a service or an endpoint."""

import math

_HALF_LIFE_MS = 5_000
_TAIL_SAMPLES = 64
_TAIL_STEP = 16
TAIL_SHARE = 0.95


class DecayedMean:
    """Mean whose samples lose half of their weight every 5 seconds."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._weight = 0.0
        self._updated_boot_ms = 0

    def add(self, value: float, boot_ms: int) -> None:
        """Add one sample taken at `boot_ms`."""
        elapsed_ms = max(0, boot_ms - self._updated_boot_ms)
        factor = math.exp2(-elapsed_ms / _HALF_LIFE_MS)
        self._sum = self._sum * factor + value
        self._weight = self._weight * factor + 1.0
        self._updated_boot_ms = boot_ms

    def value(self) -> float:
        """Return the mean, 0 before the first sample."""
        return self._sum / self._weight if self._weight > 1e-9 else 0.0


class RecentTail:
    """95th percentile of the last 64 latencies.

    It is computed again with every 16th sample only, since sorting for each
    answer would cost as much as the rest of the routing.

    Attributes
    ----------
    value : float or None
        Percentile in the samples' unit, None before the 16th sample.
    """

    def __init__(self) -> None:
        self._samples: list[float] = []
        self._next = 0
        self.value: float | None = None

    def add(self, sample: float) -> bool:
        """Add a sample; return True if `value` was computed again."""
        if len(self._samples) < _TAIL_SAMPLES:
            self._samples.append(sample)
        else:
            self._samples[self._next] = sample
        self._next = (self._next + 1) % _TAIL_SAMPLES
        if self._next % _TAIL_STEP:
            return False
        ordered = sorted(self._samples)
        self.value = ordered[math.ceil(TAIL_SHARE * len(ordered)) - 1]
        return True

    def clear(self) -> None:
        """Forget all samples."""
        self._samples.clear()
        self._next = 0
        self.value = None
