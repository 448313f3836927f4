"""Random arrivals of requests at a domain's entries."""

import dataclasses
import math
import random
from collections.abc import Callable

from bench.routing_fakes.domain import Domain
from bench.routing_fakes.measures import Request

MEAN_SERVICE_MS = 50.0
_SIGMA = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Poisson arrivals of one user at one service.

    `per_ms` gives the rate at a time; `weights` are the entries' shares.
    `factor` gives the multiple of the usual work at a time.
    """

    per_ms: Callable[[float], float]
    weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    service: str = "seats"
    user: str = ""
    deadline_ms: tuple[float, float] = (2_000.0, 2_000.0)
    factor: Callable[[float], float] = lambda _: 1.0


def rate(endpoint_count: int, slots: int, load: float) -> float:
    """Return the arrivals per ms that keep a share `load` of slots busy."""
    return endpoint_count * slots * load / MEAN_SERVICE_MS


def steady(per_ms: float) -> Callable[[float], float]:
    """Return a constant rate."""
    return lambda _: per_ms


class Workload:
    """Feeds streams into a domain until a time."""

    def __init__(
        self, domain: Domain, streams: list[Stream], until_ms: float, seed: int
    ) -> None:
        self._domain = domain
        self._until_ms = until_ms
        self._number = 0
        for position, stream in enumerate(streams):
            generator = random.Random(f"arrivals/{seed}/{position}")
            self._next(stream, generator)

    def _next(self, stream: Stream, generator: random.Random) -> None:
        loop = self._domain.loop
        gap_ms = generator.expovariate(stream.per_ms(loop.now_ms))
        if loop.now_ms + gap_ms < self._until_ms:
            loop.after(gap_ms, lambda: self._arrive(stream, generator))

    def _arrive(self, stream: Stream, generator: random.Random) -> None:
        self._number += 1
        now_ms = self._domain.loop.now_ms
        # Log-normal with the mean MEAN_SERVICE_MS.
        mean = math.log(MEAN_SERVICE_MS) - _SIGMA**2 / 2
        work_ms = generator.lognormvariate(mean, _SIGMA)
        entries = range(len(stream.weights))
        (entry,) = generator.choices(entries, stream.weights)
        request = Request(
            number=self._number,
            arrived_ms=now_ms,
            deadline_ms=now_ms + generator.uniform(*stream.deadline_ms),
            service_ms=work_ms * stream.factor(now_ms),
            service=stream.service,
            user=stream.user,
        )
        self._domain.arrive(entry, request)
        self._next(stream, generator)
