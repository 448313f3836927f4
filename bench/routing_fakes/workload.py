"""Random request arrivals at the entries of a domain."""

import dataclasses
import math
import random
from collections.abc import Callable

from bench.routing_fakes.domain import Domain
from bench.routing_fakes.measures import Request

MEAN_SERVICE_MS = 50.0
_SERVICE_SIGMA = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Poisson arrivals of one user at one service.

    Attributes
    ----------
    rate_per_ms : callable
        Arrival rate at a virtual time.
    weights : tuple of float
        Relative shares of the entries.
    deadline_ms : tuple of float
        Range of the time from arrival to deadline.
    factor : callable
        Factor on the work of each request at a virtual time.
    """

    rate_per_ms: Callable[[float], float]
    weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    service: str = "seats"
    user: str = ""
    deadline_ms: tuple[float, float] = (2_000.0, 2_000.0)
    factor: Callable[[float], float] = lambda _: 1.0


def arrival_rate(endpoint_count: int, slots: int, load: float) -> float:
    """Return the arrivals per ms that keep the share `load` of slots busy."""
    return endpoint_count * slots * load / MEAN_SERVICE_MS


def constant_rate(rate_per_ms: float) -> Callable[[float], float]:
    """Return a rate function that is constant over time."""
    return lambda _: rate_per_ms


class Workload:
    """Generates the requests of streams until an end time."""

    def __init__(
        self, domain: Domain, streams: list[Stream], until_ms: float, seed: int
    ) -> None:
        self._domain = domain
        self._until_ms = until_ms
        self._number = 0
        for position, stream in enumerate(streams):
            rng = random.Random(f"arrivals/{seed}/{position}")
            self._schedule_next(stream, rng)

    def _schedule_next(self, stream: Stream, rng: random.Random) -> None:
        loop = self._domain.loop
        gap_ms = rng.expovariate(stream.rate_per_ms(loop.now_ms))
        if loop.now_ms + gap_ms < self._until_ms:
            loop.call_later(gap_ms, lambda: self._arrive(stream, rng))

    def _arrive(self, stream: Stream, rng: random.Random) -> None:
        self._number += 1
        now_ms = self._domain.loop.now_ms
        # Location of a log-normal with mean MEAN_SERVICE_MS.
        location = math.log(MEAN_SERVICE_MS) - _SERVICE_SIGMA**2 / 2
        work_ms = rng.lognormvariate(location, _SERVICE_SIGMA)
        entries = range(len(stream.weights))
        (entry,) = rng.choices(entries, stream.weights)
        request = Request(
            number=self._number,
            arrived_ms=now_ms,
            deadline_ms=now_ms + rng.uniform(*stream.deadline_ms),
            service_ms=work_ms * stream.factor(now_ms),
            service=stream.service,
            user=stream.user,
        )
        self._domain.arrive(entry, request)
        self._schedule_next(stream, rng)
