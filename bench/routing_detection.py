"""Detection of a slow endpoint: delay and false alarms."""

import math

from bench.routing_fakes.detectors import Detector
from bench.routing_fakes.detectors import DETECTORS
from bench.routing_fakes.detectors import Exchange
from bench.routing_fakes.detectors import LEARNING_MS
from bench.routing_fakes.domain import Domain
from bench.routing_fakes.endpoint import FaultPhase
from bench.routing_fakes.variants import apply_variant
from bench.routing_fakes.workload import arrival_rate
from bench.routing_fakes.workload import constant_rate
from bench.routing_fakes.workload import Stream
from bench.routing_fakes.workload import Workload

FACTORS = (2.0, 4.0, 10.0)
ENDPOINTS = 9
_SLOW_FROM_MS = 8_000.0
_SLOW_END_MS = 20_000.0
_LOAD_STEPS = (
    # End (ms), load, factor on the work of each request.
    (9_000.0, 0.5, 1.0),
    (18_000.0, 0.9, 1.0),
    (26_000.0, 0.4, 2.0),
    (34_000.0, 1.1, 1.0),
    (42_000.0, 0.3, 1.0),
)


def _load_step(time_ms: float) -> tuple[float, float]:
    for until_ms, load, factor in _LOAD_STEPS:
        if time_ms < until_ms:
            return load, factor
    return _LOAD_STEPS[-1][1:]


def _exchanges(
    stream: Stream,
    end_ms: float,
    phases: dict[int, tuple[FaultPhase, ...]],
    seed: int,
) -> list[Exchange]:
    """Return the exchanges of a single entry that holds all slots."""
    exchanges: list[Exchange] = []
    with apply_variant("without ejection"):
        domain = Domain(ENDPOINTS, "pool", seed, phases=phases)
        domain.entries[0].observer = lambda worker, sent_ms, latency_ms: (
            exchanges.append(Exchange(worker, sent_ms, latency_ms))
        )
        Workload(domain, [stream], end_ms, seed)
        domain.loop.run(end_ms)
    return exchanges


def run_load_shifts(seed: int) -> dict[str, float]:
    """Return false alarms per endpoint-hour while only the load changes."""
    end_ms = _LOAD_STEPS[-1][0]
    stream = Stream(
        lambda time_ms: arrival_rate(ENDPOINTS, 8, _load_step(time_ms)[0]),
        factor=lambda time_ms: _load_step(time_ms)[1],
    )
    exchanges = _exchanges(stream, end_ms, {}, seed)
    hours = ENDPOINTS * (end_ms - LEARNING_MS) / 3_600_000.0
    return {
        detector.name: len(detector.alarms(exchanges)) / hours
        for detector in DETECTORS
    }


def run_slow(factor: float, seed: int) -> dict[str, float]:
    """Return each detector's delay in seconds for one slow endpoint.

    The delay is infinite if there is no alarm within 12 s.
    """
    stream = Stream(constant_rate(arrival_rate(ENDPOINTS, 8, 0.7)))
    slow_phase = (FaultPhase(_SLOW_FROM_MS, _SLOW_END_MS, "slow", factor),)
    exchanges = _exchanges(stream, _SLOW_END_MS, {0: slow_phase}, seed)
    return {
        detector.name: _delay_s(detector, exchanges) for detector in DETECTORS
    }


def _delay_s(detector: Detector, exchanges: list[Exchange]) -> float:
    alarm_times_ms = [
        time_ms
        for time_ms, worker_id in detector.alarms(exchanges)
        if worker_id == "w0" and time_ms > _SLOW_FROM_MS
    ]
    return (
        (min(alarm_times_ms) - _SLOW_FROM_MS) / 1_000.0
        if alarm_times_ms
        else math.inf
    )
