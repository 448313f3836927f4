"""Statistics of the recent latency of a service or an endpoint."""

import math

_HALF_LIFE_MS = 5_000
_TAIL_WINDOW_SAMPLES = 64
_TAIL_UPDATE_SAMPLES = 16
TAIL_QUANTILE = 0.95


class DecayedMean:
    """Exponentially decayed mean with a half-life of 5 seconds."""

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
        """Return the mean, or 0 before the first sample."""
        return self._sum / self._weight if self._weight > 1e-9 else 0.0


class TailLatency:
    """95th percentile of the last 64 latencies.

    It is updated only with every 16th sample, since sorting the window for
    each answer would cost as much as the rest of the routing.

    Attributes
    ----------
    value : float or None
        Percentile in the samples' unit, None before the 16th sample.
    """

    def __init__(self) -> None:
        self._samples: list[float] = []
        self._next_index = 0
        self.value: float | None = None

    def add(self, sample: float) -> bool:
        """Add a sample; return True if `value` was updated."""
        if len(self._samples) < _TAIL_WINDOW_SAMPLES:
            self._samples.append(sample)
        else:
            self._samples[self._next_index] = sample
        self._next_index = (self._next_index + 1) % _TAIL_WINDOW_SAMPLES
        if self._next_index % _TAIL_UPDATE_SAMPLES:
            return False
        ordered = sorted(self._samples)
        self.value = ordered[math.ceil(TAIL_QUANTILE * len(ordered)) - 1]
        return True

    def clear(self) -> None:
        """Drop all samples."""
        self._samples.clear()
        self._next_index = 0
        self.value = None
