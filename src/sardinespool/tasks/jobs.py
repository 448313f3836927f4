"""Assignment, cancellation, release and removal of jobs."""

from typing import Literal

import msgspec

from sardinespool.errors.tasks import InvalidJobError
from sardinespool.errors.tasks import JobNotFoundError
from sardinespool.messages.commands import Refused
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import JobChange
from sardinespool.messages.jobs import ReleasedJob
from sardinespool.messages.jobs import ReleaseId
from sardinespool.messages.jobs import TaskTransfer
from sardinespool.messages.tasks import Accepted
from sardinespool.tasks import transitions
from sardinespool.tasks.job_record import JobRecord
from sardinespool.tasks.record import task_id_of
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.table import TaskTable

RELEASED_BYTES_PER_REPORT = 1_048_576
"""Maximum size of a report, well below the frame limit of 8 MiB."""

TRANSFER_OVERHEAD_BYTES = 80
"""Approximate encoded size of a transfer without its checkpoint."""


def _initial_record(
    job: Job, number: int, transfer: TaskTransfer | None, now_unix_ms: int
) -> TaskRecord:
    task = TaskRecord(
        task_id=task_id_of(job, number),
        job_id=job.job_id,
        number=number,
        queued_unix_ms=now_unix_ms,
    )
    if transfer is None:
        return task
    return msgspec.structs.replace(
        task,
        state=transfer.state,
        attempt=transfer.attempt,
        checkpoint=transfer.checkpoint,
        checkpoint_attempt=transfer.attempt if transfer.checkpoint else 0,
    )


def apply_job_change(
    table: TaskTable, change: JobChange, now_unix_ms: int
) -> None:
    """Apply the job change of the global group that is next in sequence."""
    record = table.jobs.get(change.job_id)
    if change.action == "cancel":
        if record is not None and record.state == "open":
            for task in table.of_job(change.job_id):
                table.put(transitions.cancelled(task))
        return
    if change.job is None:
        return
    if record is not None and record.state == "finished":
        # The global group has not recorded the end of the job: report it
        # again.
        table.put_job(
            msgspec.structs.replace(
                record, assign_sequence=change.sequence, recorded_unix_ms=0
            )
        )
        return
    if record is not None and record.state == "open":
        return
    transfers = {transfer.number: transfer for transfer in change.transfers}
    table.add_job(
        JobRecord(job=change.job, assign_sequence=change.sequence),
        [
            _initial_record(
                change.job, number, transfers.get(number), now_unix_ms
            )
            for number in range(change.job.task_count)
        ],
    )


def release(table: TaskTable, job_id: str) -> Accepted | Refused:
    """Release a job without active tasks, so that it can move elsewhere."""
    record = table.jobs.get(job_id)
    if record is None:
        return Refused(
            code=JobNotFoundError.code,
            text=f"No job has the id {job_id}.",
        )
    if record.state == "released":
        return Accepted()
    if record.state == "finished":
        return Refused(
            code=InvalidJobError.code, text=f"Job {job_id} has finished."
        )
    active_tasks = table.active_task_count(job_id)
    if active_tasks:
        return Refused(
            code=InvalidJobError.code,
            text=f"Job {job_id} has tasks that are not stopped.",
            details={"active_tasks": active_tasks},
        )
    table.put_job(msgspec.structs.replace(record, state="released"))
    for task in table.of_job(job_id):
        if task.state == "queued":
            table.put(msgspec.structs.replace(task, state="released"))
    return Accepted()


def released_jobs(table: TaskTable) -> tuple[ReleasedJob, ...]:
    """Return released jobs that the global group has not recorded.

    Returns as many as fit into `RELEASED_BYTES_PER_REPORT`, but at least one.
    The others follow once these are recorded.
    """
    released: list[ReleasedJob] = []
    size_bytes = 0
    for job_id in sorted(table.released_jobs):
        tasks = tuple(_transfer_of(task) for task in table.of_job(job_id))
        size_bytes += sum(
            TRANSFER_OVERHEAD_BYTES + len(task.checkpoint) for task in tasks
        )
        if released and size_bytes > RELEASED_BYTES_PER_REPORT:
            break
        released.append(
            ReleasedJob(
                job_id=job_id,
                assign_sequence=table.jobs[job_id].assign_sequence,
                tasks=tasks,
            )
        )
    return tuple(released)


def _transfer_of(task: TaskRecord) -> TaskTransfer:
    state: Literal["queued", "completed", "failed", "cancelled"] = "queued"
    match task.state:
        case "completed" | "failed" | "cancelled":
            state = task.state
    return TaskTransfer(
        number=task.number,
        attempt=task.attempt,
        state=state,
        checkpoint=task.checkpoint,
    )


def mark_end_recorded(table: TaskTable, job_id: str, now_unix_ms: int) -> None:
    """Record that the global group has recorded the end of a job."""
    if job_id in table.finished_jobs:
        table.put_job(
            msgspec.structs.replace(
                table.jobs[job_id], recorded_unix_ms=now_unix_ms
            )
        )


def is_release_unrecorded(table: TaskTable, release: ReleaseId) -> bool:
    """Return whether the job is released and not recorded yet.

    False for a delayed message about an earlier release of the same job.
    """
    return (
        release.job_id in table.released_jobs
        and table.jobs[release.job_id].assign_sequence
        == release.assign_sequence
    )


def remove_recorded_release(table: TaskTable, release: ReleaseId) -> None:
    """Remove a released job that the global group has recorded."""
    if is_release_unrecorded(table, release):
        table.remove_job(release.job_id)


def expire_jobs(table: TaskTable, before_unix_ms: int) -> None:
    """Remove the tasks of recorded jobs, and later the job records."""
    for record in table.due_removals(before_unix_ms):
        job_id = record.job.job_id
        if record.forgotten:
            table.remove_job(job_id)
            continue
        table.remove_tasks(job_id)
        table.put_job(
            msgspec.structs.replace(
                record,
                job=msgspec.structs.replace(record.job, payload=""),
                forgotten=True,
            )
        )
