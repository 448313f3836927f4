"""Slot sharing among the entries of a domain."""

from bench.routing_fakes.domain import Domain
from bench.routing_fakes.measures import Outcome
from bench.routing_fakes.measures import summary
from bench.routing_fakes.workload import arrival_rate
from bench.routing_fakes.workload import constant_rate
from bench.routing_fakes.workload import Stream
from bench.routing_fakes.workload import Workload

SIZES = {"bakery school, 24 endpoints": 24, "Lillekoda, 9 endpoints": 9}
"""Endpoints of one domain; Lillekoda has 34 in 4 domains (9, 9, 8, 8)."""
LOADS = (0.5, 0.8, 0.95)
SKEWS = {"balanced": (1.0, 1.0, 1.0), "skewed 60/30/10": (6.0, 3.0, 1.0)}
SHARINGS = ("grants", "owners", "static", "pool")
_WARM_UP_MS = 4_500.0
_MEASURED_MS = 3_500.0


def run_steady(
    size: int, load: float, weights: tuple[float, ...], sharing: str, seed: int
) -> dict[str, float]:
    """Return the figures of a constant load."""
    domain = Domain(size, sharing, seed)
    end_ms = _WARM_UP_MS + _MEASURED_MS
    stream = Stream(constant_rate(arrival_rate(size, 8, load)), weights)
    Workload(domain, [stream], end_ms, seed)
    domain.loop.run(end_ms + 3_000.0)
    outcomes = [
        outcome
        for outcome in domain.outcomes()
        if outcome.request.arrived_ms >= _WARM_UP_MS
    ]
    return {**summary(outcomes), "over slots": float(domain.over_slots)}


def run_entry_crash(
    size: int, load: float, sharing: str, seed: int
) -> dict[str, float]:
    """Return the figures of the 7 s after the crash of an entry."""
    domain = Domain(size, sharing, seed)
    end_ms = _WARM_UP_MS + 7_000.0
    Workload(
        domain,
        [Stream(constant_rate(arrival_rate(size, 8, load)))],
        end_ms,
        seed,
    )
    domain.loop.run(_WARM_UP_MS)
    lost = 0
    if sharing != "pool":
        lost = domain.crash_entry(0)
    domain.loop.run(end_ms + 3_000.0)
    early: list[Outcome] = []
    late: list[Outcome] = []
    for outcome in domain.outcomes():
        if outcome.request.arrived_ms < _WARM_UP_MS:
            continue
        after_ms = outcome.request.arrived_ms - _WARM_UP_MS
        (early if after_ms < 4_000.0 else late).append(outcome)
    early_figures = summary(early)
    late_figures = summary(late)
    return {
        "lost in progress": float(lost),
        "p99, 0-4 s": early_figures["p99"],
        "not run %, 0-4 s": early_figures["not run %"],
        "p99, 4-7 s": late_figures["p99"],
        "not run %, 4-7 s": late_figures["not run %"],
    }
