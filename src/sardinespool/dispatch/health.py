"""Condition of workers as their runs show it."""

from typing import Protocol

from sardinespool.clock import Instant
from sardinespool.dispatch.run_state import FULL_PACE
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import RunOutcome
from sardinespool.observability.logs import get_logger

FAILING_JOBS_MAX = 2
"""Jobs that fail in a row on a worker until it is set aside.

One job can fail everywhere; two different ones point to the worker.
"""
FAILING_PAUSE_MS = 3_000
"""Pause after which a worker that was set aside gets one task on trial."""
STILL_MS = 2_500
"""Time without progress after which a run counts as stuck; at full pace the
longest tasks of the users' sheets advance by a percent in 70 ms."""
SHUNNED_STEPS_MAX = 5_000
"""Steps for which failures are remembered; the oldest go first."""

_LOG = get_logger("dispatch")

StepKey = tuple[str, int, int]


class StopRuns(Protocol):
    """What the health checks ask of the dispatcher."""

    def stop_run(
        self, worker: WorkerState, run: RunState, reason: str
    ) -> None:
        """Stop a run."""


class Health:
    """Sets workers aside on which runs fail or stand still."""

    def __init__(self) -> None:
        self._shunned: dict[StepKey, set[str]] = {}

    def reset(self) -> None:
        """Forget all failures."""
        self._shunned.clear()

    def shunned(self, step_key: StepKey) -> set[str]:
        """Return the workers on which tasks of a step failed."""
        return self._shunned.get(step_key, set())

    def run_ended(
        self,
        worker: WorkerState,
        run: RunState,
        outcome: RunOutcome,
        now: Instant,
    ) -> None:
        """Take the end of a run into the judgement of its worker."""
        if outcome == "done":
            worker.failed_jobs.clear()
            worker.on_trial = False
        elif outcome == "failed":
            self._blame(worker, run, now, "failed")

    def check_progress(
        self, worker: WorkerState, now: Instant, control: StopRuns
    ) -> None:
        """Stop runs that stand still though they could work."""
        for run in list(worker.runs.values()):
            step = run.step
            if (
                step is None
                or run.phase is not RunPhase.RUNNING
                or run.stop_wanted
                or step.spec.long_running
                or run.pace != FULL_PACE
                or run.pace_wanted != FULL_PACE
            ):
                run.progress_boot_ms = now.boot_ms
            elif now.boot_ms - run.progress_boot_ms > STILL_MS:
                self._blame(worker, run, now, "stands still")
                control.stop_run(worker, run, "no progress")

    def _blame(
        self, worker: WorkerState, run: RunState, now: Instant, cause: str
    ) -> None:
        step = run.step
        if step is None:
            return
        while len(self._shunned) >= SHUNNED_STEPS_MAX:
            del self._shunned[next(iter(self._shunned))]
        self._shunned.setdefault(step.key, set()).add(worker.worker_id)
        worker.failed_jobs.add(step.workflow.job_id)
        if worker.on_trial or len(worker.failed_jobs) >= FAILING_JOBS_MAX:
            worker.avoid_until_boot_ms = now.boot_ms + FAILING_PAUSE_MS
            worker.on_trial = True
            _LOG.warning(
                "worker set aside",
                worker=worker.worker_id,
                cause=cause,
                task=run.task_key,
                failed_jobs=len(worker.failed_jobs),
                until_boot_ms=worker.avoid_until_boot_ms,
            )
