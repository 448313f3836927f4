"""Endpoint selection among healthy and faulty endpoints."""

import random
from collections.abc import Mapping

from bench.routing_fakes.domain import Domain
from bench.routing_fakes.endpoint import FaultPhase
from bench.routing_fakes.measures import summary
from bench.routing_fakes.variants import apply_variant
from bench.routing_fakes.workload import arrival_rate
from bench.routing_fakes.workload import constant_rate
from bench.routing_fakes.workload import Stream
from bench.routing_fakes.workload import Workload

RULES = (
    "random",
    "round robin",
    "least outstanding",
    "built",
    "share times latency",
)
ABLATIONS = {
    "homogeneous": ("best of all, not two", "hedging"),
    "two slow": (
        "best of all, not two",
        "ties by latency",
        "without ejection",
        "ejection without cap",
        "hedging",
    ),
    "noisy wave": (
        "ties by latency",
        "without ejection",
        "ejection without cap",
        "hedging",
    ),
    "one resets": ("without ejection", "without retries"),
    "one answers 503": ("without ejection",),
    "one hangs": ("without ejection", "without retries", "hedging"),
    "all reset 30%": (
        "without ejection",
        "ejection without cap",
        "without retries",
        "unlimited retries",
    ),
    "two join cold": ("without slow start",),
    "two, one hangs, one resets 5%": ("queue held by a waiting retry",),
}
"""Variants of the implemented rule (``built``) to compare, by scenario."""
ENDPOINTS = 9
_LOAD = 0.7
_WARM_UP_MS = 1_500.0
_END_MS = 6_000.0


def _fault_phases(
    scenario: str, seed: int
) -> Mapping[int, tuple[FaultPhase, ...]]:
    fault_start_ms = _WARM_UP_MS + 500.0
    rng = random.Random(f"phases/{seed}")
    match scenario:
        case "two slow":
            return {
                n: (FaultPhase(0.0, _END_MS, "slow", 3.0),) for n in (0, 1)
            }
        case "noisy wave":
            return {
                n: (
                    FaultPhase(
                        fault_start_ms + 750.0 * (n % 3),
                        fault_start_ms
                        + 750.0 * (n % 3)
                        + rng.uniform(1_500.0, 3_000.0),
                        "slow",
                        rng.uniform(2.0, 10.0),
                    ),
                )
                for n in range(3)
            }
        case "one resets":
            return {0: (FaultPhase(fault_start_ms, _END_MS, "reset"),)}
        case "one answers 503":
            return {0: (FaultPhase(fault_start_ms, _END_MS, "unavailable"),)}
        case "one hangs":
            return {0: (FaultPhase(fault_start_ms, _END_MS, "hang"),)}
        case "all reset 30%":
            failing = (FaultPhase(fault_start_ms, _END_MS, "reset", 0.3),)
            return dict.fromkeys(range(ENDPOINTS), failing)
        case "two, one hangs, one resets 5%":
            return {
                0: (FaultPhase(fault_start_ms, _END_MS, "hang"),),
                1: (FaultPhase(fault_start_ms, _END_MS, "reset", 0.05),),
            }
        case "two join cold":
            slow_start = (FaultPhase(0.0, _WARM_UP_MS + 2_500.0, "slow", 4.0),)
            return dict.fromkeys((0, 1), slow_start)
    return {}


def run(scenario: str, variant: str, seed: int) -> dict[str, float]:
    """Return the figures of 4.5 s at 70% load, or 30% with two endpoints."""
    count, load = ENDPOINTS, _LOAD
    if scenario.startswith("two, "):
        count, load = 2, 0.3
    join_times_ms = {}
    if scenario == "two join cold":
        join_times_ms = dict.fromkeys((0, 1), _WARM_UP_MS + 500.0)
    with apply_variant(variant):
        domain = Domain(
            count,
            # Equal, fixed shares exclude effects of the grant table.
            "static",
            seed,
            phases=_fault_phases(scenario, seed),
            hedging=variant == "hedging",
            join_times_ms=join_times_ms,
        )
        stream = Stream(constant_rate(arrival_rate(count, 8, load)))
        Workload(domain, [stream], _END_MS, seed)
        domain.loop.run(_END_MS + 2_200.0)
    outcomes = [
        outcome
        for outcome in domain.outcomes()
        if outcome.request.arrived_ms >= _WARM_UP_MS
    ]
    sends = sum(entry.sends for entry in domain.entries)
    return {
        **summary(outcomes),
        "sends per request": sends / max(1, len(domain.outcomes())),
    }
