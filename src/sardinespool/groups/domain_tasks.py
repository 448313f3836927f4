"""Commands on the tasks and workers of a domain."""

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
from sardinespool.tasks.heartbeats import current_task
from sardinespool.tasks.limits import refusal_code
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.reservation import reservation_for
from sardinespool.tasks.table import TaskTable
from sardinespool.tasks.views import task_view
from sardinespool.tasks.workers import announced
from sardinespool.tasks.workers import WorkerTable

SMALLEST_THROTTLE_SHARE = 0.01
"""A task with no processor time at all could not checkpoint."""


def record_worker(
    table: TaskTable,
    workers: WorkerTable,
    heartbeat: Heartbeat,
    now_unix_ms: int,
) -> Accepted | Refused:
    """Take a worker's announcement and the reports of its attempts."""
    worker = workers.workers.get(heartbeat.worker_id)
    if worker is not None and heartbeat.incarnation < worker.incarnation:
        return Refused(
            code=StaleWorkerError.code,
            text="A later incarnation of the worker is registered.",
            details={"incarnation": worker.incarnation},
        )
    if worker is not None and heartbeat.incarnation > worker.incarnation:
        # The earlier incarnation has ended, and its tasks with it.
        _end_attempts(table, table.on_worker(worker.worker_id), now_unix_ms)
    present = announced(worker, heartbeat)
    if present is not worker:
        workers.put(present)
    for report in heartbeat.tasks:
        task = current_task(table, heartbeat, report)
        if task is not None:
            changed = transitions.reported(
                task, report, heartbeat.sent_unix_ms, now_unix_ms
            )
            _take_report(table, workers, task, changed, report, now_unix_ms)
    return Accepted()


def _take_report(
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


def lose_worker(
    table: TaskTable,
    workers: WorkerTable,
    body: WorkerLost,
    now_unix_ms: int,
) -> None:
    """Return the tasks of a worker whose lease ended to the queue."""
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


def deny(table: TaskTable, body: DenyTasks, now_unix_ms: int) -> None:
    """Return tasks whose attempt the worker does not have to the queue."""
    for task_id, attempt in body.attempts:
        task = table.tasks.get(task_id)
        if task is not None and task.is_current(
            body.worker_id, body.incarnation, attempt
        ):
            _end_attempts(table, [task], now_unix_ms)


def place(
    table: TaskTable,
    workers: WorkerTable,
    configuration: Configuration,
    body: PlaceTasks,
    start_refusal_code: str,
    now_unix_ms: int,
) -> PlaceTasksReply:
    """Create attempts within the hard limits.

    Parameters
    ----------
    start_refusal_code : str
        Why no task may start in the domain, or an empty string.
    """
    if not start_refusal_code and body.start_deadline_unix_ms <= now_unix_ms:
        start_refusal_code = "no-start-permit"
    return PlaceTasksReply(
        results=tuple(
            _place_one(
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


def _place_one(
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
    code = refusal_code(
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


def evict(table: TaskTable, body: EvictTasks) -> TaskList:
    """Have placed and running tasks checkpoint and stop."""
    return _change(
        table,
        body.task_ids,
        lambda task: transitions.stopping(task, body.reason),
    )


def fail(table: TaskTable, body: FailTasks) -> TaskList:
    """End queued tasks as failed."""
    return _change(
        table,
        body.task_ids,
        lambda task: transitions.failed(task, body.reason),
    )


def throttle(table: TaskTable, body: ThrottleTasks) -> TaskList:
    """Set the throttle shares of active tasks."""
    shares = {
        throttle.task_id: min(
            1.0, max(SMALLEST_THROTTLE_SHARE, throttle.share)
        )
        for throttle in body.throttles
    }
    return _change(
        table,
        shares,
        lambda task: transitions.throttled(task, shares[task.task_id]),
    )


def _change(
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
