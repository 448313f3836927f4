"""What a run counts, and the figures made of it."""

import dataclasses
import math
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One caller's request and its work on an undisturbed endpoint."""

    number: int
    arrived_ms: float
    deadline_ms: float
    service_ms: float
    service: str = "seats"
    user: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Ending of a request.

    `kind` is ``answered``, ``failed`` (an endpoint's 5xx), ``not-run``,
    ``unknown`` or ``lost`` (its entry died).
    """

    request: Request
    kind: str
    ended_ms: float

    @property
    def latency_ms(self) -> float:
        """Time from the arrival at the entry to the ending."""
        return self.ended_ms - self.request.arrived_ms

    @property
    def in_time(self) -> bool:
        """Whether an answer came before the deadline."""
        return (
            self.kind == "answered"
            and self.ended_ms <= self.request.deadline_ms
        )


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile (nearest rank), NaN of no values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def summary(outcomes: list[Outcome]) -> dict[str, float]:
    """Return the common figures of a list of endings."""
    count = max(1, len(outcomes))
    answered = [o.latency_ms for o in outcomes if o.kind == "answered"]
    kinds = {
        kind: 100 * sum(o.kind == kind for o in outcomes) / count
        for kind in ("failed", "not-run", "unknown", "lost")
    }
    return {
        "p50": percentile(answered, 0.5),
        "p99": percentile(answered, 0.99),
        "p999": percentile(answered, 0.999),
        "in time %": 100 * sum(o.in_time for o in outcomes) / count,
        "not run %": kinds["not-run"],
        "failed %": kinds["failed"] + kinds["unknown"] + kinds["lost"],
        "requests": float(len(outcomes)),
    }
