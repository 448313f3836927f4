"""Views of tasks and workers for schedulers and operators."""

import msgspec

from sardinespool.messages.jobs import Job
from sardinespool.messages.tasks import TaskReport
from sardinespool.messages.tasks import TaskView
from sardinespool.messages.tasks import WorkerView
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.table import TaskTable
from sardinespool.tasks.workers import WorkerRecord


def task_view(
    table: TaskTable, task: TaskRecord, usage: TaskReport | None = None
) -> TaskView:
    """Return a view of a task with its latest reported usage, if any."""
    if usage is not None and (
        usage.attempt != task.attempt or not task.is_active
    ):
        usage = None
    return TaskView(
        task_id=task.task_id,
        job=table.jobs[task.job_id].job,
        state=task.state,
        attempt=task.attempt,
        worker_id=task.worker_id,
        checkpoint=task.checkpoint,
        throttle_share=task.throttle_share,
        placed_unix_ms=task.placed_unix_ms,
        queued_unix_ms=task.queued_unix_ms,
        reserved_processors_millicores=task.reserved_processors_millicores,
        reserved_memory_mb=task.reserved_memory_mb,
        observed_processors_millicores=(
            0 if usage is None else usage.processors_millicores
        ),
        observed_memory_mb=0 if usage is None else usage.memory_mb,
        observed_slowdown=0.0 if usage is None else usage.slowdown,
        failed_workers=task.failed_workers,
        reason=task.reason,
    )


def planning_view(
    table: TaskTable,
    task: TaskRecord,
    usage: TaskReport | None,
    jobs: dict[str, Job],
) -> TaskView:
    """Return a view of a task without its payload and checkpoint.

    A scheduler needs neither, and they can be larger than the other fields
    together.

    Parameters
    ----------
    jobs : dict of str to Job
        Cache of jobs without payload by id, shared by the tasks of a view.
    """
    job = jobs.get(task.job_id)
    if job is None:
        full = table.jobs[task.job_id].job
        job = msgspec.structs.replace(full, payload="")
        jobs[task.job_id] = job
    view = task_view(table, task, usage)
    return msgspec.structs.replace(view, job=job, checkpoint="")


def worker_view(
    worker: WorkerRecord,
    failure_domain: str,
    lease_deadline_unix_ms: int,
    request_latency_p99_ms: float,
) -> WorkerView:
    """Return a view of a worker with its current lease and latency."""
    return WorkerView(
        worker_id=worker.worker_id,
        incarnation=worker.incarnation,
        failure_domain=failure_domain,
        rack=worker.rack,
        address=worker.address,
        services=worker.services,
        slots=worker.slots,
        connections=worker.connections,
        processors_millicores=worker.processors_millicores,
        memory_mb=worker.memory_mb,
        accelerators=worker.accelerators,
        leaving=worker.leaving,
        lost=worker.lost,
        lease_deadline_unix_ms=lease_deadline_unix_ms,
        request_latency_p99_ms=request_latency_p99_ms,
        failed_jobs=worker.failed_jobs,
        last_failure_unix_ms=worker.last_failure_unix_ms,
        last_success_unix_ms=worker.last_success_unix_ms,
    )
