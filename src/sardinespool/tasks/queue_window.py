"""Selection of the queued tasks for a scheduling view."""

from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.table import TaskTable

FRONT_TASKS = 1_500
"""Number of tasks from the front of the queue in each view."""

ROTATING_TASKS = 1_000
"""Number of tasks from the rest of the queue, which changes in each view.

Without them, tasks at the front that fit no worker would starve the others.
"""

ROTATION_MS = 500
_LATEST_DEADLINE_UNIX_MS = 2**62


def queue_window(table: TaskTable, now_unix_ms: int) -> list[TaskRecord]:
    """Return the front of the queue and a rotating part of the rest.

    The whole queue could exceed the frame limit. Urgent tasks come first;
    the others are ordered by finish deadline, then by the time of queueing.
    """
    queued = table.in_state("queued")
    if len(queued) <= FRONT_TASKS + ROTATING_TASKS:
        return queued

    def sort_key(task: TaskRecord) -> tuple[bool, int, int, str, int]:
        job = table.jobs[task.job_id].job
        return (
            job.priority != "urgent",
            job.finish_deadline_unix_ms or _LATEST_DEADLINE_UNIX_MS,
            task.queued_unix_ms,
            task.job_id,
            task.number,
        )

    queued.sort(key=sort_key)
    rest = queued[FRONT_TASKS:]
    start = now_unix_ms // ROTATION_MS * ROTATING_TASKS % len(rest)
    window = (rest + rest)[start : start + ROTATING_TASKS]
    return queued[:FRONT_TASKS] + window
