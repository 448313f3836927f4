"""Metrics of one process, in the Prometheus text format.

Names end in their unit or in ``_total`` for counters. Every series has the
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


def _labels(labels: dict[str, str]) -> dict[str, str]:
    # aioprometheus writes label values as they are.
    return {
        key: str(value)
        .replace("\\", "\\\\")
        .replace('"', '\\"')
        .replace("\n", "\\n")
        for key, value in labels.items()
    }


class Counter:
    """A number that only grows."""

    def __init__(self, collector: aioprometheus.Counter) -> None:
        self._collector = collector

    def add(self, amount: float = 1, **labels: str) -> None:
        """Add `amount`, which must not be negative."""
        self._collector.add(_labels(labels), amount)

    def inc(self, **labels: str) -> None:
        """Add one."""
        self._collector.add(_labels(labels), 1)


class Gauge:
    """A number that grows and shrinks."""

    def __init__(self, collector: aioprometheus.Gauge) -> None:
        self._collector = collector

    def set(self, value: float, **labels: str) -> None:
        """Set the present value."""
        self._collector.set(_labels(labels), value)


class Histogram:
    """Counts of observations at or below each bucket's bound."""

    def __init__(self, collector: aioprometheus.Histogram) -> None:
        self._collector = collector

    def observe(self, value: float, **labels: str) -> None:
        """Count one observation."""
        self._collector.observe(_labels(labels), float(value))


class Metrics:
    """Registry of one process.

    Parameters
    ----------
    program : str
        Constant label, such as ``entry``.
    name : str
        Constant label, the process's name in its settings.
    """

    def __init__(self, program: str, name: str) -> None:
        self._registry = aioprometheus.Registry()
        self._constant = _labels({"program": program, "name": name})

    def counter(self, name: str, doc: str) -> Counter:
        """Register a counter; ``_total`` is appended if it is missing."""
        full_name = PREFIX + name.removesuffix("_total") + "_total"
        return Counter(
            aioprometheus.Counter(
                full_name, doc, self._constant, self._registry
            )
        )

    def gauge(self, name: str, doc: str) -> Gauge:
        """Register a gauge."""
        return Gauge(
            aioprometheus.Gauge(
                PREFIX + name, doc, self._constant, self._registry
            )
        )

    def histogram(
        self,
        name: str,
        doc: str,
        buckets: Sequence[float] = LATENCY_BUCKETS_MS,
    ) -> Histogram:
        """Register a histogram; `buckets` are ascending upper bounds."""
        return Histogram(
            aioprometheus.Histogram(
                PREFIX + name,
                doc,
                self._constant,
                self._registry,
                [float(bound) for bound in buckets],
            )
        )

    def render(self) -> bytes:
        """Return all series as text for ``/metrics``."""
        content, _ = aioprometheus.render(self._registry, ())
        return bytes(content)
