"""Model of a worker that follows the protocol, and an execution log."""

import dataclasses

from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import TaskDirective
from sardinespool.messages.tasks import TaskReport
from testing.groups.domain_support import heartbeat

WORKER_CAPACITY_TASKS = 4
"""Capacity of a modelled worker in tasks of 1,000 millicores."""


@dataclasses.dataclass
class ExecutionLog:
    """Executions on all workers in real time; checks invariants at starts.

    Attributes
    ----------
    worker_by_task : dict
        Task id to the id of the worker that runs it.
    acknowledged : set
        Tasks whose completion was acknowledged to a worker.
    checkpoints : dict
        Checkpoint of the last acknowledged stop of each task.
    last_start_unix_ms : int
        Latest real time at which a task may start.
    """

    worker_by_task: dict[str, str] = dataclasses.field(default_factory=dict)
    acknowledged: set[str] = dataclasses.field(default_factory=set)
    checkpoints: dict[str, int] = dataclasses.field(default_factory=dict)
    last_start_unix_ms: int = 2**53

    def start(
        self, worker_id: str, directive: TaskDirective, now_unix_ms: int
    ) -> None:
        """Record a start and check the invariants."""
        task_id = directive.task_id
        assert task_id not in self.worker_by_task, (
            "two running attempts of one task"
        )
        assert task_id not in self.acknowledged, "completed task started again"
        assert int(directive.checkpoint or 0) >= self.checkpoints.get(
            task_id, 0
        ), "resumed from an older checkpoint"
        assert now_unix_ms <= self.last_start_unix_ms, (
            "task start after the domain left service"
        )
        self.worker_by_task[task_id] = worker_id
        running_count = sum(
            worker == worker_id for worker in self.worker_by_task.values()
        )
        assert running_count <= WORKER_CAPACITY_TASKS, (
            "worker exceeds its capacity"
        )


class ModelWorker:
    """Worker with its own clock, lease, attempts and terminal reports.

    Attributes
    ----------
    running : dict
        Task id to the attempt and its progress.
    terminal_reports : dict
        Unacknowledged reports of ended attempts, by task id and attempt.
    """

    def __init__(
        self, worker_id: str, clock_error_ms: int, log: ExecutionLog
    ) -> None:
        self.worker_id = worker_id
        self.clock_error_ms = clock_error_ms
        self.incarnation = 1
        self._log = log
        self._reset()

    def _reset(self) -> None:
        self.running: dict[str, tuple[int, int]] = {}
        self.terminal_reports: dict[tuple[str, int], TaskReport] = {}
        self._last_attempts: dict[str, int] = {}
        self._checkpointed: set[str] = set()
        self._lease_deadline_unix_ms = 0

    def restart(self) -> None:
        """Crash and restart without any state."""
        for task_id in self.running:
            del self._log.worker_by_task[task_id]
        self.incarnation += 1
        self._reset()

    def heartbeat(self, real_unix_ms: int) -> Heartbeat:
        """Return a heartbeat with running and unacknowledged attempts."""
        running = tuple(
            TaskReport(
                task_id=task_id,
                attempt=attempt,
                state=(
                    "checkpointed"
                    if task_id in self._checkpointed
                    else "running"
                ),
                checkpoint=str(progress),
            )
            for task_id, (attempt, progress) in self.running.items()
        )
        return heartbeat(
            self.worker_id,
            incarnation=self.incarnation,
            sent_unix_ms=real_unix_ms + self.clock_error_ms,
            tasks=(*self.terminal_reports.values(), *running),
        )

    def advance(self, real_unix_ms: int) -> None:
        """Advance every task; stop them all once the lease has expired."""
        for task_id, (attempt, progress) in list(self.running.items()):
            self.running[task_id] = (attempt, progress + 1)
        if real_unix_ms + self.clock_error_ms >= self._lease_deadline_unix_ms:
            for task_id in list(self.running):
                self.end(task_id, "stopped")

    def end(self, task_id: str, state: str) -> None:
        """End a running attempt."""
        attempt, progress = self.running.pop(task_id)
        self._checkpointed.discard(task_id)
        del self._log.worker_by_task[task_id]
        self._report_end(task_id, attempt, state, str(progress))

    def receive(
        self, sent: Heartbeat, reply: HeartbeatReply, real_unix_ms: int
    ) -> None:
        """Process a possibly delayed reply to one of the heartbeats."""
        if sent.incarnation != self.incarnation:
            return
        now_unix_ms = real_unix_ms + self.clock_error_ms
        self._lease_deadline_unix_ms = max(
            self._lease_deadline_unix_ms, reply.lease_deadline_unix_ms
        )
        for report in sent.tasks:
            if report.task_id in reply.acknowledged_tasks:
                self._acknowledge(report)
        for directive in reply.directives:
            self._apply_directive(directive, now_unix_ms, real_unix_ms)

    def _acknowledge(self, report: TaskReport) -> None:
        ended_report = self.terminal_reports.get(
            (report.task_id, report.attempt)
        )
        if ended_report is not None and ended_report.state == report.state:
            del self.terminal_reports[(report.task_id, report.attempt)]

    def _apply_directive(
        self, directive: TaskDirective, now_unix_ms: int, real_unix_ms: int
    ) -> None:
        task_id = directive.task_id
        attempt, _ = self.running.get(task_id, (0, 0))
        match directive.action:
            case "run" if directive.attempt > self._last_attempts.get(
                task_id, 0
            ):
                if attempt:
                    self.end(task_id, "stopped")
                if (
                    now_unix_ms > directive.start_deadline_unix_ms
                    or now_unix_ms >= self._lease_deadline_unix_ms
                ):
                    self._report_end(task_id, directive.attempt, "refused", "")
                    return
                self._last_attempts[task_id] = directive.attempt
                self._log.start(self.worker_id, directive, real_unix_ms)
                progress = int(directive.checkpoint or 0)
                self.running[task_id] = (directive.attempt, progress)
            case "checkpoint" if attempt == directive.attempt:
                self._checkpointed.add(task_id)
            case "stop" if attempt and attempt <= directive.attempt:
                self.end(task_id, "stopped")
            case "stop" if directive.attempt > self._last_attempts.get(
                task_id, 0
            ):
                self._report_end(task_id, directive.attempt, "stopped", "")

    def _report_end(
        self, task_id: str, attempt: int, state: str, checkpoint: str
    ) -> None:
        self._last_attempts[task_id] = attempt
        self.terminal_reports[(task_id, attempt)] = TaskReport(
            task_id=task_id,
            attempt=attempt,
            state=state,  # type: ignore[arg-type]
            checkpoint=checkpoint,
        )
