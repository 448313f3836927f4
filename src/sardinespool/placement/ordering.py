"""Order in which queued tasks are placed."""

import heapq
from collections.abc import Iterator
from typing import Any

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import Demand
from sardinespool.placement.fleet import Fleet

QUOTA_FIELDS = (
    "processors_millicores",
    "memory_mb",
    "accelerators",
    "running_tasks",
)

NO_DEADLINE = 64
"""Slack class of a job without a finish deadline, after all others."""


def slack_class(task: TaskView, unix_ms: int) -> int:
    """Return the class of the slack to the finish deadline.

    Classes double in width from 1 s, so that the team's share decides
    between tasks of similar slack. Class 0 is late.
    """
    deadline_unix_ms = task.job.finish_deadline_unix_ms
    if deadline_unix_ms == 0:
        return NO_DEADLINE
    slack_ms = deadline_unix_ms - unix_ms - task.job.expected_run_ms
    return max(0, slack_ms // 1000).bit_length()


def rank(task: TaskView) -> int:
    """Return 0 for urgent, 1 for latency-critical, 2 for batch tasks."""
    if task.job.priority == "urgent":
        return 0
    return 1 if task.job.kind == "latency-critical" else 2


class Quotas:
    """Limits of each team; a team without a quota has no limit."""

    def __init__(
        self, quotas: dict[str, dict[str, Any]], fleet: Fleet
    ) -> None:
        self._fleet = fleet
        self._limits = {
            team: [quota.get(name) for name in QUOTA_FIELDS]
            for team, quota in quotas.items()
        }

    def share(self, team: str) -> float:
        """Return the largest part of its quota that a team uses."""
        use = self._fleet.team_use.get(team)
        limits = self._limits.get(team)
        if use is None:
            return 0.0
        if limits is None:
            return float(use[0])
        return max(
            used / max(1, limit) if limit is not None else 0.0
            for used, limit in zip(use, limits, strict=True)
        )

    def allow(self, team: str, demand: Demand) -> bool:
        """Return whether one more task stays within the team's quota."""
        use = self._fleet.team_use.get(team, (0, 0, 0, 0))
        return self._within(team, demand, use)

    def ever_allow(self, team: str, demand: Demand) -> bool:
        """Return whether the task alone is within the team's quota."""
        return self._within(team, demand, (0, 0, 0, 0))

    def _within(
        self, team: str, demand: Demand, use: list[int] | tuple[int, ...]
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
        return all(
            limit is None or used + more <= limit
            for used, more, limit in zip(use, added, limits, strict=True)
        )


def ordered(
    tasks: list[TaskView], quotas: Quotas, unix_ms: int
) -> Iterator[TaskView]:
    """Yield tasks: urgent first, then slack class, then the team's share.

    The share is read again after each task, so that placements made while
    iterating count. Among a team's tasks of a class the earlier finish
    deadline goes first, then the older one.
    """
    groups: dict[tuple[int, int], dict[str, list[TaskView]]] = {}
    for task in tasks:
        key = (rank(task), slack_class(task, unix_ms))
        groups.setdefault(key, {}).setdefault(task.job.team, []).append(task)
    for key in sorted(groups):
        yield from _by_share(groups[key], quotas)


def _by_share(
    teams: dict[str, list[TaskView]], quotas: Quotas
) -> Iterator[TaskView]:
    for waiting in teams.values():
        waiting.sort(
            key=lambda task: (
                task.job.finish_deadline_unix_ms,
                task.queued_unix_ms,
                task.task_id,
            ),
            reverse=True,
        )
    heap = [(quotas.share(team), team) for team in sorted(teams)]
    heapq.heapify(heap)
    while heap:
        _, team = heapq.heappop(heap)
        yield teams[team].pop()
        if teams[team]:
            heapq.heappush(heap, (quotas.share(team), team))
