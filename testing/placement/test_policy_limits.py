"""Tests of hard limits, ordering and feasibility of placements."""

import random
from typing import Any

import pytest

from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import reservation
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


def plan_of(current_view: SchedulingView) -> Plan:
    return PlacementPolicy(SETTINGS, 1).plan(current_view)


def workers_by_task(plan: Plan) -> dict[str, str]:
    return {item.task_id: item.worker_id for item in plan.placements}


@pytest.mark.parametrize(
    ("task_fields", "worker_fields", "expected"),
    [
        pytest.param({"memory_mb": 6000}, {}, 2, id="memory of the plan"),
        pytest.param(
            {"processors_millicores": 3000}, {}, 2, id="processors of the plan"
        ),
        pytest.param(
            {"accelerators": 1}, {"accelerators": 1}, 1, id="accelerators"
        ),
        pytest.param({}, {"leaving": True}, 0, id="leaving worker"),
        pytest.param({}, {"lost": True}, 0, id="lost worker"),
    ],
)
def test_placements_of_one_plan_fit_the_worker(
    task_fields: dict[str, Any], worker_fields: dict[str, Any], expected: int
) -> None:
    """Guards against limits that ignore other placements of the plan."""
    parent_job = job("j", **task_fields)
    tasks = [queued(parent_job, number) for number in range(3)]
    plan = plan_of(view([worker("w", **worker_fields)], tasks))
    assert len(plan.placements) == expected


@pytest.mark.parametrize(
    ("observed_mb", "expected"), [(1000, 1), (10_000, 1), (12_100, 0)]
)
def test_observed_use_is_reserved_with_margin(
    observed_mb: int, expected: int
) -> None:
    """Guards against overcommitment by declared sizes that are too small."""
    other = job("busy", task_class="other")
    busy = running(other, "w", observed_memory_mb=observed_mb)
    plan = plan_of(view([worker("w")], [busy, queued(job("j"))]))
    assert len(plan.placements) == expected


def test_observed_use_of_a_class_raises_the_reservation() -> None:
    """Guards against overload by tasks that exceed their declared size."""
    running_tasks = [
        running(
            job(f"old{n}"),
            "w",
            observed_memory_mb=3000,
            observed_processors_millicores=1000,
        )
        for n in range(4)
    ]
    plan = plan_of(
        view([worker("w"), worker("v")], [*running_tasks, queued(job("j"))])
    )
    assert plan.placements[0].memory_mb > 1500


def test_quota_of_the_team_limits_the_plan() -> None:
    """Guards against a plan whose placements together exceed a quota."""
    tasks = [queued(job("j"), number) for number in range(5)]
    quotas = {"a": {"processors_millicores": 2500}}
    plan = plan_of(view([worker("w")], tasks, quotas=quotas))
    assert len(plan.placements) == 2


@pytest.mark.parametrize(
    ("first", "second", "quotas"),
    [
        pytest.param(
            {"priority": "urgent"},
            {"finish_deadline_unix_ms": NOW_UNIX_MS + 1},
            {},
            id="urgent before the tightest deadline",
        ),
        pytest.param(
            {"finish_deadline_unix_ms": NOW_UNIX_MS + 70_000},
            {"finish_deadline_unix_ms": NOW_UNIX_MS + 10**7},
            {},
            id="least slack first",
        ),
        pytest.param(
            {"team": "small"},
            {"team": "large"},
            {
                "small": {"processors_millicores": 100_000},
                "large": {"processors_millicores": 2_100},
            },
            id="smaller share of the quota first",
        ),
    ],
)
def test_placement_order(
    first: dict[str, Any],
    second: dict[str, Any],
    quotas: dict[str, dict[str, int]],
) -> None:
    """Guards against placement in order of arrival."""
    teams = [running(job(f"use-{team}", team=team), "v") for team in quotas]
    size_fields = {"processors_millicores": 8000, "memory_mb": 9000}
    if quotas:
        size_fields = {"processors_millicores": 1000, "memory_mb": 9000}
    early = queued(job("a-second", **(size_fields | second)), queued_unix_ms=1)
    late = queued(job("z-first", **(size_fields | first)), queued_unix_ms=2)
    plan = plan_of(
        view(
            [worker("w"), worker("v", lost=True)],
            [early, late, *teams],
            quotas=quotas,
        )
    )
    assert list(workers_by_task(plan)) == ["z-first/0"]


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"processors_millicores": 9000}, "larger than any worker"),
        ({"accelerators": 1}, "larger than any worker"),
        ({"memory_mb": 12_000}, "larger than the quota of its team"),
    ],
)
def test_infeasible_job_is_reported_and_does_not_block_others(
    fields: dict[str, Any], reason: str
) -> None:
    """Guards against head-of-line blocking by a job that is never placed."""
    huge = queued(job("huge", priority="urgent", **fields))
    full = running(job("full", memory_mb=14_000, team="b"), "w")
    tasks = [huge, queued(job("small")), full]
    quotas = {"a": {"memory_mb": 11_000}}
    plan = plan_of(view([worker("w")], tasks, quotas=quotas))
    assert [(u.job_id, u.reason) for u in plan.unplaceable] == [
        ("huge", reason)
    ]
    assert list(workers_by_task(plan)) == ["small/0"]
    assert plan.evictions == ()


