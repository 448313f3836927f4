"""Sharing of slots among the entries of a domain."""

from bench.routing_fakes.domain import Domain
from bench.routing_fakes.measures import Outcome
from bench.routing_fakes.measures import summary
from bench.routing_fakes.workload import rate
from bench.routing_fakes.workload import steady
from bench.routing_fakes.workload import Stream
from bench.routing_fakes.workload import Workload

SIZES = {"bakery school, 24 endpoints": 24, "Lillekoda, 9 endpoints": 9}
"""Lillekoda's 34 endpoints are 9, 9, 8 and 8 in its four domains."""
LOADS = (0.5, 0.8, 0.95)
SKEWS = {"balanced": (1.0, 1.0, 1.0), "skewed 60/30/10": (6.0, 3.0, 1.0)}
SHARINGS = ("grants", "owners", "static", "pool")
_WARM_UP_MS = 4_500.0
_MEASURED_MS = 3_500.0


def run_steady(
    size: int, load: float, weights: tuple[float, ...], sharing: str, seed: int
) -> dict[str, float]:
    """Return the figures of a steady load."""
    domain = Domain(size, sharing, seed)
    end_ms = _WARM_UP_MS + _MEASURED_MS
    stream = Stream(steady(rate(size, 8, load)), weights)
    Workload(domain, [stream], end_ms, seed)
    domain.loop.run(end_ms + 3_000.0)
    measured = [
        each
        for each in domain.outcomes()
        if each.request.arrived_ms >= _WARM_UP_MS
    ]
    return {**summary(measured), "over slots": float(domain.over_slots)}


def run_death(
    size: int, load: float, sharing: str, seed: int
) -> dict[str, float]:
    """Return what the death of an entry costs in the 7 s after it."""
    domain = Domain(size, sharing, seed)
    end_ms = _WARM_UP_MS + 7_000.0
    Workload(domain, [Stream(steady(rate(size, 8, load)))], end_ms, seed)
    domain.loop.run(_WARM_UP_MS)
    lost = 0
    if sharing != "pool":
        lost = domain.kill(0)
    domain.loop.run(end_ms + 3_000.0)
    early: list[Outcome] = []
    late: list[Outcome] = []
    for each in domain.outcomes():
        if each.request.arrived_ms < _WARM_UP_MS:
            continue
        after_ms = each.request.arrived_ms - _WARM_UP_MS
        (early if after_ms < 4_000.0 else late).append(each)
    first = summary(early)
    second = summary(late)
    return {
        "lost in progress": float(lost),
        "p99, 0-4 s": first["p99"],
        "not run %, 0-4 s": first["not run %"],
        "p99, 4-7 s": second["p99"],
        "not run %, 4-7 s": second["not run %"],
    }
