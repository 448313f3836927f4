"""Admission control, overload, fairness and service kinds."""

import math

from bench.routing_fakes.domain import Domain
from bench.routing_fakes.measures import Outcome
from bench.routing_fakes.measures import percentile
from bench.routing_fakes.measures import summary
from bench.routing_fakes.variants import apply_variant
from bench.routing_fakes.workload import arrival_rate
from bench.routing_fakes.workload import constant_rate
from bench.routing_fakes.workload import Stream
from bench.routing_fakes.workload import Workload

ADMISSIONS = (
    ("built", 64),
    ("without admission check", 64),
    ("without deadlines in the queue", 64),
    ("built", 4_096),
    ("without admission check", 4_096),
    ("without deadlines in the queue", 4_096),
)
OVERLOADS = (1.2, 2.0)
LOAD_MIXES = ((0.60, 0.35), (0.95, 0.05), (0.95, 0.20), (1.20, 0.20))
ENDPOINTS = 9
_WARM_UP_MS = 1_500.0
_END_MS = 5_000.0
_DEADLINES_MS = (150.0, 600.0)


def _after_warm_up(domain: Domain) -> list[Outcome]:
    return [
        outcome
        for outcome in domain.outcomes()
        if outcome.request.arrived_ms >= _WARM_UP_MS
    ]


def run_admission(
    load: float, admission: str, queue_length: int, seed: int
) -> dict[str, float]:
    """Return the figures of an overload with deadlines of 150 to 600 ms."""
    with apply_variant(admission):
        domain = Domain(ENDPOINTS, "static", seed, queue_length=queue_length)
        rate_per_ms = constant_rate(arrival_rate(ENDPOINTS, 8, load))
        stream = Stream(rate_per_ms, deadline_ms=_DEADLINES_MS)
        Workload(domain, [stream], _END_MS, seed)
        domain.loop.run(_END_MS + 2_000.0)
    outcomes = _after_warm_up(domain)
    useful_ms = sum(
        outcome.request.service_ms
        for outcome in domain.outcomes()
        if outcome.in_time
    )
    wasted_ms = sum(entry.wasted_ms for entry in domain.entries)
    figures = summary(outcomes)
    return {
        "in time %": figures["in time %"],
        "in time, % of capacity": figures["in time %"] * load,
        "not run %": figures["not run %"],
        "late or unknown %": 100 - figures["in time %"] - figures["not run %"],
        "wasted work %": 100 * wasted_ms / max(1.0, useful_ms + wasted_ms),
        "p99": figures["p99"],
    }


def run_users(fair: bool, seed: int) -> dict[str, float]:
    """Return the figures of a light user beside one with ten times its load.

    The total load is 150%.
    """
    domain = Domain(ENDPOINTS, "static", seed)
    rate_per_ms = arrival_rate(ENDPOINTS, 8, 1.5)
    streams = [
        Stream(
            constant_rate(rate_per_ms * share),
            user=name if fair else "",
            service="seats",
            deadline_ms=deadline_range_ms,
        )
        # Without fairness the users have no name: deadlines identify them.
        for name, share, deadline_range_ms in (
            ("heavy", 10 / 11, (1_000.0, 1_000.0)),
            ("light", 1 / 11, (1_001.0, 1_001.0)),
        )
    ]
    Workload(domain, streams, _END_MS, seed)
    domain.loop.run(_END_MS + 2_000.0)
    figures = {}
    for name, deadline_ms in (("heavy", 1_000.0), ("light", 1_001.0)):
        of_user = [
            outcome
            for outcome in _after_warm_up(domain)
            if math.isclose(
                outcome.request.deadline_ms - outcome.request.arrived_ms,
                deadline_ms,
            )
        ]
        figures_of_user = summary(of_user)
        figures[f"{name} in time %"] = figures_of_user["in time %"]
        figures[f"{name} p99"] = figures_of_user["p99"]
    return figures


def run_service_kinds(
    critical_load: float, batch_load: float, seed: int
) -> dict[str, float]:
    """Return the figures of a latency-critical beside a batch service."""
    domain = Domain(ENDPOINTS, "static", seed)
    streams = [
        Stream(constant_rate(arrival_rate(ENDPOINTS, 8, critical_load))),
        Stream(
            constant_rate(arrival_rate(ENDPOINTS, 8, batch_load)),
            service="report",
        ),
    ]
    Workload(domain, streams, _END_MS, seed)
    domain.loop.run(_END_MS + 2_200.0)
    outcomes = _after_warm_up(domain)
    by_kind = {
        name: [
            outcome for outcome in outcomes if outcome.request.service == name
        ]
        for name in ("seats", "report")
    }
    critical_figures = summary(by_kind["seats"])
    batch_figures = summary(by_kind["report"])
    answer_times_ms = sorted(
        outcome.ended_ms for outcome in by_kind["report"] if outcome.in_time
    )
    interval_bounds_ms = [_WARM_UP_MS, *answer_times_ms, _END_MS]
    gaps_ms = [
        b - a
        for a, b in zip(
            interval_bounds_ms, interval_bounds_ms[1:], strict=False
        )
    ]
    return {
        "critical in time %": critical_figures["in time %"],
        "critical p99": critical_figures["p99"],
        "batch in time %": batch_figures["in time %"],
        "batch p99": batch_figures["p99"],
        "longest time without a batch answer, ms": percentile(gaps_ms, 1.0),
    }
