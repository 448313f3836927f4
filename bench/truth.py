"""True interference between classes, unknown to the policy."""

import random

import numpy

CLASSES = tuple(f"class-{number}" for number in range(8))
CACHE_HEAVY = CLASSES[-1]
"""Disturbs as much when it is throttled, as tasks that fill caches do."""

WATCHER = "watcher"
SERVICES = ("service counter", "service records")


class Truth:
    """Excess slowdown of one class by another that fills its host.

    A quarter of the pairs is loud, the others are quiet; batch tasks suffer
    about a third of what request services do. The effect on request
    services grows with the request load. Implements the estimates' interface
    of the policy for the upper bound.
    """

    def __init__(self, seed: int, cache_heavy: bool) -> None:
        rng = random.Random(f"truth {seed}")
        self.request_load = 0.5
        self._pairs: dict[tuple[str, str], float] = {}
        for disturbed in (*SERVICES, WATCHER, *CLASSES):
            scale = 1.0 if disturbed in SERVICES else 0.35
            for disturbing in CLASSES:
                loud = rng.random() < 0.25
                value = rng.uniform(2, 6) if loud else rng.uniform(0, 0.4)
                self._pairs[disturbed, disturbing] = scale * value
            self._pairs[disturbed, WATCHER] = 0.1
        for service in SERVICES:
            # Each service has at least one loud class, the other none of it.
            self._pairs[service, CLASSES[SERVICES.index(service)]] = 5.0
        if cache_heavy:
            self._pairs[SERVICES[0], CACHE_HEAVY] = 4.0
        names = (*SERVICES, WATCHER, *CLASSES)
        self.index = {name: number for number, name in enumerate(names)}
        self.cache_heavy_index = self.index[CACHE_HEAVY] if cache_heavy else -1
        self.matrix = numpy.zeros((len(names), len(names)))
        for (disturbed, disturbing), value in self._pairs.items():
            self.matrix[self.index[disturbed], self.index[disturbing]] = value

    def load_factor(self) -> float:
        """Return the factor of the effect on services at this load."""
        return 0.5 + self.request_load

    def mean(self, key: tuple[str, str]) -> float:
        """Return the true value of a pair."""
        factor = self.load_factor() if key[0] in SERVICES else 1.0
        return factor * self._pairs.get(key, 0.0)

    def keys(self) -> list[tuple[str, str]]:
        """Return all pairs."""
        return list(self._pairs)

    upper = mean
    lower = mean

    def add(
        self, key: tuple[str, str], value: float, weight: float, unix_ms: int
    ) -> None:
        """Ignore samples: the truth needs none."""
