"""Tests of the scheduler's planning loop against a fake group."""

import asyncio

import pytest

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Refused
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.tasks import PlacementResult
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import PlaceTasksReply
from sardinespool.messages.tasks import SchedulerSync
from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import TaskList
from sardinespool.messages.tasks import Throttle
from sardinespool.observability.metrics import Metrics
from sardinespool.placement.plan import Eviction
from sardinespool.placement.plan import Plan
from sardinespool.placement.plan import TaskFailure
from sardinespool.placement.policy import PlacementPolicy
from sardinespool.placement.settings import PolicySettings
from sardinespool.programs.scheduler.plan_sender import build_requests
from sardinespool.programs.scheduler.planning_task import PlanningTask
from sardinespool.programs.scheduler.planning_task import READY_PASS_AGE_MAX_MS
from sardinespool.programs.scheduler.scheduler_metrics import SchedulerMetrics
from testing.placement.views import job
from testing.placement.views import NOW_UNIX_MS
from testing.placement.views import queued
from testing.placement.views import running
from testing.placement.views import view
from testing.placement.views import worker


class FakeGroup:
    """Answers a sync with a reply or an error and records all requests."""

    def __init__(self, sync_reply: Reply | SardinespoolError) -> None:
        self.sync_reply = sync_reply
        self.requests: list[Request] = []
        self.boot_ms = 1000
        self.called = asyncio.Event()

    def now(self) -> Instant:
        return Instant(self.boot_ms, NOW_UNIX_MS)

    async def call(self, request: Request, deadline_unix_ms: int) -> Reply:
        self.requests.append(request)
        self.called.set()
        assert deadline_unix_ms > NOW_UNIX_MS
        if isinstance(request, SchedulerSync):
            if isinstance(self.sync_reply, SardinespoolError):
                raise self.sync_reply
            return self.sync_reply
        if isinstance(request, PlaceTasks):
            return PlaceTasksReply(
                results=tuple(
                    PlacementResult(
                        task_id=p.task_id, placed=False, code="worker-full"
                    )
                    for p in request.placements
                )
            )
        return TaskList(tasks=())

    def planning_task(self) -> tuple[PlanningTask, Metrics]:
        metrics = Metrics("scheduler", "s1")
        settings = PolicySettings(disabled=frozenset({"ramp"}))
        task = PlanningTask(
            "s1",
            self,
            PlacementPolicy(settings, 1),
            SchedulerMetrics(metrics),
            self.now,
            500,
        )
        return task, metrics


def example_view() -> SchedulingView:
    tasks = [queued(job("j")), queued(job("huge", memory_mb=10**6))]
    return view([worker("w")], [*tasks, running(job("r"), "w")])


def test_pass_sends_plan_and_counts_refusals() -> None:
    """Guards against a plan that is computed but not sent."""
    group = FakeGroup(example_view())
    planning_task, metrics = group.planning_task()
    asyncio.run(planning_task.run_pass())
    assert [type(r).__name__ for r in group.requests] == [
        "SchedulerSync",
        "PlaceTasks",
    ]
    assert planning_task.is_ready()
    text = metrics.render().decode()
    assert 'code="worker-full"' in text
    assert planning_task.dump()["unplaceable"][0].job_id == "huge"


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        (GroupUnavailableError("No leader."), "group-unavailable"),
        (Accepted(), "invalid-message"),
        (Refused(code="x", text="y"), "invalid-message"),
    ],
)
def test_loop_continues_after_failed_pass(
    reply: Reply | SardinespoolError, code: str
) -> None:
    """Guards against a planning loop that ends at an error of the group."""
    group = FakeGroup(reply)
    planning_task, _ = group.planning_task()
    asyncio.run(planning_task.run_pass())
    assert not planning_task.is_ready()
    assert planning_task.dump()["failure_code"] == code
    group.sync_reply = example_view()
    asyncio.run(planning_task.run_pass())
    assert planning_task.is_ready()
    group.boot_ms += READY_PASS_AGE_MAX_MS + 1
    assert not planning_task.is_ready()


def test_loop_ends_on_stop_event() -> None:
    """Guards against a stop that is delayed until the next interval."""
    group = FakeGroup(example_view())
    planning_task, _ = group.planning_task()

    async def run() -> None:
        stopping = asyncio.Event()
        loop = asyncio.create_task(planning_task.run(stopping))
        await group.called.wait()
        stopping.set()
        await loop

    asyncio.run(run())
    assert len(group.requests) == 2


def test_requests_are_grouped_by_reason_with_placements_last() -> None:
    """Guards against one request, and so one log entry, for each task."""
    plan = Plan(
        placements=PlacementPolicy(
            PolicySettings(disabled=frozenset({"ramp"})), 1
        )
        .plan(example_view())
        .placements,
        evictions=tuple(Eviction(f"e{n}", "r") for n in range(3)),
        throttles=(Throttle(task_id="t", share=0.5),),
        failures=(TaskFailure("f1", "x"), TaskFailure("f2", "y")),
    )
    names = [type(r).__name__ for r in build_requests(plan, "s1")]
    assert names == [
        "FailTasks",
        "FailTasks",
        "EvictTasks",
        "ThrottleTasks",
        "PlaceTasks",
    ]
