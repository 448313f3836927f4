"""Checks of a placement against hard limits."""

from typing import Any

from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.reservation import Reservation
from sardinespool.tasks.table import TaskTable
from sardinespool.tasks.workers import WorkerRecord
from sardinespool.workspaces.limits import may_start

_RESOURCE_FIELDS = ("processors_millicores", "memory_mb", "accelerators")
_QUOTA_FIELDS = (*_RESOURCE_FIELDS, "running_tasks")


def placement_refusal_code(
    table: TaskTable,
    task: TaskRecord,
    worker: WorkerRecord,
    expected_attempt: int,
    reservation: Reservation,
    quota: dict[str, Any],
) -> str:
    """Return the code for which a placement is refused, or an empty string.

    Parameters
    ----------
    expected_attempt : int
        Latest attempt of the task in the view that the scheduler used.
    quota : dict
        Quota of the team from the configuration. A resource without an entry
        is not limited.
    """
    if task.state != "queued":
        return "task-not-queued"
    if task.attempt != expected_attempt:
        return "attempt-changed"
    if worker.lost:
        return "worker-lost"
    if worker.leaving:
        return "worker-leaving"
    worker_total = table.reserved_on(worker.worker_id).plus(reservation)
    if any(
        getattr(worker_total, field_name) > getattr(worker, field_name)
        for field_name in _RESOURCE_FIELDS
    ):
        return "worker-full"
    team = table.jobs[task.job_id].job.team
    team_use = table.reserved_by(team)
    if not may_start(
        [getattr(team_use, name) for name in _QUOTA_FIELDS],
        [getattr(reservation, name) for name in _QUOTA_FIELDS],
        [quota.get(name) for name in _QUOTA_FIELDS],
        gang_size=1,
    ):
        return "quota-exceeded"
    return ""
