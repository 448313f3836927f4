"""Tests that report a slow endpoint from its exchanges."""

import collections
import dataclasses
import statistics
from collections.abc import Iterator

from bench.routing_fakes.domain import announce
from bench.routing_fakes.domain import SLOTS
from bench.routing_fakes.measures import percentile
from bench.routing_fakes.queueing import sojourn_and_blocking
from sardinespool.routing.endpoint_state import EndpointState
from sardinespool.routing.outliers import has_outlying_tail

PERIOD_MS = 1_000.0
LEARNING_MS = 6_000.0
_PLACES = 2 * SLOTS


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One answered exchange, as its entry saw it."""

    worker_id: str
    sent_ms: float
    latency_ms: float

    @property
    def ended_ms(self) -> float:
        """Arrival of the answer."""
        return self.sent_ms + self.latency_ms


Alarm = tuple[float, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Detector:
    """A test with its threshold.

    `kind` is ``built``, ``sojourn`` or ``blocking`` (the queueing model), or
    ``mean`` or ``tail`` of the latencies, without a model. `peers` compares
    with the other endpoints of the same period instead of the first seconds.
    `periods` failed in a row give an alarm.
    """

    kind: str
    threshold: float = 0.0
    periods: int = 1
    peers: bool = False

    @property
    def name(self) -> str:
        """Name in the tables."""
        if self.kind == "built":
            return "built outlier test"
        against = "peers" if self.peers else "first seconds"
        if self.kind == "blocking":
            against = "fixed"
        limit = f"{self.kind} > {self.threshold:g} ({against})"
        return f"{limit}, n={self.periods}"

    def alarms(self, exchanges: list[Exchange]) -> list[Alarm]:
        """Return the alarms of a run, exchanges in order of their ends."""
        if self.kind == "built":
            return list(_built(exchanges))
        return list(self._by_period(exchanges))

    def _by_period(self, exchanges: list[Exchange]) -> Iterator[Alarm]:
        learned = _Periods(
            [each for each in exchanges if each.ended_ms < LEARNING_MS]
        )
        latencies = [e.latency_ms for each in learned.all() for e in each]
        usual_rate = len(latencies) / sum(latencies)
        usual_tail = percentile(latencies, 0.95)
        periods = _Periods(exchanges)
        failed: collections.Counter[str] = collections.Counter()
        for number in range(int(LEARNING_MS / PERIOD_MS), periods.count):
            own = periods.of(number)
            rates = {
                name: len(ends) / sum(e.latency_ms for e in ends)
                for name, ends in own.items()
            }
            tails = {
                name: percentile([e.latency_ms for e in ends], 0.95)
                for name, ends in own.items()
            }
            for name, ends in own.items():
                rate, tail = usual_rate, usual_tail
                if self.peers:
                    rate = _median_of_others(rates, name) or usual_rate
                    tail = _median_of_others(tails, name) or usual_tail
                arrivals = periods.sent(number, name) / PERIOD_MS
                arrivals = max(arrivals, 1 / PERIOD_MS)
                sojourn, blocking = _model(arrivals, rates[name])
                is_failed = {
                    "sojourn": sojourn
                    > self.threshold * _model(arrivals, rate)[0],
                    "blocking": blocking > self.threshold,
                    "mean": rate > self.threshold * rates[name],
                    "tail": tails[name] > self.threshold * tail
                    and len(ends) >= 10,
                }[self.kind]
                failed[name] = failed[name] + 1 if is_failed else 0
                if failed[name] >= self.periods:
                    failed[name] = 0
                    yield (number + 1) * PERIOD_MS, name


def _model(arrivals: float, rate: float) -> tuple[float, float]:
    return sojourn_and_blocking(arrivals, rate, SLOTS, _PLACES)


def _median_of_others(values: dict[str, float], name: str) -> float:
    others = [value for other, value in values.items() if other != name]
    return statistics.median(others) if others else 0.0


class _Periods:
    """Exchanges by the period of their ends and starts."""

    def __init__(self, exchanges: list[Exchange]) -> None:
        self._ended: dict[int, dict[str, list[Exchange]]] = {}
        self._sent: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        for each in exchanges:
            ended = self._ended.setdefault(int(each.ended_ms // PERIOD_MS), {})
            ended.setdefault(each.worker_id, []).append(each)
            self._sent[int(each.sent_ms // PERIOD_MS), each.worker_id] += 1
        self.count = max(self._ended, default=0)

    def of(self, number: int) -> dict[str, list[Exchange]]:
        return self._ended.get(number, {})

    def all(self) -> Iterator[list[Exchange]]:
        for ended in self._ended.values():
            yield from ended.values()

    def sent(self, number: int, worker_id: str) -> int:
        return self._sent[number, worker_id]


def _built(exchanges: list[Exchange]) -> Iterator[Alarm]:
    names = sorted({each.worker_id for each in exchanges})
    states = {
        name: EndpointState(announce(number), 1, None)
        for number, name in enumerate(names)
    }
    peers = list(states.values())
    for each in exchanges:
        state = states[each.worker_id]
        new_tail = state.tail.add(each.latency_ms)
        if new_tail and has_outlying_tail(state, peers):
            state.tail.clear()
            if each.ended_ms >= LEARNING_MS:
                yield each.ended_ms, each.worker_id


DETECTORS = (
    Detector("built"),
    Detector("sojourn", 1.5, 3),
    Detector("sojourn", 2.0, 2),
    Detector("sojourn", 2.0, 3),
    Detector("sojourn", 3.0, 2),
    Detector("sojourn", 1.5, 2, peers=True),
    Detector("sojourn", 2.0, 1, peers=True),
    Detector("sojourn", 2.0, 2, peers=True),
    Detector("mean", 1.5, 3),
    Detector("mean", 1.5, 2, peers=True),
    Detector("mean", 2.0, 1, peers=True),
    Detector("mean", 2.0, 2, peers=True),
    Detector("blocking", 0.01, 3),
    Detector("blocking", 0.10, 3),
    Detector("tail", 2.0, 2),
    Detector("tail", 3.0, 1),
    Detector("tail", 2.0, 2, peers=True),
    Detector("tail", 3.0, 1, peers=True),
)
