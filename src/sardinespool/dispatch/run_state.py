"""State of one run on one worker, as known to the leader."""

import enum

from sardinespool.dispatch.tail_model import TailHistory
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import TaskRecord

FULL_PACE = 100
"""Initial pace of a run, in percent."""


class RunPhase(enum.Enum):
    """Phase of a run on its worker."""

    ORDERED = "ordered"
    RUNNING = "running"
    ENDED = "ended"


class RunState:
    """One run; its resources are reserved while the object exists.

    Attributes
    ----------
    task : TaskRecord or None
        None for a run that is not in the replicated state.
    committed : bool
        Whether the assignment is committed; no order is sent before.
    sent, in_flight : bool
        Whether an order for the run was ever sent, and whether one is
        outstanding now.
    unanswered : int
        Unanswered start orders that may still take effect.
    pace_known : bool
        Whether the worker has the pace `pace`; an earlier leader may have set
        another one.
    stop_requested, stop_confirmed : bool
        Whether a stop is requested, and whether the worker confirmed it.
    stop_reason : str
        Reason of the stop, for log messages.
    confirmed_boot_ms : int
        When the worker last confirmed the run or its stop. Lists requested
        before that time may lack the run.
    listed : bool
        Whether the worker incarnation of the run has listed it. The answer to
        a start does not name the incarnation that gave it.
    retry_boot_ms : int
        Earliest time to send the next order.
    load : int or None
        Tail latency or processor use, see `RunningRun`.
    tail : TailHistory
        History of the reports of a serving run.
    progress_clock_ms : int or None
        Reading of the worker's clock when it listed a changed `percent`; None
        before the first list. An answer can be read long after it was sent.
    throttled_since_boot_ms : int or None
        Since when the run has been throttled.
    trial : bool
        Whether the run is a trial, see `crash_trials`.
    first_seen_clock_ms : int or None
        Reading of the worker's clock when it first confirmed or listed the
        run to this leader; None before.
    expected_ends_boot_ms : tuple of float
        Quantiles of the expected end, see `near_waits`; empty before the
        first forecast.
    slowdown : float
        Expected factor by which the run takes longer than one near its data.
    crash : str
        Worker incarnation that crashed under the run, or "".
    suspect : bool
        Whether the run is a prime suspect of that crash.
    crash_age_ms : int
        How long the run is known to have lived at that crash.
    """

    __slots__ = (
        "checkpoint",
        "committed",
        "in_flight",
        "confirmed_boot_ms",
        "crash",
        "crash_age_ms",
        "expected_ends_boot_ms",
        "listed",
        "load",
        "ordered_boot_ms",
        "pace",
        "pace_known",
        "target_pace",
        "percent",
        "phase",
        "first_seen_clock_ms",
        "progress_clock_ms",
        "retry_boot_ms",
        "run",
        "sent",
        "slowdown",
        "throttled_since_boot_ms",
        "stop_confirmed",
        "stop_reason",
        "stop_requested",
        "suspect",
        "tail",
        "task",
        "task_key",
        "trial",
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
        self.stop_requested = False
        self.stop_confirmed = False
        self.stop_reason = ""
        self.confirmed_boot_ms = now_boot_ms
        self.listed = False
        self.ordered_boot_ms = now_boot_ms
        self.retry_boot_ms = 0
        self.checkpoint = ""
        self.percent = 0
        self.load: int | None = None
        self.throttled_since_boot_ms: int | None = None
        self.progress_clock_ms: int | None = None
        self.trial = False
        self.first_seen_clock_ms: int | None = None
        self.expected_ends_boot_ms: tuple[float, ...] = ()
        self.slowdown = 1.0
        self.crash = ""
        self.crash_age_ms = 0
        self.suspect = False
        self.tail = TailHistory()
        self.pace = FULL_PACE
        self.pace_known = True
        self.target_pace = FULL_PACE

    @property
    def step(self) -> StepRecord | None:
        """Step of the task, if known."""
        return None if self.task is None else self.task.step

    @property
    def used_millicores(self) -> int:
        """Processor use: measured, or else estimated from the pace."""
        if self.load is not None or self.task is None:
            return self.load or 0
        declared = self.task.step.spec.processors_millicores
        return declared * self.pace // FULL_PACE

    def measure_ms(self, end_clock_ms: int) -> int | None:
        """Return how long a whole task took, None if that isn't known.

        Parameters
        ----------
        end_clock_ms : int
            Reading of the worker's clock when it listed the end.
        """
        if (
            self.first_seen_clock_ms is None
            # An order without an answer, or one of an earlier leader, may
            # have begun the run long before.
            or self.unanswered
            or self.task is None
            # The run began where an earlier one had ended.
            or self.task.checkpoint
        ):
            return None
        return max(1, end_clock_ms - self.first_seen_clock_ms)

    @property
    def key(self) -> tuple[str, int]:
        """Task name and run number."""
        return self.task_key, self.run

    @property
    def needs_order(self) -> bool:
        """Whether the worker has yet to confirm the desired state."""
        if self.phase is RunPhase.ENDED or not self.committed:
            return False
        if self.stop_requested:
            return not self.stop_confirmed
        return (
            self.phase is RunPhase.ORDERED
            or not self.pace_known
            or self.pace != self.target_pace
        )

    def apply_row(
        self, percent: int, load: int | None, checkpoint: str, clock_ms: int
    ) -> None:
        """Apply a row of the worker's list, read at a time of its clock."""
        self.listed = True
        if self.first_seen_clock_ms is None:
            self.first_seen_clock_ms = clock_ms
        if self.phase is RunPhase.ORDERED:
            self.phase = RunPhase.RUNNING
        if percent != self.percent:
            self.percent = percent
            self.progress_clock_ms = clock_ms
        self.load = load
        if checkpoint:
            self.checkpoint = checkpoint

    def confirm_pace(self, percent: int) -> None:
        """Note the pace that the worker has confirmed."""
        self.pace = percent
        self.pace_known = True

    def request_stop(self, reason: str) -> None:
        """Request a stop of the run; repeated calls have no effect."""
        if not self.stop_requested:
            self.stop_requested = True
            self.stop_reason = reason
