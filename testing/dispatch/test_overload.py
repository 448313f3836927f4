"""Share of jobs served in time under load that the fleet can't serve."""

import functools
import statistics

import pytest

from sardinespool.dispatch import placement_order
from sardinespool.dispatch import step_priority as policy
from sardinespool.dispatch.step_priority import step_priority
from sardinespool.dispatch.step_priority import StepPriority
from sardinespool.messages.manifest import QueueSpec
from sardinespool.workflows.records import StepRecord
from testing.dispatch.overload import LoadPattern
from testing.dispatch.overload import Outcome
from testing.dispatch.overload import replay

SEEDS = (1, 2)
MANY_CALLERS = LoadPattern("many-callers", 2.5, duration_ms=8_000)
ALL_DAY = LoadPattern("all-day", 1.5)
ROUGH_ESTIMATES = LoadPattern("rough-estimates", 1.5, estimate_error=0.9)
LARGE_JOBS = LoadPattern("large-jobs", 1.4, width=24, estimate_error=0.9)
CALM = LoadPattern("calm", 0.7, estimate_error=0.9)


def by_time_left(
    step: StepRecord,
    queue: QueueSpec,
    now_unix_ms: int,
    round_: int,
    overdue: bool,
    congested: bool,
) -> StepPriority:
    """Order steps by the time left to the objective, the earlier policy."""
    priority = step_priority(step, queue, now_unix_ms, round_, overdue, False)
    objective_ms = policy.objective_of(step, queue)
    age_ms = now_unix_ms - step.workflow.accepted_unix_ms
    return priority._replace(
        lateness=(age_ms > objective_ms)
        + (age_ms > policy.EXPIRY_OBJECTIVES * objective_ms),
        work_left=0.0,
        order_ms=objective_ms - age_ms,
    )


def without_work_left(*arguments: object) -> StepPriority:
    """Ablation: jobs that have begun do not precede others."""
    return step_priority(*arguments)._replace(work_left=0.0)  # type: ignore[arg-type]


def oldest_first(*arguments: object) -> StepPriority:
    """Ablation: congested queues start the oldest job first."""
    return step_priority(*arguments[:-1], False)  # type: ignore[arg-type]


@functools.cache
def replay_chosen_order(pattern: LoadPattern) -> tuple[Outcome, ...]:
    """Replay a pattern with the order of the code."""
    return tuple(replay(pattern, seed) for seed in SEEDS)


@pytest.mark.parametrize(
    ("pattern", "other", "gain_min"),
    [
        (MANY_CALLERS, by_time_left, 0.10),
        (ALL_DAY, by_time_left, 0.10),
        (ROUGH_ESTIMATES, by_time_left, 0.10),
        (LARGE_JOBS, by_time_left, 0.05),
        (CALM, by_time_left, -0.03),
        (LARGE_JOBS, without_work_left, 0.0),
        (ALL_DAY, oldest_first, 0.10),
    ],
    ids=lambda value: getattr(value, "name", getattr(value, "__name__", "")),
)
def test_more_jobs_end_in_time_than_under_another_order(
    monkeypatch: pytest.MonkeyPatch,
    pattern: LoadPattern,
    other: object,
    gain_min: float,
) -> None:
    """Guards against an order in which most jobs end late under overload."""
    chosen = replay_chosen_order(pattern)
    monkeypatch.setattr(placement_order, "step_priority", other)
    compared = [replay(pattern, seed) for seed in SEEDS]
    gain = statistics.mean(item.in_objective for item in chosen)
    gain -= statistics.mean(item.in_objective for item in compared)
    assert gain >= gain_min


@pytest.mark.parametrize("pattern", [ALL_DAY, LARGE_JOBS], ids=str)
def test_wide_jobs_are_served_as_well(pattern: LoadPattern) -> None:
    """Guards against an order that serves small jobs at the cost of others."""
    outcomes = replay_chosen_order(pattern)
    widest = statistics.mean(item.widest for item in outcomes)
    all_jobs = statistics.mean(item.in_objective for item in outcomes)
    assert widest >= all_jobs / 2
