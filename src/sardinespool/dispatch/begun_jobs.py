"""Begins of jobs on their way into the replicated state."""

from sardinespool.clock import Instant
from sardinespool.dispatch import run_log
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState

RECORD_DELAY_MS = 1_000
"""Longest wait of a begin for a command that is due anyway; half of the age
that callers accept in the number of waiting jobs."""


class BegunJobs:
    """Collects the jobs of begun runs for the next command.

    A begin needs no command of its own at once: the next leader learns it
    again from the lists of the worker.

    Parameters
    ----------
    fleet : Fleet
        Known workers, and the tasks of their runs.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._pending: dict[str, int] = {}
        self._committing: dict[str, int] = {}

    def run_begun(
        self, worker: WorkerState, run: RunState, now: Instant
    ) -> None:
        """Queue the job of a begun run, unless an earlier run had begun."""
        task = run.task or self._fleet.task_of(run.task_key)
        if task is None:
            return
        workflow = task.step.workflow
        job_id = workflow.job_id
        if (
            workflow.begun
            or job_id in self._pending
            or job_id in self._committing
        ):
            return
        self._pending[job_id] = now.boot_ms
        run_log.log_job_begun(workflow, worker, run, now)

    def is_due(self, now: Instant) -> bool:
        """Return whether a begin must not wait any longer."""
        earliest_boot_ms = next(iter(self._pending.values()), now.boot_ms)
        return now.boot_ms - earliest_boot_ms >= RECORD_DELAY_MS

    def take(self) -> tuple[str, ...]:
        """Return the ids of the jobs to record in the next command."""
        self._committing, self._pending = self._pending, {}
        return tuple(self._committing)

    def reset(self) -> None:
        """Forget all begins."""
        self._pending = {}
        self._committing = {}
