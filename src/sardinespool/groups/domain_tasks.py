"""Commands that change the tasks and workers of a domain."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec

from sardinespool.errors.tasks import StaleWorkerError
from sardinespool.messages.commands import DenyTasks
from sardinespool.messages.commands import Refused
from sardinespool.messages.commands import WorkerLost
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import FailTasks
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import Placement
from sardinespool.messages.tasks import PlacementResult
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import PlaceTasksReply
from sardinespool.messages.tasks import TaskList
from sardinespool.messages.tasks import TaskReport
from sardinespool.messages.tasks import ThrottleTasks
from sardinespool.tasks import transitions
from sardinespool.tasks.heartbeats import task_of_current_attempt
from sardinespool.tasks.placement_limits import placement_refusal_code
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.reservation import reservation_for
from sardinespool.tasks.table import TaskTable
from sardinespool.tasks.views import task_view
from sardinespool.tasks.workers import apply_announcement
from sardinespool.tasks.workers import WorkerTable

THROTTLE_SHARE_MIN = 0.01
"""Smallest share; a task needs processor time to write its checkpoint."""


def record_worker(
    table: TaskTable,
    workers: WorkerTable,
    heartbeat: Heartbeat,
    now_unix_ms: int,
) -> Accepted | Refused:
    """Apply a heartbeat: worker registration and attempt reports."""
    worker = workers.workers.get(heartbeat.worker_id)
    if worker is not None and heartbeat.incarnation < worker.incarnation:
        return Refused(
            code=StaleWorkerError.code,
            text="A later incarnation of the worker is registered.",
            details={"incarnation": worker.incarnation},
        )
    if worker is not None and heartbeat.incarnation > worker.incarnation:
        # The tasks of the earlier incarnation ended with its process.
        _end_attempts(table, table.on_worker(worker.worker_id), now_unix_ms)
    registered = apply_announcement(worker, heartbeat)
    if registered is not worker:
        workers.put(registered)
    for report in heartbeat.tasks:
        task = task_of_current_attempt(table, heartbeat, report)
        if task is not None:
            changed = transitions.reported(
                task, report, heartbeat.sent_unix_ms, now_unix_ms
            )
            _apply_report(table, workers, task, changed, report, now_unix_ms)
    return Accepted()


def _apply_report(
    table: TaskTable,
    workers: WorkerTable,
    task: TaskRecord,
    changed: TaskRecord,
    report: TaskReport,
    now_unix_ms: int,
) -> None:
    if changed is task:
        return
    table.put(changed)
    if report.state == "completed":
        workers.record_success(task.worker_id, now_unix_ms)
    elif report.state == "failed":
        workers.record_failure(task.worker_id, task.job_id, now_unix_ms)


def mark_worker_lost(
    table: TaskTable,
    workers: WorkerTable,
    body: WorkerLost,
    now_unix_ms: int,
) -> None:
    """Mark a worker whose lease expired as lost and requeue its tasks."""
    worker = workers.workers.get(body.worker_id)
    if worker is None or worker.lost or worker.incarnation != body.incarnation:
        return
    workers.put(
        msgspec.structs.replace(
            worker,
            lost_unix_ms=max(1, now_unix_ms),
            losses=worker.losses + 1,
        )
    )
    _end_attempts(table, table.on_worker(body.worker_id), now_unix_ms)


def requeue_denied_tasks(
    table: TaskTable, body: DenyTasks, now_unix_ms: int
) -> None:
    """Requeue tasks whose attempt the worker does not hold."""
    for task_id, attempt in body.attempts:
        task = table.tasks.get(task_id)
        if task is not None and task.is_current(
            body.worker_id, body.incarnation, attempt
        ):
            _end_attempts(table, [task], now_unix_ms)


def place_tasks(
    table: TaskTable,
    workers: WorkerTable,
    configuration: Configuration,
    body: PlaceTasks,
    start_refusal_code: str,
    now_unix_ms: int,
) -> PlaceTasksReply:
    """Create an attempt for each placement that the hard limits allow.

    Parameters
    ----------
    start_refusal_code : str
        Code that refuses all starts in the domain, or an empty string.
    """
    if not start_refusal_code and body.start_deadline_unix_ms <= now_unix_ms:
        start_refusal_code = "no-start-permit"
    return PlaceTasksReply(
        results=tuple(
            _place_task(
                table,
                workers,
                configuration,
                placement,
                body.start_deadline_unix_ms,
                start_refusal_code,
                now_unix_ms,
            )
            for placement in body.placements
        )
    )


def _place_task(
    table: TaskTable,
    workers: WorkerTable,
    configuration: Configuration,
    placement: Placement,
    start_deadline_unix_ms: int,
    start_refusal_code: str,
    now_unix_ms: int,
) -> PlacementResult:
    def refused(code: str) -> PlacementResult:
        return PlacementResult(
            task_id=placement.task_id, placed=False, code=code
        )

    if start_refusal_code:
        return refused(start_refusal_code)
    task = table.tasks.get(placement.task_id)
    worker = workers.workers.get(placement.worker_id)
    if task is None:
        return refused("task-not-found")
    if worker is None:
        return refused("worker-unknown")
    job = table.jobs[task.job_id].job
    reservation = reservation_for(
        job, placement.processors_millicores, placement.memory_mb
    )
    quota: Any = configuration.values.get(f"teams/{job.team}")
    code = placement_refusal_code(
        table,
        task,
        worker,
        placement.expected_attempt,
        reservation,
        quota if isinstance(quota, dict) else {},
    )
    if code:
        return refused(code)
    table.put(
        transitions.placed(
            task,
            worker,
            reservation,
            start_deadline_unix_ms,
            now_unix_ms,
        )
    )
    return PlacementResult(task_id=placement.task_id, placed=True)


def evict_tasks(table: TaskTable, body: EvictTasks) -> TaskList:
    """Request placed and running tasks to checkpoint and stop."""
    return _update_tasks(
        table,
        body.task_ids,
        lambda task: transitions.stopping(task, body.reason),
    )


def fail_tasks(table: TaskTable, body: FailTasks) -> TaskList:
    """Mark queued tasks as failed."""
    return _update_tasks(
        table,
        body.task_ids,
        lambda task: transitions.failed(task, body.reason),
    )


def throttle_tasks(table: TaskTable, body: ThrottleTasks) -> TaskList:
    """Set the throttle shares of active tasks.

    Shares are limited to the range from `THROTTLE_SHARE_MIN` to 1.
    """
    shares = {
        throttle.task_id: min(1.0, max(THROTTLE_SHARE_MIN, throttle.share))
        for throttle in body.throttles
    }
    return _update_tasks(
        table,
        shares,
        lambda task: transitions.throttled(task, shares[task.task_id]),
    )


def _update_tasks(
    table: TaskTable,
    task_ids: Iterable[str],
    change: Callable[[TaskRecord], TaskRecord],
) -> TaskList:
    views = []
    for task_id in task_ids:
        task = table.tasks.get(task_id)
        if task is None:
            continue
        changed = change(task)
        if changed is not task:
            table.put(changed)
        views.append(task_view(table, changed))
    return TaskList(tasks=tuple(views))


def _end_attempts(
    table: TaskTable, tasks: Iterable[TaskRecord], now_unix_ms: int
) -> None:
    for task in tasks:
        table.put(transitions.attempt_ended(task, now_unix_ms))
