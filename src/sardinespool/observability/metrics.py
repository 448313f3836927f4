"""Metrics of one process in the Prometheus text format.

Names end in a unit, or in ``_total`` for counters. All series have the
constant labels `program` and `name`.
"""

from collections.abc import Sequence

import aioprometheus

PREFIX = "sardinespool_"
LATENCY_BUCKETS_MS = (
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
    50.0,
    100.0,
    200.0,
    500.0,
    1_000.0,
    2_000.0,
    5_000.0,
    10_000.0,
    20_000.0,
)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def _escape_labels(labels: dict[str, str]) -> dict[str, str]:
    # aioprometheus does not escape label values.
    return {
        key: str(value)
        .replace("\\", "\\\\")
        .replace('"', '\\"')
        .replace("\n", "\\n")
        for key, value in labels.items()
    }


class Counter:
    """Monotonically increasing value."""

    def __init__(self, collector: aioprometheus.Counter) -> None:
        self._collector = collector

    def add(self, amount: float = 1, **labels: str) -> None:
        """Add `amount`, which must not be negative."""
        self._collector.add(_escape_labels(labels), amount)

    def inc(self, **labels: str) -> None:
        """Add one."""
        self._collector.add(_escape_labels(labels), 1)


class Gauge:
    """Value that can increase and decrease."""

    def __init__(self, collector: aioprometheus.Gauge) -> None:
        self._collector = collector

    def set(self, value: float, **labels: str) -> None:
        """Set the current value."""
        self._collector.set(_escape_labels(labels), value)


class Histogram:
    """Number of observations at or below the upper bound of each bucket."""

    def __init__(self, collector: aioprometheus.Histogram) -> None:
        self._collector = collector

    def observe(self, value: float, **labels: str) -> None:
        """Add an observation."""
        self._collector.observe(_escape_labels(labels), float(value))


class Metrics:
    """Metric registry of one process.

    Parameters
    ----------
    program : str
        Constant label, such as ``entry``.
    name : str
        Constant label, the process's name in its settings.
    """

    def __init__(self, program: str, name: str) -> None:
        self._registry = aioprometheus.Registry()
        self._constant_labels = _escape_labels(
            {"program": program, "name": name}
        )

    def counter(self, name: str, help_text: str) -> Counter:
        """Register a counter; ``_total`` is appended if it is missing."""
        full_name = PREFIX + name.removesuffix("_total") + "_total"
        return Counter(
            aioprometheus.Counter(
                full_name, help_text, self._constant_labels, self._registry
            )
        )

    def gauge(self, name: str, help_text: str) -> Gauge:
        """Register a gauge."""
        return Gauge(
            aioprometheus.Gauge(
                PREFIX + name, help_text, self._constant_labels, self._registry
            )
        )

    def histogram(
        self,
        name: str,
        help_text: str,
        buckets: Sequence[float] = LATENCY_BUCKETS_MS,
    ) -> Histogram:
        """Register a histogram; `buckets` are ascending upper bounds."""
        return Histogram(
            aioprometheus.Histogram(
                PREFIX + name,
                help_text,
                self._constant_labels,
                self._registry,
                [float(upper_bound) for upper_bound in buckets],
            )
        )

    def render(self) -> bytes:
        """Return all series as text for ``/metrics``."""
        content, _ = aioprometheus.render(self._registry, ())
        return bytes(content)
