"""Tests of the interference model, throttling and estimates."""

import random

import pytest

from sardinespool.messages.tasks import SchedulingView
from sardinespool.placement.estimates import MAXIMUM_KEYS
from sardinespool.placement.estimates import ShrunkenMeans
from sardinespool.placement.plan import Plan
from sardinespool.placement.policy import PlacementPolicy
from sardinespool.placement.settings import PolicySettings
from testing.placement.views import job
from testing.placement.views import NOW_UNIX_MS
from testing.placement.views import queued
from testing.placement.views import running
from testing.placement.views import view
from testing.placement.views import worker

SETTINGS = PolicySettings(disabled=frozenset({"ramp"}))


def view_with_interference(
    second: int, latency_factor: float, with_queued_tasks: bool
) -> SchedulingView:
    """Return workers that run a heavy class and workers with a light one."""
    rng = random.Random(second)
    workers = []
    tasks = []
    for number in range(8):
        heavy = number % 2 == 0
        latency_ms = 10.0 * (latency_factor if heavy else 1.0)
        workers.append(
            worker(
                f"w{number}",
                services=("counter",),
                request_latency_p99_ms=latency_ms * rng.uniform(0.95, 1.05),
            )
        )
        name = "heavy" if heavy else "light"
        parent_job = job(
            f"{name}{number}", task_class=name, processors_millicores=2000
        )
        tasks.append(running(parent_job, f"w{number}"))
    if with_queued_tasks:
        workers.append(worker("plain"))
        for name in ("heavy", "light"):
            parent_job = job(f"new-{name}", task_class=name)
            tasks.append(queued(parent_job))
    return view(workers, tasks, unix_ms=NOW_UNIX_MS + 1000 * second)


def plan_after_learning(
    latency_factor: float, with_queued_tasks: bool, settings: PolicySettings
) -> Plan:
    policy = PlacementPolicy(settings, 1)
    for second in range(40):
        policy.plan(
            view_with_interference(
                second, latency_factor, with_queued_tasks=False
            )
        )
    return policy.plan(
        view_with_interference(45, latency_factor, with_queued_tasks)
    )


def test_interfering_class_is_placed_on_worker_without_services() -> None:
    """Guards against placement that considers free capacity only."""
    plan = plan_after_learning(1.4, True, SETTINGS)
    worker_by_task = {p.task_id: p.worker_id for p in plan.placements}
    assert worker_by_task["new-heavy/0"] == "plain"


@pytest.mark.parametrize(
    ("latency_factor", "throttled"),
    [
        pytest.param(1.1, set(), id="interference below the limit"),
        pytest.param(
            3.0,
            {"heavy0/0", "heavy2/0", "heavy4/0", "heavy6/0"},
            id="interference above the limit",
        ),
    ],
)
def test_interfering_tasks_are_throttled_and_not_evicted(
    latency_factor: float, throttled: set[str]
) -> None:
    """Guards against evictions where throttling is sufficient."""
    plan = plan_after_learning(latency_factor, False, SETTINGS)
    assert {t.task_id for t in plan.throttles} == throttled
    assert plan.evictions == ()


def _view_with_one_slow_worker(
    share: float, latency_ms: float
) -> SchedulingView:
    workers = [
        worker(
            f"w{n}",
            services=("counter",),
            request_latency_p99_ms=latency_ms if n == 0 else 10.0,
        )
        for n in range(8)
    ]
    parent_job = job("heavy", task_class="heavy", processors_millicores=4000)
    return view(workers, [running(parent_job, "w0", throttle_share=share)])


@pytest.mark.parametrize(
    ("share", "latency_ms", "throttles", "evictions"),
    [
        pytest.param(0.25, 60.0, 0, 1, id="throttled to the minimum"),
        pytest.param(1.0, 60.0, 1, 0, id="not throttled yet"),
        pytest.param(0.25, 25.0, 0, 0, id="below the eviction limit"),
        pytest.param(0.25, 10.0, 1, 0, id="relaxed at baseline latency"),
    ],
)
def test_throttling_precedes_eviction(
    share: float, latency_ms: float, throttles: int, evictions: int
) -> None:
    """Guards against eviction before throttling, and against stale throttles.

    A task is evicted only at the minimum throttle share and with a latency
    above the eviction limit; its throttle is relaxed at a normal latency.
    """
    settings = PolicySettings(disabled=frozenset({"ramp", "interference"}))
    policy = PlacementPolicy(settings, 1)
    plan = policy.plan(_view_with_one_slow_worker(share, latency_ms))
    assert (len(plan.throttles), len(plan.evictions)) == (throttles, evictions)


def test_estimate_shrinkage_decay_and_bounds() -> None:
    """Guards against estimates dominated by one report or by old reports."""
    estimates = ShrunkenMeans[str](0.3, 0.3, 2.0, 1000, 1.0)
    assert estimates.mean("k") == 0.3
    estimates.add("k", 6.3, 1.0, 0)
    assert estimates.mean("k") == pytest.approx(2.3)
    assert estimates.lower("k") < 2.3 < estimates.upper("k")
    for _ in range(500):
        estimates.add("k", 6.3, 1.0, 0)
    assert estimates.upper("k") - estimates.lower("k") < 0.5
    estimates.add("k", 1.0, 1.0, 20_000)
    estimates.add("k", 1.0, 1.0, 20_000)
    assert estimates.mean("k") < 4.0


def test_number_of_estimates_is_bounded() -> None:
    """Guards against unbounded memory use by new task classes."""
    estimates = ShrunkenMeans[int](0.3, 0.3, 2.0, 1000, 1.0)
    for number in range(MAXIMUM_KEYS + 10):
        estimates.add(number, 1.0, 1.0, number)
    assert len(estimates.keys()) <= MAXIMUM_KEYS
    assert estimates.mean(MAXIMUM_KEYS + 9) > 0.3


def test_throttle_is_relaxed_when_worker_has_no_services() -> None:
    """Guards against throttles that outlive the worker's request services."""
    parent_job = job("heavy", task_class="heavy")
    current_view = view(
        [worker("w")], [running(parent_job, "w", throttle_share=0.25)]
    )
    plan = PlacementPolicy(SETTINGS, 1).plan(current_view)
    assert [t.share for t in plan.throttles] == [1.0]
