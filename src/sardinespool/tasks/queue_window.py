"""Queued tasks that one scheduling view holds."""

from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.table import TaskTable

FIRST_TASKS = 1_500
"""Tasks of the front of the queue."""

ROTATING_TASKS = 1_000
"""Tasks of the rest of the queue, others in each view.

Otherwise tasks at the front that fit no worker would hide all others.
"""

ROTATION_MS = 500
_NO_DEADLINE = 2**62


def queue_window(table: TaskTable, now_unix_ms: int) -> list[TaskRecord]:
    """Return the front of the queue and a rotating part of the rest.

    A whole queue would exceed the frame limit; the order is urgent tasks
    first, then by finish deadline, then by the time of queueing.
    """
    queued = table.in_state("queued")
    if len(queued) <= FIRST_TASKS + ROTATING_TASKS:
        return queued

    def order(task: TaskRecord) -> tuple[bool, int, int, str, int]:
        job = table.jobs[task.job_id].job
        return (
            job.priority != "urgent",
            job.finish_deadline_unix_ms or _NO_DEADLINE,
            task.queued_unix_ms,
            task.job_id,
            task.number,
        )

    queued.sort(key=order)
    rest = queued[FIRST_TASKS:]
    start = now_unix_ms // ROTATION_MS * ROTATING_TASKS % len(rest)
    window = (rest + rest)[start : start + ROTATING_TASKS]
    return queued[:FIRST_TASKS] + window
