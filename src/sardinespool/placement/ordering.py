"""Order in which queued tasks are placed."""

import heapq
from collections.abc import Iterator
from typing import Any

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import Demand
from sardinespool.placement.fleet import FleetState
from sardinespool.workspaces.limits import may_start

QUOTA_FIELDS = (
    "processors_millicores",
    "memory_mb",
    "accelerators",
    "running_tasks",
)

NO_DEADLINE_CLASS = 64
"""Slack class of a job without a finish deadline; sorts last."""


def slack_class(task: TaskView, unix_ms: int) -> int:
    """Return the class of a task by its slack to the finish deadline.

    Class widths start at 1 s and double, so that the quota share of the team
    decides between tasks of similar slack. Class 0 has less than 1 s left.
    """
    deadline_unix_ms = task.job.finish_deadline_unix_ms
    if deadline_unix_ms == 0:
        return NO_DEADLINE_CLASS
    slack_ms = deadline_unix_ms - unix_ms - task.job.expected_run_ms
    return max(0, slack_ms // 1000).bit_length()


def priority_rank(task: TaskView) -> int:
    """Return 0 for urgent, 1 for latency-critical and 2 for other tasks."""
    if task.job.priority == "urgent":
        return 0
    return 1 if task.job.kind == "latency-critical" else 2


class Quotas:
    """Resource limits by team; a team without a quota is not limited."""

    def __init__(
        self, quotas: dict[str, dict[str, Any]], fleet: FleetState
    ) -> None:
        self._fleet = fleet
        self._limits = {
            team: [quota.get(name) for name in QUOTA_FIELDS]
            for team, quota in quotas.items()
        }

    def used_share(self, team: str) -> float:
        """Return the largest share of a quota's resources that a team uses.

        A team without a quota is compared by its processors in millicores.
        """
        current_use = self._fleet.team_use.get(team)
        limits = self._limits.get(team)
        if current_use is None:
            return 0.0
        if limits is None:
            return float(current_use[0])
        return max(
            used / max(1, limit) if limit is not None else 0.0
            for used, limit in zip(current_use, limits, strict=True)
        )

    def allow(self, team: str, demand: Demand) -> bool:
        """Return whether one more task with the demand is within the quota."""
        current_use = self._fleet.team_use.get(team, (0, 0, 0, 0))
        return self._is_within_limits(team, demand, current_use)

    def allow_alone(self, team: str, demand: Demand) -> bool:
        """Return whether the demand would fit if the quota were unused."""
        return self._is_within_limits(team, demand, (0, 0, 0, 0))

    def _is_within_limits(
        self,
        team: str,
        demand: Demand,
        current_use: list[int] | tuple[int, ...],
    ) -> bool:
        limits = self._limits.get(team)
        if limits is None:
            return True
        added = (
            demand.processors_millicores,
            demand.memory_mb,
            demand.accelerators,
            1,
        )
        return may_start(current_use, added, limits, gang_size=1)


def order_tasks(
    tasks: list[TaskView], quotas: Quotas, unix_ms: int
) -> Iterator[TaskView]:
    """Yield tasks by priority rank, slack class and quota share of the team.

    The quota share is evaluated again after each task, so that placements
    made during the iteration count. Tasks of the same team and class are
    ordered by finish deadline, then by the time at which they were queued.
    """
    tasks_by_class: dict[tuple[int, int], dict[str, list[TaskView]]] = {}
    for task in tasks:
        key = (priority_rank(task), slack_class(task, unix_ms))
        tasks_by_class.setdefault(key, {}).setdefault(
            task.job.team, []
        ).append(task)
    for key in sorted(tasks_by_class):
        yield from _order_by_used_share(tasks_by_class[key], quotas)


def _order_by_used_share(
    teams: dict[str, list[TaskView]], quotas: Quotas
) -> Iterator[TaskView]:
    for queued_tasks in teams.values():
        queued_tasks.sort(
            key=lambda task: (
                task.job.finish_deadline_unix_ms,
                task.queued_unix_ms,
                task.task_id,
            ),
            reverse=True,
        )
    heap = [(quotas.used_share(team), team) for team in sorted(teams)]
    heapq.heapify(heap)
    while heap:
        _, team = heapq.heappop(heap)
        yield teams[team].pop()
        if teams[team]:
            heapq.heappush(heap, (quotas.used_share(team), team))
