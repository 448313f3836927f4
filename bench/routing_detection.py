"""Detection of a slow endpoint: delay against false alarms."""

import math

from bench.routing_fakes.detectors import Detector
from bench.routing_fakes.detectors import DETECTORS
from bench.routing_fakes.detectors import Exchange
from bench.routing_fakes.detectors import LEARNING_MS
from bench.routing_fakes.domain import Domain
from bench.routing_fakes.endpoint import Phase
from bench.routing_fakes.variants import applied
from bench.routing_fakes.workload import rate
from bench.routing_fakes.workload import steady
from bench.routing_fakes.workload import Stream
from bench.routing_fakes.workload import Workload

FACTORS = (2.0, 4.0, 10.0)
ENDPOINTS = 9
_SLOW_FROM_MS = 8_000.0
_SLOW_END_MS = 20_000.0
_SHIFTS = (
    # until, load, multiple of the usual work of each request
    (9_000.0, 0.5, 1.0),
    (18_000.0, 0.9, 1.0),
    (26_000.0, 0.4, 2.0),
    (34_000.0, 1.1, 1.0),
    (42_000.0, 0.3, 1.0),
)


def _shift(time_ms: float) -> tuple[float, float]:
    for until_ms, load, factor in _SHIFTS:
        if time_ms < until_ms:
            return load, factor
    return _SHIFTS[-1][1:]


def _exchanges(
    stream: Stream,
    end_ms: float,
    phases: dict[int, tuple[Phase, ...]],
    seed: int,
) -> list[Exchange]:
    """Return the exchanges that one entry with all slots sees."""
    seen: list[Exchange] = []
    with applied("without ejection"):
        domain = Domain(ENDPOINTS, "pool", seed, phases=phases)
        domain.entries[0].observer = lambda worker, sent_ms, latency_ms: (
            seen.append(Exchange(worker, sent_ms, latency_ms))
        )
        Workload(domain, [stream], end_ms, seed)
        domain.loop.run(end_ms)
    return seen


def run_shifts(seed: int) -> dict[str, float]:
    """Return false alarms per endpoint-hour while only the load shifts."""
    end_ms = _SHIFTS[-1][0]
    stream = Stream(
        lambda time_ms: rate(ENDPOINTS, 8, _shift(time_ms)[0]),
        factor=lambda time_ms: _shift(time_ms)[1],
    )
    exchanges = _exchanges(stream, end_ms, {}, seed)
    hours = ENDPOINTS * (end_ms - LEARNING_MS) / 3_600_000.0
    return {
        detector.name: len(detector.alarms(exchanges)) / hours
        for detector in DETECTORS
    }


def run_slow(factor: float, seed: int) -> dict[str, float]:
    """Return the delays (s) until a slow endpoint is reported.

    It is infinite if there is no report within 12 s.
    """
    stream = Stream(steady(rate(ENDPOINTS, 8, 0.7)))
    slow = (Phase(_SLOW_FROM_MS, _SLOW_END_MS, "slow", factor),)
    exchanges = _exchanges(stream, _SLOW_END_MS, {0: slow}, seed)
    return {each.name: _delay_s(each, exchanges) for each in DETECTORS}


def _delay_s(detector: Detector, exchanges: list[Exchange]) -> float:
    times = [
        time_ms
        for time_ms, worker_id in detector.alarms(exchanges)
        if worker_id == "w0" and time_ms > _SLOW_FROM_MS
    ]
    return (min(times) - _SLOW_FROM_MS) / 1_000.0 if times else math.inf
