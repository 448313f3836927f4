"""Tests of quarantine, job failures, preemption, the ramp and cancellation."""

from typing import Any

import pytest

from sardinespool.messages.tasks import TaskView
from sardinespool.messages.tasks import WorkerView
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


def failing_worker(failure_age_ms: int, **fields: Any) -> WorkerView:
    values: dict[str, Any] = {
        "failed_jobs": ("a", "b", "c"),
        "last_failure_unix_ms": NOW_UNIX_MS - failure_age_ms,
    }
    return worker("bad", **(values | fields))


@pytest.mark.parametrize(
    ("bad", "starts"),
    [
        pytest.param(failing_worker(1000), 0, id="quarantined"),
        pytest.param(failing_worker(60_000), 1, id="one probe after 60 s"),
        pytest.param(
            failing_worker(1000, failed_jobs=("a", "b")), 3, id="two jobs"
        ),
        pytest.param(
            failing_worker(1000, last_success_unix_ms=NOW_UNIX_MS),
            3,
            id="a success since",
        ),
    ],
)
def test_worker_that_fails_every_job_is_quarantined(
    bad: WorkerView, starts: int
) -> None:
    """Guards against a faulty worker that fails the whole queue quickly."""
    tasks = [queued(job(f"j{n}")) for n in range(3)]
    plan = PlacementPolicy(SETTINGS, 1).plan(view([bad], tasks))
    assert len(plan.placements) == starts


def test_running_probe_prevents_a_second_probe() -> None:
    """Guards against further probes while the first one runs."""
    tasks = [running(job("probe"), "bad"), queued(job("j"))]
    current_view = view([failing_worker(70_000)], tasks)
    assert PlacementPolicy(SETTINGS, 1).plan(current_view).placements == ()


@pytest.mark.parametrize(
    ("failed_on", "quarantine", "fails"),
    [
        pytest.param(("w1", "w2"), (), False, id="two workers"),
        pytest.param(("w1", "w2", "w3"), (), True, id="three workers"),
        pytest.param(
            ("w1", "w2", "w3"), ("w3",), False, id="one is quarantined"
        ),
        pytest.param(
            ("w1", "w2", "w3", "w4", "w5", "w6"),
            ("w1", "w2", "w3", "w4", "w5", "w6"),
            True,
            id="six workers, all quarantined",
        ),
    ],
)
def test_job_that_fails_on_several_workers_is_failed(
    failed_on: tuple[str, ...], quarantine: tuple[str, ...], fails: bool
) -> None:
    """Guards against endless retries, and against blaming jobs for workers.

    Failures on a quarantined worker do not count against the job, unless it
    failed on twice the required number of workers.
    """
    workers = [
        worker(
            f"w{n}",
            failed_jobs=("a", "b", "c") if f"w{n}" in quarantine else (),
            last_failure_unix_ms=NOW_UNIX_MS - 1,
        )
        for n in range(1, 8)
    ]
    parent_job = job("broken")
    tasks = [
        queued(parent_job, n, failed_workers=(name,))
        for n, name in enumerate(failed_on)
    ]
    plan = PlacementPolicy(SETTINGS, 1).plan(view(workers, tasks))
    assert {f.task_id for f in plan.failures} == (
        {task.task_id for task in tasks} if fails else set()
    )
    assert not fails or plan.placements == ()


def test_task_avoids_workers_that_it_failed_on() -> None:
    """Guards against repeated attempts of a task on a worker that fails it."""
    task = queued(job("j"), failed_workers=("w1",))
    plan = PlacementPolicy(SETTINGS, 1).plan(
        view([worker("w1"), worker("w2")], [task])
    )
    assert [p.worker_id for p in plan.placements] == ["w2"]


def _full_worker(state: str = "running") -> list[TaskView]:
    large_job = job("whole", processors_millicores=8000)
    return [running(large_job, "w", state=state)]


