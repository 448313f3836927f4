"""Ground truth of the interference between task classes."""

import random

import numpy

CLASSES = tuple(f"class-{number}" for number in range(8))
CACHE_HEAVY = CLASSES[-1]
"""Class that fills caches, so throttling doesn't reduce its interference."""

LATENCY_CRITICAL_CLASS = "watcher"
SERVICES = ("service counter", "service records")


class GroundTruth:
    """Excess slowdown of a class when another one fills its host.

    The policy doesn't know these values. A quarter of the pairs interferes
    strongly, the others weakly; the effect on batch tasks is about a third of
    that on request services and grows for services with the request load.
    For the upper bound it implements the interface of the pair estimates.
    """

    def __init__(self, seed: int, cache_heavy: bool) -> None:
        rng = random.Random(f"truth {seed}")
        self.request_load = 0.5
        self._pairs: dict[tuple[str, str], float] = {}
        for disturbed in (*SERVICES, LATENCY_CRITICAL_CLASS, *CLASSES):
            scale = 1.0 if disturbed in SERVICES else 0.35
            for disturbing in CLASSES:
                is_strong = rng.random() < 0.25
                value = rng.uniform(2, 6) if is_strong else rng.uniform(0, 0.4)
                self._pairs[disturbed, disturbing] = scale * value
            self._pairs[disturbed, LATENCY_CRITICAL_CLASS] = 0.1
        for service in SERVICES:
            # One class, another for each service, always interferes strongly.
            self._pairs[service, CLASSES[SERVICES.index(service)]] = 5.0
        if cache_heavy:
            self._pairs[SERVICES[0], CACHE_HEAVY] = 4.0
        names = (*SERVICES, LATENCY_CRITICAL_CLASS, *CLASSES)
        self.index = {name: number for number, name in enumerate(names)}
        self.cache_heavy_index = self.index[CACHE_HEAVY] if cache_heavy else -1
        self.matrix = numpy.zeros((len(names), len(names)))
        for (disturbed, disturbing), value in self._pairs.items():
            self.matrix[self.index[disturbed], self.index[disturbing]] = value

    def load_factor(self) -> float:
        """Return the factor on the interference with services."""
        return 0.5 + self.request_load

    def mean(self, key: tuple[str, str]) -> float:
        """Return the excess slowdown of a pair."""
        factor = self.load_factor() if key[0] in SERVICES else 1.0
        return factor * self._pairs.get(key, 0.0)

    def keys(self) -> list[tuple[str, str]]:
        """Return all pairs of disturbed and disturbing class."""
        return list(self._pairs)

    upper = mean
    lower = mean

    def add(
        self, key: tuple[str, str], value: float, weight: float, unix_ms: int
    ) -> None:
        """Ignore the sample: the values are known."""
