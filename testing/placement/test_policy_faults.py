"""Failing workers and jobs, urgent work, returns and cancellations."""

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


def failing_worker(ago_ms: int, **fields: Any) -> WorkerView:
    values: dict[str, Any] = {
        "failed_jobs": ("a", "b", "c"),
        "last_failure_unix_ms": NOW_UNIX_MS - ago_ms,
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
def test_worker_that_fails_everything_gets_no_tasks(
    bad: WorkerView, starts: int
) -> None:
    """Guards against a black hole that drains the queue by failing fast."""
    tasks = [queued(job(f"j{n}")) for n in range(3)]
    plan = PlacementPolicy(SETTINGS, 1).plan(view([bad], tasks))
    assert len(plan.placements) == starts


def test_running_probe_allows_no_second_one() -> None:
    """Guards against a new probe in every pass while the first runs."""
    tasks = [running(job("probe"), "bad"), queued(job("j"))]
    seen = view([failing_worker(70_000)], tasks)
    assert PlacementPolicy(SETTINGS, 1).plan(seen).placements == ()


@pytest.mark.parametrize(
    ("failed_on", "quarantine", "fails"),
    [
        pytest.param(("w1", "w2"), (), False, id="two workers"),
        pytest.param(("w1", "w2", "w3"), (), True, id="three workers"),
        pytest.param(
            ("w1", "w2", "w3"), ("w3",), False, id="one is a black hole"
        ),
        pytest.param(
            ("w1", "w2", "w3", "w4", "w5", "w6"),
            ("w1", "w2", "w3", "w4", "w5", "w6"),
            True,
            id="six workers, whatever their state",
        ),
    ],
)
def test_job_that_fails_everywhere_is_failed(
    failed_on: tuple[str, ...], quarantine: tuple[str, ...], fails: bool
) -> None:
    """Guards against endless retries, and against blame for black holes."""
    workers = [
        worker(
            f"w{n}",
            failed_jobs=("a", "b", "c") if f"w{n}" in quarantine else (),
            last_failure_unix_ms=NOW_UNIX_MS - 1,
        )
        for n in range(1, 8)
    ]
    of = job("broken")
    tasks = [
        queued(of, n, failed_workers=(name,))
        for n, name in enumerate(failed_on)
    ]
    plan = PlacementPolicy(SETTINGS, 1).plan(view(workers, tasks))
    assert {f.task_id for f in plan.failures} == (
        {task.task_id for task in tasks} if fails else set()
    )
    assert not fails or plan.placements == ()


def test_task_avoids_workers_that_it_failed_on() -> None:
    """Guards against the same worker failing one task again and again."""
    task = queued(job("j"), failed_workers=("w1",))
    plan = PlacementPolicy(SETTINGS, 1).plan(
        view([worker("w1"), worker("w2")], [task])
    )
    assert [p.worker_id for p in plan.placements] == ["w2"]


def _full_worker(state: str = "running") -> list[TaskView]:
    whole = job("whole", processors_millicores=8000)
    return [running(whole, "w", state=state)]


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
def test_urgent_task_evicts_batch_only(
    blocker: dict[str, Any], urgent: dict[str, Any], evicted: int
) -> None:
    """Guards against urgent work that waits for a full domain."""
    whole = job("whole", processors_millicores=8000, **blocker)
    tasks = [running(whole, "w"), queued(job("u", **urgent))]
    plan = PlacementPolicy(SETTINGS, 1).plan(view([worker("w")], tasks))
    assert len(plan.evictions) == evicted
    assert plan.placements == ()


def test_urgent_task_waits_for_room_that_comes_free() -> None:
    """Guards against a second eviction while the first task stops.

    The room is claimed: other tasks don't take what is free already.
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
    """Guards against an urgent burst that stops the whole batch."""
    whole = [
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
        seen = view(
            workers, [*whole, *urgent], unix_ms=NOW_UNIX_MS + 1000 * second
        )
        counts.append(len(policy.plan(seen).evictions))
    assert counts == [10, 0, 10]


def test_starts_ramp_up_after_a_return() -> None:
    """Guards against the stampede of all queued tasks on a returned domain."""
    policy = PlacementPolicy(PolicySettings(), 1)
    workers = [worker(f"w{n}") for n in range(20)]
    tasks = [
        queued(job(f"j{n}", processors_millicores=100, memory_mb=10))
        for n in range(300)
    ]
    rest = [running(job("rest"), "w1")]
    starts = []
    for second in range(12):
        seen = view(
            workers,
            tasks + rest,
            unix_ms=NOW_UNIX_MS + 1000 * second,
            in_service=second > 0,
        )
        starts.append(len(policy.plan(seen).placements))
    assert starts[0] == 0
    assert sum(starts[1:4]) < 30
    assert starts[11] == 300


def test_cancellation_wave_costs_one_pass() -> None:
    """Guards against evictions or throttles that a wave of ends triggers."""
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


def test_policy_is_rebuilt_from_nothing() -> None:
    """Guards against decisions that need the state of a lost scheduler."""
    tasks = _full_worker() + [queued(job("j"))]
    seen = view([worker("w"), worker("v")], tasks)
    plan = PlacementPolicy(PolicySettings(), 1).plan(seen)
    assert [p.worker_id for p in plan.placements] == ["v"]
