"""Draining of workers and failure domains."""

import heapq
from collections.abc import Iterable

from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import ReleaseJob
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.table import TaskTable
from sardinespool.tasks.workers import WorkerRecord

EVICTIONS_PER_TICK = 50
"""Maximum size of a batch, so that checkpoints don't all start at once."""

RELEASES_PER_TICK = 50
"""Maximum number of jobs released in one batch."""

OUT_OF_SERVICE_REASON = "failure domain out of service"
LEAVING_REASON = "worker leaving"


def domain_evictions(table: TaskTable) -> EvictTasks | None:
    """Return the next running tasks to stop, earliest finish deadline first.

    Tasks without a finish deadline are last.
    """

    def sort_key(task: TaskRecord) -> tuple[bool, int, str, int]:
        deadline = table.jobs[task.job_id].job.finish_deadline_unix_ms
        return (deadline == 0, deadline, task.job_id, task.number)

    if table.count("running") == 0:
        return None
    tasks = heapq.nsmallest(
        EVICTIONS_PER_TICK, table.in_state("running"), key=sort_key
    )
    return EvictTasks(
        task_ids=tuple(task.task_id for task in tasks),
        reason=OUT_OF_SERVICE_REASON,
    )


def leaving_worker_evictions(
    table: TaskTable, workers: Iterable[WorkerRecord]
) -> EvictTasks | None:
    """Return the next tasks to stop on leaving workers."""
    task_ids = [
        task.task_id
        for worker in workers
        if worker.leaving and not worker.lost
        for task in table.on_worker(worker.worker_id)
        if task.state in ("placed", "running")
    ]
    if not task_ids:
        return None
    return EvictTasks(
        task_ids=tuple(task_ids[:EVICTIONS_PER_TICK]),
        reason=LEAVING_REASON,
    )


def job_releases(table: TaskTable) -> list[ReleaseJob]:
    """Return the next movable jobs without active tasks, to be released."""
    releasable = (
        job_id
        for job_id in sorted(table.movable_jobs)
        if table.active_task_count(job_id) == 0
    )
    return [
        ReleaseJob(job_id=job_id)
        for job_id, _ in zip(
            releasable, range(RELEASES_PER_TICK), strict=False
        )
    ]
