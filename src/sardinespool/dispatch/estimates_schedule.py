"""When the estimates of the leader are committed."""

import collections

import msgspec

from sardinespool.clock import Instant
from sardinespool.dispatch.job_paths import predict_paths
from sardinespool.dispatch.run_times import RunTimes
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.estimates import RecordEstimates

ESTIMATES_INTERVAL_MS = 5_000
"""Interval between commits of the estimates. A leader without them interferes
with serving tasks for about ten seconds while it learns all pairs again."""

STEPS_PER_TICK_MAX = 5_000
"""Steps whose times are predicted at the start of a leadership, and in each
tick after it, until those of all stored jobs are. Each costs some us."""


class EstimatesSchedule:
    """Restores the estimates at the start of a leadership and commits them.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state with the estimates of earlier leaders.
    model : TailModel
        Model of this leader.

    Attributes
    ----------
    run_times : RunTimes
        Learned run times.
    begun_boot_ms : int
        Start of the leadership on the boot clock.
    """

    def __init__(self, machine: ControlMachine, model: TailModel) -> None:
        self._machine = machine
        self._model = model
        self._due_boot_ms = 0
        self.run_times = RunTimes()
        self.begun_boot_ms = 0
        self._unpredicted: collections.deque[str] = collections.deque()

    def begin(self, now: Instant) -> None:
        """Take over the committed estimates."""
        self.begun_boot_ms = now.boot_ms
        stored = self._machine.estimates
        self._model.restore(stored, now.boot_ms)
        self.run_times.restore(() if stored is None else stored.run_times)
        self._due_boot_ms = now.boot_ms + ESTIMATES_INTERVAL_MS
        self._unpredicted = collections.deque(self._machine.table.workflows)
        self._predict_next()

    def predict(self, job_id: str) -> None:
        """Set the predicted times of a job from the learned run times."""
        workflow = self._machine.table.workflows.get(job_id)
        if workflow is not None:
            predict_paths(self.run_times, workflow)

    def _predict_next(self) -> None:
        """Predict the times of some jobs of earlier leaderships."""
        steps = 0
        while self._unpredicted and steps < STEPS_PER_TICK_MAX:
            job_id = self._unpredicted.popleft()
            workflow = self._machine.table.workflows.get(job_id)
            if workflow is not None and workflow.predicted is None:
                steps += len(workflow.spec.steps)
                predict_paths(self.run_times, workflow)

    def take_due(self, now: Instant) -> RecordEstimates | None:
        """Return the estimates to commit, or None if none are due."""
        self._predict_next()
        if now.boot_ms < self._due_boot_ms:
            return None
        self._due_boot_ms = now.boot_ms + ESTIMATES_INTERVAL_MS
        estimates = msgspec.structs.replace(
            self._model.estimates(), run_times=self.run_times.records()
        )
        is_empty = not estimates.pair_estimates and not estimates.run_times
        if is_empty or estimates == self._machine.estimates:
            return None
        return estimates
