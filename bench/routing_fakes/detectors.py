"""Statistical detectors of slow endpoints."""

import collections
import dataclasses
import statistics
from collections.abc import Iterator

from bench.routing_fakes.domain import endpoint_announcement
from bench.routing_fakes.domain import SLOTS_PER_ENDPOINT
from bench.routing_fakes.measures import percentile
from bench.routing_fakes.queueing import sojourn_and_blocking
from sardinespool.routing.endpoint_state import EndpointState
from sardinespool.routing.outliers import has_outlying_tail

PERIOD_MS = 1_000.0
LEARNING_MS = 6_000.0
_QUEUE_CAPACITY = 2 * SLOTS_PER_ENDPOINT


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Answered exchange, as observed by its entry."""

    worker_id: str
    sent_ms: float
    latency_ms: float

    @property
    def ended_ms(self) -> float:
        """Time at which the answer arrived."""
        return self.sent_ms + self.latency_ms


Alarm = tuple[float, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Detector:
    """Detector with its statistic and threshold.

    Attributes
    ----------
    kind : str
        ``built`` (the implemented outlier test), ``sojourn`` or ``blocking``
        (of the queueing model), or ``mean`` or ``tail`` (of the latencies).
    threshold : float
        Limit of the statistic or of its ratio to the reference.
    periods : int
        Consecutive periods above the threshold that raise an alarm.
    peers : bool
        Whether the reference is the other endpoints in the same period,
        instead of all endpoints in the learning time.
    """

    kind: str
    threshold: float = 0.0
    periods: int = 1
    peers: bool = False

    @property
    def name(self) -> str:
        """Name in the result tables."""
        if self.kind == "built":
            return "built outlier test"
        reference = "peers" if self.peers else "first seconds"
        if self.kind == "blocking":
            reference = "fixed"
        condition = f"{self.kind} > {self.threshold:g} ({reference})"
        return f"{condition}, n={self.periods}"

    def alarms(self, exchanges: list[Exchange]) -> list[Alarm]:
        """Return the alarms for exchanges in the order of their ends."""
        if self.kind == "built":
            return list(_outlier_test_alarms(exchanges))
        return list(self._periodic_alarms(exchanges))

    def _periodic_alarms(self, exchanges: list[Exchange]) -> Iterator[Alarm]:
        learning_periods = _ExchangesByPeriod(
            [
                exchange
                for exchange in exchanges
                if exchange.ended_ms < LEARNING_MS
            ]
        )
        latencies = [
            exchange.latency_ms
            for group in learning_periods.all_ended()
            for exchange in group
        ]
        baseline_rate = len(latencies) / sum(latencies)
        baseline_tail = percentile(latencies, 0.95)
        periods = _ExchangesByPeriod(exchanges)
        periods_exceeded: collections.Counter[str] = collections.Counter()
        for number in range(int(LEARNING_MS / PERIOD_MS), periods.count):
            by_endpoint = periods.ended_in(number)
            rates = {
                name: len(endpoint_exchanges)
                / sum(exchange.latency_ms for exchange in endpoint_exchanges)
                for name, endpoint_exchanges in by_endpoint.items()
            }
            tails = {
                name: percentile(
                    [exchange.latency_ms for exchange in endpoint_exchanges],
                    0.95,
                )
                for name, endpoint_exchanges in by_endpoint.items()
            }
            for name, endpoint_exchanges in by_endpoint.items():
                service_rate, tail = baseline_rate, baseline_tail
                if self.peers:
                    service_rate = (
                        _median_of_others(rates, name) or baseline_rate
                    )
                    tail = _median_of_others(tails, name) or baseline_tail
                arrivals = periods.sent_count(number, name) / PERIOD_MS
                arrivals = max(arrivals, 1 / PERIOD_MS)
                sojourn, blocking = _queue_model(arrivals, rates[name])
                exceeds_threshold = {
                    "sojourn": sojourn
                    > self.threshold * _queue_model(arrivals, service_rate)[0],
                    "blocking": blocking > self.threshold,
                    "mean": service_rate > self.threshold * rates[name],
                    "tail": tails[name] > self.threshold * tail
                    and len(endpoint_exchanges) >= 10,
                }[self.kind]
                periods_exceeded[name] = (
                    periods_exceeded[name] + 1 if exceeds_threshold else 0
                )
                if periods_exceeded[name] >= self.periods:
                    periods_exceeded[name] = 0
                    yield (number + 1) * PERIOD_MS, name


def _queue_model(arrivals: float, service_rate: float) -> tuple[float, float]:
    return sojourn_and_blocking(
        arrivals, service_rate, SLOTS_PER_ENDPOINT, _QUEUE_CAPACITY
    )


def _median_of_others(values: dict[str, float], name: str) -> float:
    others = [value for other, value in values.items() if other != name]
    return statistics.median(others) if others else 0.0


class _ExchangesByPeriod:
    """Exchanges grouped by period and endpoint."""

    def __init__(self, exchanges: list[Exchange]) -> None:
        self._ended: dict[int, dict[str, list[Exchange]]] = {}
        self._sent: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        for exchange in exchanges:
            by_endpoint = self._ended.setdefault(
                int(exchange.ended_ms // PERIOD_MS), {}
            )
            by_endpoint.setdefault(exchange.worker_id, []).append(exchange)
            self._sent[
                int(exchange.sent_ms // PERIOD_MS), exchange.worker_id
            ] += 1
        self.count = max(self._ended, default=0)

    def ended_in(self, number: int) -> dict[str, list[Exchange]]:
        return self._ended.get(number, {})

    def all_ended(self) -> Iterator[list[Exchange]]:
        for by_endpoint in self._ended.values():
            yield from by_endpoint.values()

    def sent_count(self, number: int, worker_id: str) -> int:
        return self._sent[number, worker_id]


def _outlier_test_alarms(exchanges: list[Exchange]) -> Iterator[Alarm]:
    names = sorted({exchange.worker_id for exchange in exchanges})
    states = {
        name: EndpointState(endpoint_announcement(number), 1, None)
        for number, name in enumerate(names)
    }
    peers = list(states.values())
    for exchange in exchanges:
        state = states[exchange.worker_id]
        new_tail = state.tail.add(exchange.latency_ms)
        if new_tail and has_outlying_tail(state, peers):
            state.tail.clear()
            if exchange.ended_ms >= LEARNING_MS:
                yield exchange.ended_ms, exchange.worker_id


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
