"""Hard limits of a placement."""

from typing import Any

from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.reservation import Reservation
from sardinespool.tasks.table import TaskTable
from sardinespool.tasks.workers import WorkerRecord

_RESOURCES = ("processors_millicores", "memory_mb", "accelerators")
_QUOTA = (*_RESOURCES, "running_tasks")


def refusal_code(
    table: TaskTable,
    task: TaskRecord,
    worker: WorkerRecord,
    expected_attempt: int,
    reservation: Reservation,
    quota: dict[str, Any],
) -> str:
    """Return why a placement is refused, or an empty string.

    Parameters
    ----------
    expected_attempt : int
        Attempt of the task that the scheduler saw.
    quota : dict
        Value of the team's configuration key. What it does not name is
        not limited.
    """
    if task.state != "queued":
        return "task-not-queued"
    if task.attempt != expected_attempt:
        return "attempt-changed"
    if worker.lost:
        return "worker-lost"
    if worker.leaving:
        return "worker-leaving"
    total = table.reserved_on(worker.worker_id).plus(reservation)
    if any(
        getattr(total, name) > getattr(worker, name) for name in _RESOURCES
    ):
        return "worker-full"
    team = table.jobs[task.job_id].job.team
    held = table.reserved_by(team).plus(reservation)
    if any(
        name in quota and getattr(held, name) > quota[name] for name in _QUOTA
    ):
        return "quota-exceeded"
    return ""
