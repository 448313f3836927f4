"""Tasks of a stand-in worker: timers that simulate progress.

The checkpoint of a task is its progress in milliseconds, as text. The
payload is JSON such as ``{"work_ms": 3000}``. With ``"fail_after_ms": 200``
the task fails after that progress; with ``"checkpoint_every_ms": 500`` it also
writes checkpoints without being told to.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec

from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import TaskDirective
from sardinespool.messages.tasks import TaskReport

TERMINAL_STATES = ("stopped", "completed", "failed", "refused")

RecordEvent = Callable[..., None]


class Payload(msgspec.Struct, frozen=True, kw_only=True):
    """Decoded payload of a task; unknown fields are ignored."""

    work_ms: int = 1000
    fail_after_ms: int = 0
    checkpoint_every_ms: int = 0


@dataclasses.dataclass(slots=True)
class _RunningTask:
    directive: TaskDirective
    payload: Payload
    progress_ms: float
    progress_unix_ms: int
    throttle_share: float
    checkpoint: str
    checkpointed: bool = False


class WorkerTaskTable:
    """Tasks of one worker.

    Parameters
    ----------
    record : callable
        Called with an event name and its values when a task starts, ends or
        is refused.
    """

    def __init__(self, record: RecordEvent) -> None:
        self._record_event = record
        self._running: dict[str, _RunningTask] = {}
        self._unacknowledged: dict[str, TaskReport] = {}
        # Last ended attempt of each task: a repeated directive must not start
        # an attempt that has already ended.
        self._last_ended_attempts: dict[str, int] = {}
        self._lease_deadline_unix_ms = 0

    @property
    def idle(self) -> bool:
        """Whether no task runs and the ends of all tasks are acknowledged."""
        return not self._running and not self._unacknowledged

    def apply(self, reply: HeartbeatReply, now_unix_ms: int) -> None:
        """Process the reply to a heartbeat."""
        self._lease_deadline_unix_ms = max(
            self._lease_deadline_unix_ms, reply.lease_deadline_unix_ms
        )
        # Stores of an earlier version send no attempts.
        for task_id, attempt in zip(
            reply.acknowledged_tasks, reply.acknowledged_attempts, strict=False
        ):
            report = self._unacknowledged.get(task_id)
            if report is not None and report.attempt == attempt:
                del self._unacknowledged[task_id]
        self.advance(now_unix_ms)
        for directive in reply.directives:
            match directive.action:
                case "run":
                    self._start_or_update(directive, now_unix_ms)
                case "checkpoint":
                    task = self._running.get(directive.task_id)
                    if task and task.directive.attempt == directive.attempt:
                        task.checkpoint = _progress_checkpoint(task)
                        task.checkpointed = True
                case "stop":
                    self._stop_task(directive)

    def advance(self, now_unix_ms: int) -> None:
        """Advance the progress of tasks and end those that are due.

        Tasks end when they complete or fail and when the lease expires.
        """
        for task_id, task in list(self._running.items()):
            # No progress is counted after the end of the lease, even if this
            # call comes late.
            counted_until_unix_ms = min(
                now_unix_ms, self._lease_deadline_unix_ms
            )
            elapsed_ms = max(0, counted_until_unix_ms - task.progress_unix_ms)
            task.progress_ms += elapsed_ms * task.throttle_share
            task.progress_unix_ms = max(
                counted_until_unix_ms, task.progress_unix_ms
            )
            checkpoint_interval_ms = task.payload.checkpoint_every_ms
            last_checkpoint_ms = int(task.checkpoint or 0)
            if (
                checkpoint_interval_ms
                and task.progress_ms - last_checkpoint_ms
                >= checkpoint_interval_ms
            ):
                task.checkpoint = _progress_checkpoint(task)
            fail_after_ms = task.payload.fail_after_ms
            if 0 < fail_after_ms <= task.progress_ms:
                self._end_task(task_id, "failed", failure="fail_after_ms")
            elif task.progress_ms >= task.payload.work_ms:
                self._end_task(task_id, "completed")
        if now_unix_ms >= self._lease_deadline_unix_ms:
            self.stop_all("lease-ended")

    def stop_all(self, reason: str) -> None:
        """Stop all tasks, each with a checkpoint of its progress."""
        for task_id in list(self._running):
            self._end_task(task_id, "stopped", reason=reason)

    def reports(self) -> tuple[TaskReport, ...]:
        """Return the task reports for the next heartbeat.

        Reports of ended tasks are repeated until they are acknowledged.
        """
        running = [
            TaskReport(
                task_id=task_id,
                attempt=task.directive.attempt,
                state="checkpointed" if task.checkpointed else "running",
                checkpoint=task.checkpoint,
                processors_millicores=int(
                    task.directive.processors_millicores * task.throttle_share
                ),
                memory_mb=task.directive.memory_mb,
                slowdown=1.0,
            )
            for task_id, task in self._running.items()
        ]
        return (*self._unacknowledged.values(), *running)

    def _start_or_update(
        self, directive: TaskDirective, now_unix_ms: int
    ) -> None:
        task_id = directive.task_id
        task = self._running.get(task_id)
        if task is not None and task.directive.attempt == directive.attempt:
            task.throttle_share = directive.throttle_share
            task.checkpointed = False
            return
        if directive.attempt <= self._last_ended_attempts.get(task_id, 0):
            return
        if task is not None:
            if directive.attempt < task.directive.attempt:
                return
            self._end_task(task_id, "stopped", reason="newer-attempt")
        if now_unix_ms > directive.start_deadline_unix_ms:
            self._report_end(directive, "refused")
            self._record_event(
                "refused", task_id=task_id, attempt=directive.attempt
            )
            return
        self._unacknowledged.pop(task_id, None)
        self._running[task_id] = _RunningTask(
            directive=directive,
            payload=_decode_payload(directive.payload),
            progress_ms=float(directive.checkpoint or 0),
            checkpoint=directive.checkpoint,
            progress_unix_ms=now_unix_ms,
            throttle_share=directive.throttle_share,
        )
        self._record_event(
            "start",
            task_id=task_id,
            attempt=directive.attempt,
            checkpoint=directive.checkpoint,
        )

    def _stop_task(self, directive: TaskDirective) -> None:
        task = self._running.get(directive.task_id)
        if task is not None:
            if task.directive.attempt <= directive.attempt:
                self._end_task(
                    directive.task_id, "stopped", reason="directive"
                )
            return
        last_ended_attempt = self._last_ended_attempts.get(
            directive.task_id, 0
        )
        if directive.attempt > last_ended_attempt:
            # The attempt never ran here; recording its end ensures that a
            # delayed directive cannot start it.
            self._report_end(
                directive, "stopped", checkpoint=directive.checkpoint
            )

    def _end_task(self, task_id: str, state: Any, **values: str) -> None:
        task = self._running.pop(task_id)
        checkpoint = "" if state == "completed" else _progress_checkpoint(task)
        self._report_end(
            task.directive, state, checkpoint, values.get("failure", "")
        )
        self._record_event(
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
        self._last_ended_attempts[task_id] = directive.attempt
        self._unacknowledged[task_id] = TaskReport(
            task_id=task_id,
            attempt=directive.attempt,
            state=state,
            checkpoint=checkpoint,
            failure=failure,
        )


def _progress_checkpoint(task: _RunningTask) -> str:
    return str(int(task.progress_ms))


def _decode_payload(text: str) -> Payload:
    if not text:
        return Payload()
    try:
        return msgspec.json.decode(text, type=Payload)
    except msgspec.MsgspecError:
        return Payload(fail_after_ms=1)
