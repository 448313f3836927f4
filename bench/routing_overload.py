"""Admission, overload, users and kinds of services."""

import math

from bench.routing_fakes.domain import Domain
from bench.routing_fakes.measures import Outcome
from bench.routing_fakes.measures import percentile
from bench.routing_fakes.measures import summary
from bench.routing_fakes.variants import applied
from bench.routing_fakes.workload import rate
from bench.routing_fakes.workload import steady
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
MIXES = ((0.60, 0.35), (0.95, 0.05), (0.95, 0.20), (1.20, 0.20))
ENDPOINTS = 9
_WARM_UP_MS = 1_500.0
_END_MS = 5_000.0
_DEADLINES_MS = (150.0, 600.0)


def _measured(domain: Domain) -> list[Outcome]:
    return [
        each
        for each in domain.outcomes()
        if each.request.arrived_ms >= _WARM_UP_MS
    ]


def run_admission(
    load: float, admission: str, queue_length: int, seed: int
) -> dict[str, float]:
    """Return the figures of an overload with deadlines of 150 to 600 ms."""
    with applied(admission):
        domain = Domain(ENDPOINTS, "static", seed, queue_length=queue_length)
        per_ms = steady(rate(ENDPOINTS, 8, load))
        stream = Stream(per_ms, deadline_ms=_DEADLINES_MS)
        Workload(domain, [stream], _END_MS, seed)
        domain.loop.run(_END_MS + 2_000.0)
    outcomes = _measured(domain)
    useful_ms = sum(
        each.request.service_ms for each in domain.outcomes() if each.in_time
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
    """Return the figures of a light user beside one with ten times as many.

    The whole load is 150%.
    """
    domain = Domain(ENDPOINTS, "static", seed)
    per_ms = rate(ENDPOINTS, 8, 1.5)
    streams = [
        Stream(
            steady(per_ms * share),
            user=name if fair else "",
            service="seats",
            deadline_ms=deadline,
        )
        # The deadline tells the users apart where the queue must not.
        for name, share, deadline in (
            ("heavy", 10 / 11, (1_000.0, 1_000.0)),
            ("light", 1 / 11, (1_001.0, 1_001.0)),
        )
    ]
    Workload(domain, streams, _END_MS, seed)
    domain.loop.run(_END_MS + 2_000.0)
    figures = {}
    for name, slack_ms in (("heavy", 1_000.0), ("light", 1_001.0)):
        own = [
            each
            for each in _measured(domain)
            if math.isclose(
                each.request.deadline_ms - each.request.arrived_ms, slack_ms
            )
        ]
        of_user = summary(own)
        figures[f"{name} in time %"] = of_user["in time %"]
        figures[f"{name} p99"] = of_user["p99"]
    return figures


def run_kinds(critical: float, batch: float, seed: int) -> dict[str, float]:
    """Return the figures of latency-critical beside batch services."""
    domain = Domain(ENDPOINTS, "static", seed)
    streams = [
        Stream(steady(rate(ENDPOINTS, 8, critical))),
        Stream(steady(rate(ENDPOINTS, 8, batch)), service="report"),
    ]
    Workload(domain, streams, _END_MS, seed)
    domain.loop.run(_END_MS + 2_200.0)
    measured = _measured(domain)
    by_kind = {
        name: [o for o in measured if o.request.service == name]
        for name in ("seats", "report")
    }
    counter = summary(by_kind["seats"])
    report = summary(by_kind["report"])
    ends = sorted(each.ended_ms for each in by_kind["report"] if each.in_time)
    edges = [_WARM_UP_MS, *ends, _END_MS]
    gaps = [b - a for a, b in zip(edges, edges[1:], strict=False)]
    return {
        "critical in time %": counter["in time %"],
        "critical p99": counter["p99"],
        "batch in time %": report["in time %"],
        "batch p99": report["p99"],
        "longest time without a batch answer, ms": percentile(gaps, 1.0),
    }
