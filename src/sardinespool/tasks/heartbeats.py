"""Processing of heartbeats: changes of tasks and the reply."""

from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import TaskDirective
from sardinespool.messages.tasks import TaskReport
from sardinespool.tasks import transitions
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.table import TaskTable
from sardinespool.tasks.workers import apply_announcement
from sardinespool.tasks.workers import WorkerTable

TERMINAL_REPORT_STATES = frozenset(
    ("stopped", "completed", "failed", "refused")
)
"""Report states that end an attempt."""


def task_of_current_attempt(
    table: TaskTable, heartbeat: Heartbeat, report: TaskReport
) -> TaskRecord | None:
    """Return the reported task if the report is of its current attempt."""
    task = table.tasks.get(report.task_id)
    if task is not None and task.is_current(
        heartbeat.worker_id, heartbeat.incarnation, report.attempt
    ):
        return task
    return None


def changes_replicated_state(
    table: TaskTable, workers: WorkerTable, heartbeat: Heartbeat
) -> bool:
    """Return whether a heartbeat changes replicated state."""
    worker = workers.workers.get(heartbeat.worker_id)
    if worker is None or apply_announcement(worker, heartbeat) is not worker:
        return True
    for report in heartbeat.tasks:
        task = task_of_current_attempt(table, heartbeat, report)
        if task is None:
            continue
        sent_unix_ms = heartbeat.sent_unix_ms
        if (
            transitions.reported(task, report, sent_unix_ms, sent_unix_ms)
            is not task
        ):
            return True
    return False


def heartbeat_reply(
    table: TaskTable, heartbeat: Heartbeat, lease_deadline_unix_ms: int
) -> HeartbeatReply:
    """Return the reply to a heartbeat whose changes were applied."""
    directives = []
    acknowledged = []
    listed_task_ids = set()
    for report in heartbeat.tasks:
        if task_of_current_attempt(table, heartbeat, report) is not None:
            listed_task_ids.add(report.task_id)
        elif report.state in TERMINAL_REPORT_STATES:
            acknowledged.append(report)
        else:
            directives.append(
                TaskDirective(
                    task_id=report.task_id,
                    attempt=report.attempt,
                    action="stop",
                )
            )
    for task in table.on_worker(heartbeat.worker_id):
        if task.worker_incarnation == heartbeat.incarnation:
            directives.append(
                _directive(table, task, task.task_id in listed_task_ids)
            )
    return HeartbeatReply(
        lease_deadline_unix_ms=lease_deadline_unix_ms,
        directives=tuple(directives),
        acknowledged_tasks=tuple(report.task_id for report in acknowledged),
        acknowledged_attempts=tuple(report.attempt for report in acknowledged),
    )


def _directive(
    table: TaskTable, task: TaskRecord, is_listed: bool
) -> TaskDirective:
    if task.state == "stopping":
        # An attempt that the worker has not started needs no checkpoint.
        stop = task.cancel_requested or task.stop_checkpointed or not is_listed
        return TaskDirective(
            task_id=task.task_id,
            attempt=task.attempt,
            action="stop" if stop else "checkpoint",
            throttle_share=task.throttle_share,
        )
    if is_listed:
        # The worker already has the payload and checkpoint.
        return TaskDirective(
            task_id=task.task_id,
            attempt=task.attempt,
            action="run",
            throttle_share=task.throttle_share,
        )
    return TaskDirective(
        task_id=task.task_id,
        attempt=task.attempt,
        action="run",
        start_deadline_unix_ms=task.start_deadline_unix_ms,
        checkpoint=task.checkpoint,
        payload=table.jobs[task.job_id].job.payload,
        throttle_share=task.throttle_share,
        processors_millicores=task.reserved_processors_millicores,
        memory_mb=task.reserved_memory_mb,
        accelerators=task.reserved_accelerators,
    )
