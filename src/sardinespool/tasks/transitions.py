"""State transitions of a task record.

Functions return the same record object if nothing changes, so that the
leader can tell whether a report has to be replicated.
"""

import msgspec

from sardinespool.messages.tasks import TaskReport
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.reservation import Reservation
from sardinespool.tasks.workers import WorkerRecord

FAILED_WORKERS_LIMIT = 3
"""Distinct workers on which a task has to fail until the job, not the worker,
is held at fault and the task is not retried."""

CHECKPOINT_INTERVAL_MS = 10_000
"""Minimum time between two recorded checkpoints of a running task.

A worker may report a new checkpoint in every heartbeat. Recording each would
cost a log write per worker and second.
"""


def placed(
    task: TaskRecord,
    worker: WorkerRecord,
    reservation: Reservation,
    start_deadline_unix_ms: int,
    now_unix_ms: int,
) -> TaskRecord:
    """Return the queued task after the placement of its next attempt."""
    return msgspec.structs.replace(
        task,
        state="placed",
        attempt=task.attempt + 1,
        worker_id=worker.worker_id,
        worker_incarnation=worker.incarnation,
        throttle_share=1.0,
        placed_unix_ms=now_unix_ms,
        start_deadline_unix_ms=start_deadline_unix_ms,
        reserved_processors_millicores=reservation.processors_millicores,
        reserved_memory_mb=reservation.memory_mb,
        reserved_accelerators=reservation.accelerators,
    )


def attempt_ended(task: TaskRecord, now_unix_ms: int) -> TaskRecord:
    """Return the task after its attempt is known to have stopped."""
    return msgspec.structs.replace(
        task,
        state="cancelled" if task.cancel_requested else "queued",
        worker_id="",
        worker_incarnation=0,
        throttle_share=1.0,
        queued_unix_ms=now_unix_ms,
        start_deadline_unix_ms=0,
        reserved_processors_millicores=0,
        reserved_memory_mb=0,
        reserved_accelerators=0,
        cancel_requested=False,
        stop_checkpointed=False,
    )


def completed(task: TaskRecord) -> TaskRecord:
    """Return the task as completed, even if it was to be stopped."""
    return msgspec.structs.replace(
        task,
        state="completed",
        cancel_requested=False,
        stop_checkpointed=False,
    )


def attempt_failed(
    task: TaskRecord, failure: str, now_unix_ms: int
) -> TaskRecord:
    """Return the task after its attempt failed on its worker."""
    workers = task.failed_workers
    if task.worker_id not in workers:
        workers = (*workers, task.worker_id)
    ended = msgspec.structs.replace(
        attempt_ended(task, now_unix_ms),
        failed_workers=workers,
        reason=failure,
    )
    if ended.state == "queued" and len(workers) >= FAILED_WORKERS_LIMIT:
        return msgspec.structs.replace(ended, state="failed")
    return ended


def stopping(task: TaskRecord, reason: str) -> TaskRecord:
    """Return the task as stopping if it was placed or running.

    The worker is then told to checkpoint and stop it.
    """
    if task.state not in ("placed", "running"):
        return task
    return msgspec.structs.replace(task, state="stopping", reason=reason)


def cancelled(task: TaskRecord) -> TaskRecord:
    """Return the task after a cancellation of its job.

    An active task keeps its reservation until its attempt is known to have
    ended.
    """
    if task.state == "queued":
        return msgspec.structs.replace(task, state="cancelled")
    if task.is_active:
        return msgspec.structs.replace(
            task, state="stopping", cancel_requested=True
        )
    return task


def failed(task: TaskRecord, reason: str) -> TaskRecord:
    """Return the task as failed if it was queued."""
    if task.state != "queued":
        return task
    return msgspec.structs.replace(task, state="failed", reason=reason)


def throttled(task: TaskRecord, share: float) -> TaskRecord:
    """Return the task with a new throttle share if it is active."""
    if not task.is_active or task.throttle_share == share:
        return task
    return msgspec.structs.replace(task, throttle_share=share)


def reported(
    task: TaskRecord, report: TaskReport, sent_unix_ms: int, now_unix_ms: int
) -> TaskRecord:
    """Return the task after a report of its current attempt.

    Parameters
    ----------
    sent_unix_ms : int
        Send time of the heartbeat, by the worker's clock.
    """
    if _is_new_checkpoint(task, report, sent_unix_ms):
        task = msgspec.structs.replace(
            task,
            checkpoint=report.checkpoint,
            checkpoint_attempt=task.attempt,
            checkpoint_unix_ms=sent_unix_ms,
        )
    match report.state:
        case "running" | "checkpointed" if task.state == "placed":
            return msgspec.structs.replace(task, state="running")
        case "checkpointed" if (
            task.state == "stopping" and not task.stop_checkpointed
        ):
            return msgspec.structs.replace(task, stop_checkpointed=True)
        case "stopped" | "refused":
            return attempt_ended(task, now_unix_ms)
        case "completed":
            return completed(task)
        case "failed":
            return attempt_failed(task, report.failure, now_unix_ms)
        case _:
            return task


def _is_new_checkpoint(
    task: TaskRecord, report: TaskReport, sent_unix_ms: int
) -> bool:
    if not report.checkpoint or report.checkpoint == task.checkpoint:
        return False
    if task.checkpoint_attempt != task.attempt:
        return True
    match report.state:
        case "running":
            interval_ms = CHECKPOINT_INTERVAL_MS
        case "checkpointed":
            interval_ms = 0
        case _:
            # The report of the end of an attempt is always the latest.
            return True
    # A delayed heartbeat must not restore an older checkpoint.
    return sent_unix_ms >= task.checkpoint_unix_ms + interval_ms
