"""Detection of attempts that the worker does not have."""

from collections.abc import Iterable

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.messages.commands import DenyTasks
from sardinespool.messages.tasks import Heartbeat
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.table import TaskTable


def tasks_without_attempt(
    active: Iterable[TaskRecord], heartbeat: Heartbeat
) -> list[TaskRecord]:
    """Return the active tasks whose attempt the worker does not have.

    A worker lists every attempt that it has started until the end of the
    attempt is acknowledged, and starts none after its start deadline. So a
    heartbeat that was sent after this deadline and does not list the attempt
    proves that the attempt does not run and will not start, whatever the
    order in which heartbeats arrive. The margin of `CLOCK_ERROR_MS` covers a
    step of the worker's clock.
    """
    listed = {(report.task_id, report.attempt) for report in heartbeat.tasks}
    return [
        task
        for task in active
        if task.worker_incarnation == heartbeat.incarnation
        and heartbeat.sent_unix_ms
        > task.start_deadline_unix_ms + CLOCK_ERROR_MS
        and (task.task_id, task.attempt) not in listed
    ]


class AbsentAttempts:
    """Absent attempts that are not denied yet; volatile."""

    def __init__(self) -> None:
        self._absent_tasks: dict[str, TaskRecord] = {}

    def clear(self) -> None:
        """Remove all attempts."""
        self._absent_tasks = {}

    def add(self, tasks: Iterable[TaskRecord]) -> None:
        """Add absent attempts."""
        for task in tasks:
            self._absent_tasks[task.task_id] = task

    def commands(self, table: TaskTable, now_unix_ms: int) -> list[DenyTasks]:
        """Return the denials that are due, one per incarnation of a worker."""
        by_worker: dict[tuple[str, int], list[tuple[str, int]]] = {}
        for task_id, absent_task in list(self._absent_tasks.items()):
            task = table.tasks.get(task_id)
            if task is None or not task.is_current(
                absent_task.worker_id,
                absent_task.worker_incarnation,
                absent_task.attempt,
            ):
                del self._absent_tasks[task_id]
                continue
            if now_unix_ms < task.start_deadline_unix_ms + CLOCK_ERROR_MS:
                continue
            worker_key = (task.worker_id, task.worker_incarnation)
            by_worker.setdefault(worker_key, []).append(
                (task_id, task.attempt)
            )
        return [
            DenyTasks(
                worker_id=worker_id,
                incarnation=incarnation,
                attempts=tuple(sorted(attempts)),
            )
            for (worker_id, incarnation), attempts in sorted(by_worker.items())
        ]