def test_task_that_used_a_whole_worker_is_placed_again() -> None:
    """Guards against a margin that makes a task larger than every worker."""
    task = queued(
        job("j"),
        attempt=1,
        observed_processors_millicores=8000,
        observed_memory_mb=2000,
    )
    plan = plan_of(view([worker("w")], [task]))
    assert plan.placements[0].processors_millicores == 8000


@pytest.mark.parametrize(
    "fields",
    [
        {"in_service": False},
        {"start_permit_deadline_unix_ms": NOW_UNIX_MS + 250},
        {"start_permit_deadline_unix_ms": 0},
    ],
)
def test_no_placements_without_start_permit(fields: dict[str, Any]) -> None:
    """Guards against starts without a valid start permit (R4)."""
    assert plan_of(view([worker("w")], [queued(job("j"))], **fields)) == Plan()


def test_latency_critical_tasks_spread_over_racks() -> None:
    """Guards against a rack failure that stops all tasks of a job."""
    parent_job = job("lc", kind="latency-critical")
    workers = [worker(f"w{n}", rack=f"r{n // 4}") for n in range(12)]
    plan = plan_of(view(workers, [queued(parent_job, n) for n in range(6)]))
    racks = [int(w[1:]) // 4 for w in workers_by_task(plan).values()]
    assert [racks.count(rack) for rack in range(3)] == [2, 2, 2]


def _random_view(seed: int) -> SchedulingView:
    rng = random.Random(seed)
    workers = [
        worker(
            f"w{n}",
            accelerators=rng.choice((0, 0, 2)),
            memory_mb=rng.choice((8000, 64_000)),
            services=("counter",) if rng.random() < 0.5 else (),
            request_latency_p99_ms=rng.uniform(1, 50),
            lost=rng.random() < 0.1,
            leaving=rng.random() < 0.1,
        )
        for n in range(rng.randint(1, 90))
    ]
    tasks: list[TaskView] = []
    for n in range(rng.randint(0, 400)):
        parent_job = job(
            f"j{n}",
            team=rng.choice("abc"),
            priority=rng.choice(("normal", "normal", "urgent")),
            kind=rng.choice(("batch", "batch", "latency-critical")),
            processors_millicores=rng.choice((100, 900, 3000, 7900)),
            memory_mb=rng.choice((50, 700, 5000, 30_000)),
            accelerators=rng.choice((0, 0, 0, 1)),
            task_class=rng.choice(("x", "y", "")),
        )
        use = {"observed_memory_mb": rng.choice((0, 100, 6000))}
        if rng.random() < 0.2:
            tasks.append(
                running(parent_job, rng.choice(workers).worker_id, **use)
            )
        else:
            tasks.append(queued(parent_job, **use))
    return view(workers, tasks, quotas={"a": {"running_tasks": 40}})


@pytest.mark.parametrize("seed", range(60))
def test_no_plan_overcommits_a_worker(seed: int) -> None:
    """Guards against overcommitted workers (R1), with random views."""
    policy = PlacementPolicy(SETTINGS, seed)
    current_view = _random_view(seed)
    for number in range(2):
        plan = policy.plan(current_view)
        by_id = {task.task_id: task for task in current_view.tasks}
        starts = [item.task_id for item in plan.placements]
        assert len(starts) == len(set(starts))
        for host in current_view.workers:
            before = [
                reservation(task, 1.25)
                for task in current_view.tasks
                if task.worker_id == host.worker_id
            ]
            new = [p for p in plan.placements if p.worker_id == host.worker_id]
            if not new:
                continue
            assert not host.lost and not host.leaving
            jobs = [by_id[p.task_id].job for p in new]
            assert (
                sum(d.processors_millicores for d in before)
                + sum(p.processors_millicores for p in new)
                <= host.processors_millicores
            )
            assert (
                sum(d.memory_mb for d in before)
                + sum(p.memory_mb for p in new)
                <= host.memory_mb
            )
            assert (
                sum(d.accelerators for d in before)
                + sum(parent_job.accelerators for parent_job in jobs)
                <= host.accelerators
            )
            for item, parent_job in zip(new, jobs, strict=True):
                assert (
                    item.processors_millicores
                    >= parent_job.processors_millicores
                )
                assert item.memory_mb >= parent_job.memory_mb
        current_view = _random_view(seed + 1000 * (number + 1))
