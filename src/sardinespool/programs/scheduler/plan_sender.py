"""Sends the decisions of a plan to the domain's group."""

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


class Caller(Protocol):
    """Calls the leader of a group; implemented by `GroupClient`."""

    async def call(self, request: Request, deadline_unix_ms: int) -> Reply:
        """Return the reply or raise the typed refusal."""


def requests_of(plan: Plan, scheduler_id: str) -> list[Request]:
    """Return the requests that carry out a plan.

    Failures and evictions come before placements, which are the ones that
    the group may refuse.
    """
    requests: list[Request] = [
        FailTasks(task_ids=task_ids, reason=reason)
        for reason, task_ids in _by_reason(plan.failures)
    ]
    requests += [
        EvictTasks(task_ids=task_ids, reason=reason)
        for reason, task_ids in _by_reason(plan.evictions)
    ]
    if plan.throttles:
        requests.append(ThrottleTasks(throttles=plan.throttles))
    if plan.placements:
        requests.append(
            PlaceTasks(scheduler_id=scheduler_id, placements=plan.placements)
        )
    return requests


async def send_plan(
    caller: Caller, plan: Plan, scheduler_id: str, deadline_unix_ms: int
) -> list[PlacementResult]:
    """Send a plan; return the placements that the group refused.

    Raises
    ------
    SardinespoolError
        A call was refused as a whole. The rest of the plan is dropped: the
        next pass decides on the state that the group has then.
    """
    refused: list[PlacementResult] = []
    for request in requests_of(plan, scheduler_id):
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


def _by_reason(
    decisions: Iterable[Eviction | TaskFailure],
) -> list[tuple[str, tuple[str, ...]]]:
    groups: dict[str, list[str]] = {}
    for decision in decisions:
        groups.setdefault(decision.reason, []).append(decision.task_id)
    return [(reason, tuple(ids)) for reason, ids in groups.items()]
