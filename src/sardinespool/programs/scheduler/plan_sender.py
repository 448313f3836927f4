"""Sending of a plan to the group of the failure domain."""

from collections.abc import Iterable
from typing import Protocol

from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import FailTasks
from sardinespool.messages.tasks import PlacementResult
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import PlaceTasksReply
from sardinespool.messages.tasks import ThrottleTasks
from sardinespool.placement.plan import Eviction
from sardinespool.placement.plan import Plan
from sardinespool.placement.plan import TaskFailure


class GroupCaller(Protocol):
    """Interface for calls to the leader of a group; see `GroupClient`."""

    async def call(self, request: Request, deadline_unix_ms: int) -> Reply:
        """Return the reply; raise `SardinespoolError` if it is refused."""


def build_requests(plan: Plan, scheduler_id: str) -> list[Request]:
    """Return the requests that carry out a plan.

    Failures and evictions are sent before placements, because the group
    may refuse individual placements.
    """
    requests: list[Request] = [
        FailTasks(task_ids=task_ids, reason=reason)
        for reason, task_ids in _group_by_reason(plan.failures)
    ]
    requests += [
        EvictTasks(task_ids=task_ids, reason=reason)
        for reason, task_ids in _group_by_reason(plan.evictions)
    ]
    if plan.throttles:
        requests.append(ThrottleTasks(throttles=plan.throttles))
    if plan.placements:
        requests.append(
            PlaceTasks(scheduler_id=scheduler_id, placements=plan.placements)
        )
    return requests


async def send_plan(
    caller: GroupCaller, plan: Plan, scheduler_id: str, deadline_unix_ms: int
) -> list[PlacementResult]:
    """Send a plan and return the placements that the group refused.

    Raises
    ------
    SardinespoolError
        A call failed or was refused. The rest of the plan is dropped; the
        next pass plans again from the current state of the group.
    """
    refused: list[PlacementResult] = []
    for request in build_requests(plan, scheduler_id):
        reply = await caller.call(request, deadline_unix_ms)
        if not isinstance(request, PlaceTasks):
            continue
        if not isinstance(reply, PlaceTasksReply):
            raise InvalidMessageError(
                "The group answered placements with another message.",
                reply=type(reply).__name__,
            )
        refused += [result for result in reply.results if not result.placed]
    return refused


def _group_by_reason(
    decisions: Iterable[Eviction | TaskFailure],
) -> list[tuple[str, tuple[str, ...]]]:
    task_ids_by_reason: dict[str, list[str]] = {}
    for decision in decisions:
        task_ids_by_reason.setdefault(decision.reason, []).append(
            decision.task_id
        )
    return [(reason, tuple(ids)) for reason, ids in task_ids_by_reason.items()]
