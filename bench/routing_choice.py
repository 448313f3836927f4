"""Choice of the endpoint, with healthy and with faulty endpoints."""

import random
from collections.abc import Mapping

from bench.routing_fakes.domain import Domain
from bench.routing_fakes.endpoint import Phase
from bench.routing_fakes.measures import summary
from bench.routing_fakes.variants import applied
from bench.routing_fakes.workload import rate
from bench.routing_fakes.workload import steady
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
"""Parts of the built rule that a scenario is about, each left out."""
ENDPOINTS = 9
_LOAD = 0.7
_WARM_UP_MS = 1_500.0
_END_MS = 6_000.0


def _phases(scenario: str, seed: int) -> Mapping[int, tuple[Phase, ...]]:
    start_ms = _WARM_UP_MS + 500.0
    generator = random.Random(f"phases/{seed}")
    match scenario:
        case "two slow":
            return {n: (Phase(0.0, _END_MS, "slow", 3.0),) for n in (0, 1)}
        case "noisy wave":
            return {
                n: (
                    Phase(
                        start_ms + 750.0 * (n % 3),
                        start_ms
                        + 750.0 * (n % 3)
                        + generator.uniform(1_500.0, 3_000.0),
                        "slow",
                        generator.uniform(2.0, 10.0),
                    ),
                )
                for n in range(3)
            }
        case "one resets":
            return {0: (Phase(start_ms, _END_MS, "reset"),)}
        case "one answers 503":
            return {0: (Phase(start_ms, _END_MS, "unavailable"),)}
        case "one hangs":
            return {0: (Phase(start_ms, _END_MS, "hang"),)}
        case "all reset 30%":
            failing = (Phase(start_ms, _END_MS, "reset", 0.3),)
            return dict.fromkeys(range(ENDPOINTS), failing)
        case "two, one hangs, one resets 5%":
            return {
                0: (Phase(start_ms, _END_MS, "hang"),),
                1: (Phase(start_ms, _END_MS, "reset", 0.05),),
            }
        case "two join cold":
            cold = (Phase(0.0, _WARM_UP_MS + 2_500.0, "slow", 4.0),)
            return dict.fromkeys((0, 1), cold)
    return {}


def run(scenario: str, variant: str, seed: int) -> dict[str, float]:
    """Return the figures of 4.5 s at 70% load, 30% with two endpoints."""
    count, load = ENDPOINTS, _LOAD
    if scenario.startswith("two, "):
        count, load = 2, 0.3
    joins_ms = {}
    if scenario == "two join cold":
        joins_ms = dict.fromkeys((0, 1), _WARM_UP_MS + 500.0)
    with applied(variant):
        domain = Domain(
            count,
            # Equal, fixed shares keep the figures apart from those of grants.
            "static",
            seed,
            phases=_phases(scenario, seed),
            hedging=variant == "hedging",
            joins_ms=joins_ms,
        )
        stream = Stream(steady(rate(count, 8, load)))
        Workload(domain, [stream], _END_MS, seed)
        domain.loop.run(_END_MS + 2_200.0)
    measured = [
        each
        for each in domain.outcomes()
        if each.request.arrived_ms >= _WARM_UP_MS
    ]
    sends = sum(entry.sends for entry in domain.entries)
    return {
        **summary(measured),
        "sends per request": sends / max(1, len(domain.outcomes())),
    }
