"""Tasks of a stand-in worker: timers that count progress.

The checkpoint of a task is its progress in milliseconds, as text. The
payload is JSON such as ``{"work_ms": 3000}``; ``"fail_after_ms": 200`` makes
the task fail, ``"checkpoint_every_ms": 500`` makes it checkpoint by itself.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec

from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import TaskDirective
from sardinespool.messages.tasks import TaskReport

TERMINAL_STATES = ("stopped", "completed", "failed", "refused")

Recorder = Callable[..., None]


class Payload(msgspec.Struct, frozen=True, kw_only=True):
    """What a task is to do; unknown fields are ignored."""

    work_ms: int = 1000
    fail_after_ms: int = 0
    checkpoint_every_ms: int = 0


@dataclasses.dataclass(slots=True)
class _RunningTask:
    directive: TaskDirective
    payload: Payload
    progress_ms: float
    updated_unix_ms: int
    share: float
    checkpoint: str
    checkpointed: bool = False


class TaskTable:
    """All tasks of one worker.

    Parameters
    ----------
    record : callable
        Called with an event name and values for each start and end.
    """

    def __init__(self, record: Recorder) -> None:
        self._record = record
        self._running: dict[str, _RunningTask] = {}
        self._unacknowledged: dict[str, TaskReport] = {}
        # A repeated directive of an attempt that has ended must not start it
        # again, so the last ended attempt of each task is remembered.
        self._ended_attempts: dict[str, int] = {}
        self._lease_deadline_unix_ms = 0

    @property
    def idle(self) -> bool:
        """No task runs and every end was acknowledged."""
        return not self._running and not self._unacknowledged

    def apply(self, reply: HeartbeatReply, now_unix_ms: int) -> None:
        """Follow the reply to a heartbeat."""
        self._lease_deadline_unix_ms = max(
            self._lease_deadline_unix_ms, reply.lease_deadline_unix_ms
        )
        for task_id in reply.acknowledged_tasks:
            self._unacknowledged.pop(task_id, None)
        self.advance(now_unix_ms)
        for directive in reply.directives:
            match directive.action:
                case "run":
                    self._run(directive, now_unix_ms)
                case "checkpoint":
                    task = self._running.get(directive.task_id)
                    if task and task.directive.attempt == directive.attempt:
                        task.checkpoint = _progress(task)
                        task.checkpointed = True
                case "stop":
                    self._stop(directive)

    def advance(self, now_unix_ms: int) -> None:
        """Count progress; end what has finished or lost its lease."""
        for task_id, task in list(self._running.items()):
            # Progress ends with the lease, even if this is called late.
            until = min(now_unix_ms, self._lease_deadline_unix_ms)
            elapsed_ms = max(0, until - task.updated_unix_ms)
            task.progress_ms += elapsed_ms * task.share
            task.updated_unix_ms = max(until, task.updated_unix_ms)
            every_ms = task.payload.checkpoint_every_ms
            last_ms = int(task.checkpoint or 0)
            if every_ms and task.progress_ms - last_ms >= every_ms:
                task.checkpoint = _progress(task)
            fail_after_ms = task.payload.fail_after_ms
            if 0 < fail_after_ms <= task.progress_ms:
                self._end(task_id, "failed", failure="fail_after_ms")
            elif task.progress_ms >= task.payload.work_ms:
                self._end(task_id, "completed")
        if now_unix_ms >= self._lease_deadline_unix_ms:
            self.stop_all("lease-ended")

    def stop_all(self, reason: str) -> None:
        """Stop every task with a checkpoint."""
        for task_id in list(self._running):
            self._end(task_id, "stopped", reason=reason)

    def reports(self) -> tuple[TaskReport, ...]:
        """Return the reports of the next heartbeat.

        Reports of ended tasks are repeated until they are acknowledged.
        """
        running = [
            TaskReport(
                task_id=task_id,
                attempt=task.directive.attempt,
                state="checkpointed" if task.checkpointed else "running",
                checkpoint=task.checkpoint,
                processors_millicores=int(
                    task.directive.processors_millicores * task.share
                ),
                memory_mb=task.directive.memory_mb,
                slowdown=1.0,
            )
            for task_id, task in self._running.items()
        ]
        return (*self._unacknowledged.values(), *running)

    def _run(self, directive: TaskDirective, now_unix_ms: int) -> None:
        task_id = directive.task_id
        task = self._running.get(task_id)
        if task is not None and task.directive.attempt == directive.attempt:
            task.share = directive.throttle_share
            task.checkpointed = False
            return
        if directive.attempt <= self._ended_attempts.get(task_id, 0):
            return
        if task is not None:
            if directive.attempt < task.directive.attempt:
                return
            self._end(task_id, "stopped", reason="newer-attempt")
        if now_unix_ms > directive.start_deadline_unix_ms:
            self._report_end(directive, "refused")
            self._record("refused", task_id=task_id, attempt=directive.attempt)
            return
        self._unacknowledged.pop(task_id, None)
        self._running[task_id] = _RunningTask(
            directive=directive,
            payload=_payload(directive.payload),
            progress_ms=float(directive.checkpoint or 0),
            checkpoint=directive.checkpoint,
            updated_unix_ms=now_unix_ms,
            share=directive.throttle_share,
        )
        self._record(
            "start",
            task_id=task_id,
            attempt=directive.attempt,
            checkpoint=directive.checkpoint,
        )

    def _stop(self, directive: TaskDirective) -> None:
        task = self._running.get(directive.task_id)
        if task is not None:
            if task.directive.attempt <= directive.attempt:
                self._end(directive.task_id, "stopped", reason="directive")
            return
        ended = self._ended_attempts.get(directive.task_id, 0)
        if directive.attempt > ended:
            # It never ran here: no start of this attempt may follow.
            self._report_end(
                directive, "stopped", checkpoint=directive.checkpoint
            )

    def _end(self, task_id: str, state: Any, **values: str) -> None:
        task = self._running.pop(task_id)
        checkpoint = "" if state == "completed" else _progress(task)
        self._report_end(
            task.directive, state, checkpoint, values.get("failure", "")
        )
        self._record(
            state,
            task_id=task_id,
            attempt=task.directive.attempt,
            checkpoint=checkpoint,
            progress_ms=int(task.progress_ms),
            **values,
        )

    def _report_end(
        self,
        directive: TaskDirective,
        state: Any,
        checkpoint: str = "",
        failure: str = "",
    ) -> None:
        task_id = directive.task_id
        self._ended_attempts[task_id] = directive.attempt
        self._unacknowledged[task_id] = TaskReport(
            task_id=task_id,
            attempt=directive.attempt,
            state=state,
            checkpoint=checkpoint,
            failure=failure,
        )


def _progress(task: _RunningTask) -> str:
    return str(int(task.progress_ms))


def _payload(text: str) -> Payload:
    if not text:
        return Payload()
    try:
        return msgspec.json.decode(text, type=Payload)
    except msgspec.MsgspecError:
        return Payload(fail_after_ms=1)
