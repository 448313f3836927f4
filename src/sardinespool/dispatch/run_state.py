"""What the leader knows of one run on one worker."""

import enum

from sardinespool.dispatch.tail_model import TailState
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import TaskRecord

FULL_PACE = 100
"""Percent at which a run starts."""


class RunPhase(enum.Enum):
    """Where a run stands on its worker."""

    ORDERED = "ordered"
    RUNNING = "running"
    ENDED = "ended"


class RunState:
    """One run; the room that it takes is reserved while it exists.

    Attributes
    ----------
    task : TaskRecord or None
        None for a run that the log does not know.
    committed : bool
        Whether the assignment is in the log; no order goes out before.
    sent, in_flight : bool
        Whether an order of the run ever left, and whether one is out now.
    unanswered : int
        Starts that may still be carried out.
    stop_wanted, stop_confirmed : bool
        Whether the run shall end, and whether the worker knows.
    stop_reason : str
        Why the run shall end, for the log.
    known_boot_ms : int
        When the worker last confirmed the run or its stop. A list that was
        asked for before tells nothing about it.
    listed : bool
        Whether a list of the run's worker life has shown it. The answer to a
        start does not name the life that gave it.
    retry_boot_ms : int
        Earliest time of the next order.
    load : int or None
        Tail latency or processors in use, see `RunningRow`.
    tail : TailState
        What the reports of a serving run showed.
    progress_boot_ms : int
        When `percent` last changed.
    slowed_boot_ms : int or None
        Since when the run has been paced down.
    """

    __slots__ = (
        "checkpoint",
        "committed",
        "in_flight",
        "known_boot_ms",
        "listed",
        "load",
        "ordered_boot_ms",
        "pace",
        "pace_wanted",
        "percent",
        "phase",
        "progress_boot_ms",
        "retry_boot_ms",
        "run",
        "sent",
        "slowed_boot_ms",
        "stop_confirmed",
        "stop_reason",
        "stop_wanted",
        "tail",
        "task",
        "task_key",
        "unanswered",
    )

    def __init__(
        self,
        task_key: str,
        run: int,
        task: TaskRecord | None,
        phase: RunPhase,
        now_boot_ms: int,
    ) -> None:
        self.task_key = task_key
        self.run = run
        self.task = task
        self.phase = phase
        self.committed = True
        self.sent = False
        self.in_flight = False
        self.unanswered = 0
        self.stop_wanted = False
        self.stop_confirmed = False
        self.stop_reason = ""
        self.known_boot_ms = now_boot_ms
        self.listed = False
        self.ordered_boot_ms = now_boot_ms
        self.retry_boot_ms = 0
        self.checkpoint = ""
        self.percent = 0
        self.load: int | None = None
        self.slowed_boot_ms: int | None = None
        self.progress_boot_ms = now_boot_ms
        self.tail = TailState()
        self.pace = FULL_PACE
        self.pace_wanted = FULL_PACE

    @property
    def step(self) -> StepRecord | None:
        """Step of the task, if it is known."""
        return None if self.task is None else self.task.step

    @property
    def used_millicores(self) -> int:
        """Processors that the run uses, as far as is known."""
        if self.load is not None or self.task is None:
            return self.load or 0
        declared = self.task.step.spec.processors_millicores
        return declared * self.pace // FULL_PACE

    @property
    def key(self) -> tuple[str, int]:
        """Task name and run number."""
        return self.task_key, self.run

    @property
    def needs_order(self) -> bool:
        """Whether an order to the worker is outstanding."""
        if self.phase is RunPhase.ENDED or not self.committed:
            return False
        if self.stop_wanted:
            return not self.stop_confirmed
        return self.phase is RunPhase.ORDERED or self.pace != self.pace_wanted

    def want_stop(self, reason: str) -> None:
        """Let the run end; repeated calls change nothing."""
        if not self.stop_wanted:
            self.stop_wanted = True
            self.stop_reason = reason
