"""Request outcomes of a run and their summary."""

import dataclasses
import math
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Caller's request; `service_ms` is its work on a healthy endpoint."""

    number: int
    arrived_ms: float
    deadline_ms: float
    service_ms: float
    service: str = "seats"
    user: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a request.

    `kind` is ``answered``, ``failed`` (a 5xx answer), ``not-run``,
    ``unknown`` or ``lost`` (its entry crashed).
    """

    request: Request
    kind: str
    ended_ms: float

    @property
    def latency_ms(self) -> float:
        """Time from the arrival at the entry to the outcome."""
        return self.ended_ms - self.request.arrived_ms

    @property
    def in_time(self) -> bool:
        """Whether the answer arrived by the deadline."""
        return (
            self.kind == "answered"
            and self.ended_ms <= self.request.deadline_ms
        )


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return a nearest-rank percentile, or NaN if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def summary(outcomes: list[Outcome]) -> dict[str, float]:
    """Return latency percentiles and outcome shares."""
    count = max(1, len(outcomes))
    answered = [
        outcome.latency_ms
        for outcome in outcomes
        if outcome.kind == "answered"
    ]
    percent_by_kind = {
        kind: 100 * sum(outcome.kind == kind for outcome in outcomes) / count
        for kind in ("failed", "not-run", "unknown", "lost")
    }
    return {
        "p50": percentile(answered, 0.5),
        "p99": percentile(answered, 0.99),
        "p999": percentile(answered, 0.999),
        "in time %": 100
        * sum(outcome.in_time for outcome in outcomes)
        / count,
        "not run %": percent_by_kind["not-run"],
        "failed %": percent_by_kind["failed"]
        + percent_by_kind["unknown"]
        + percent_by_kind["lost"],
        "requests": float(len(outcomes)),
    }