@pytest.mark.parametrize(
    ("blocker", "urgent", "evicted"),
    [
        pytest.param({}, {"priority": "urgent"}, 1, id="urgent evicts batch"),
        pytest.param({}, {}, 0, id="normal waits"),
        pytest.param(
            {"priority": "urgent"}, {"priority": "urgent"}, 0, id="not urgent"
        ),
        pytest.param(
            {"kind": "latency-critical"},
            {"priority": "urgent"},
            0,
            id="not latency-critical",
        ),
    ],
)
def test_urgent_task_evicts_only_batch_tasks(
    blocker: dict[str, Any], urgent: dict[str, Any], evicted: int
) -> None:
    """Guards against urgent tasks that wait for batch tasks to complete."""
    large_job = job("whole", processors_millicores=8000, **blocker)
    tasks = [running(large_job, "w"), queued(job("u", **urgent))]
    plan = PlacementPolicy(SETTINGS, 1).plan(view([worker("w")], tasks))
    assert len(plan.evictions) == evicted
    assert plan.placements == ()


def test_urgent_task_waits_for_stopping_task() -> None:
    """Guards against a second eviction while the first task stops.

    The capacity is reserved for the urgent task: other tasks are not placed
    on the part of it that is already free.
    """
    urgent = queued(job("u", priority="urgent", processors_millicores=7500))
    half = job("half", processors_millicores=4000)
    tasks = [
        running(half, "w", state="stopping"),
        urgent,
        queued(job("small", processors_millicores=1000)),
    ]
    plan = PlacementPolicy(SETTINGS, 1).plan(view([worker("w")], tasks))
    assert (plan.evictions, plan.placements) == ((), ())


def test_evictions_stay_within_the_budget() -> None:
    """Guards against a burst of urgent tasks that evicts all batch tasks."""
    batch_tasks = [
        running(job(f"b{n}", processors_millicores=8000), f"w{n}")
        for n in range(40)
    ]
    urgent = [
        queued(job(f"u{n}", priority="urgent", processors_millicores=8000))
        for n in range(40)
    ]
    policy = PlacementPolicy(SETTINGS, 1)
    workers = [worker(f"w{n}") for n in range(40)]
    counts = []
    for second in (0, 1, 60):
        current_view = view(
            workers,
            [*batch_tasks, *urgent],
            unix_ms=NOW_UNIX_MS + 1000 * second,
        )
        counts.append(len(policy.plan(current_view).evictions))
    assert counts == [10, 0, 10]


def test_starts_ramp_up_after_domain_returns() -> None:
    """Guards against starting all queued tasks at once after a return."""
    policy = PlacementPolicy(PolicySettings(), 1)
    workers = [worker(f"w{n}") for n in range(20)]
    tasks = [
        queued(job(f"j{n}", processors_millicores=100, memory_mb=10))
        for n in range(300)
    ]
    other_tasks = [running(job("rest"), "w1")]
    starts = []
    for second in range(12):
        current_view = view(
            workers,
            tasks + other_tasks,
            unix_ms=NOW_UNIX_MS + 1000 * second,
            in_service=second > 0,
        )
        starts.append(len(policy.plan(current_view).placements))
    assert starts[0] == 0
    assert sum(starts[1:4]) < 30
    assert starts[11] == 300


def test_cancellations_cause_no_other_decisions() -> None:
    """Guards against evictions or throttles after many tasks end at once."""
    policy = PlacementPolicy(SETTINGS, 1)
    workers = [
        worker(f"w{n}", services=("c",), request_latency_p99_ms=5.0)
        for n in range(10)
    ]
    kept = [running(job(f"k{n}"), f"w{n}") for n in range(10)]
    ending = [
        running(job(f"c{n}"), f"w{n % 10}", state="running") for n in range(50)
    ]
    policy.plan(view(workers, kept + ending))
    after = [
        running(task.job, task.worker_id, state="cancelled") for task in ending
    ]
    plan = policy.plan(view(workers, kept + after, unix_ms=NOW_UNIX_MS + 1000))
    assert plan == Plan()


def test_new_policy_plans_without_learned_state() -> None:
    """Guards against decisions that need the state of an earlier scheduler."""
    tasks = _full_worker() + [queued(job("j"))]
    current_view = view([worker("w"), worker("v")], tasks)
    plan = PlacementPolicy(PolicySettings(), 1).plan(current_view)
    assert [p.worker_id for p in plan.placements] == ["v"]
