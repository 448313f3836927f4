"""Quarantine of workers on which runs fail or stall."""

import collections
from collections.abc import Mapping
from typing import Protocol

from sardinespool.clock import Instant
from sardinespool.dispatch.failure_evidence import JobFailures
from sardinespool.dispatch.near_supply import can_ever_take
from sardinespool.dispatch.restart_delays import RestartDelays
from sardinespool.dispatch.run_state import FULL_PACE
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import RunOutcome
from sardinespool.observability.logs import get_logger
from sardinespool.workflows.records import StepRecord

FAILED_JOBS_MAX = 2
"""Different jobs that fail in a row on a worker before it is quarantined, not
counting those that the failures are attributed to."""
QUARANTINED_SHARE_MAX = 1 / 3
"""Share of a pool that is quarantined at a time, rounded to whole workers, but
at least one. Whatever fails, the rest takes the tasks of others."""
QUARANTINE_MS = 3_000
"""Time after which a quarantined worker gets one task on probation."""
STALL_TIMEOUT_MS = 2_500
"""Time without progress after which a run counts as stalled; at full pace
even the longest tasks advance by one percent in 70 ms."""
TRACKED_STEPS_MAX = 5_000
"""Steps and jobs whose failures are tracked; the oldest are dropped first."""
POOL_SIZES_AGE_MAX_MS = 1_000
"""Interval of counting the workers of the pools."""

_LOG = get_logger("dispatch")

StepKey = tuple[str, int, int]


class RunStopper(Protocol):
    """Operation of the dispatcher that the planning parts need."""

    def stop_run(
        self, worker: WorkerState, run: RunState, reason: str
    ) -> None:
        """Stop a run."""


class WorkerHealth:
    """Quarantines workers on which runs fail or stall.

    Parameters
    ----------
    workers : mapping of str to WorkerState
        Known workers by ID.

    Attributes
    ----------
    restart_delays : RestartDelays
        Delays of long-running tasks that fail again and again.
    """

    def __init__(self, workers: Mapping[str, WorkerState]) -> None:
        self.restart_delays = RestartDelays()
        self._workers = workers
        self._failed_workers: dict[StepKey, set[str]] = {}
        self._jobs: dict[str, JobFailures] = {}
        self._quarantined: dict[str, WorkerState] = {}
        self._pool_sizes: collections.Counter[str] = collections.Counter()
        self._pool_sizes_due_boot_ms = 0

    def reset(self) -> None:
        """Clear all recorded failures."""
        self.restart_delays.reset()
        self._failed_workers.clear()
        self._jobs.clear()
        self._quarantined.clear()
        self._pool_sizes_due_boot_ms = 0

    def failed_workers(self, step_key: StepKey) -> set[str]:
        """Return the workers on which tasks of a step failed or stalled."""
        return self._failed_workers.get(step_key, set())

    def run_ended(
        self,
        worker: WorkerState,
        run: RunState,
        outcome: RunOutcome,
        now: Instant,
    ) -> None:
        """Update the failure record of a worker at the end of a run."""
        if outcome == "done":
            worker.failed_jobs.clear()
            worker.on_probation = False
            self._record_success(worker, run, now)
        elif outcome == "failed":
            self._record_failure(worker, run, now, "failed")

    def check_progress(
        self,
        worker: WorkerState,
        clock_ms: int,
        now: Instant,
        control: RunStopper,
    ) -> None:
        """Stop runs that make no progress at full pace.

        Parameters
        ----------
        clock_ms : int
            The worker's clock when it listed its runs. Time in which the
            lists were delayed, or this process was paused, does not count.
        """
        for run in list(worker.runs.values()):
            step = run.step
            if (
                step is None
                or run.phase is not RunPhase.RUNNING
                or run.stop_requested
                or step.spec.long_running
                or not run.pace_known
                or run.pace != FULL_PACE
                or run.target_pace != FULL_PACE
                or run.progress_clock_ms is None
            ):
                run.progress_clock_ms = clock_ms
            elif clock_ms - run.progress_clock_ms > STALL_TIMEOUT_MS:
                self._record_failure(worker, run, now, "stalled")
                control.stop_run(worker, run, "no progress")

    def _record_failure(
        self, worker: WorkerState, run: RunState, now: Instant, cause: str
    ) -> None:
        step = run.step
        if step is None:
            return
        while len(self._failed_workers) >= TRACKED_STEPS_MAX:
            del self._failed_workers[next(iter(self._failed_workers))]
        self._failed_workers.setdefault(step.key, set()).add(worker.worker_id)
        age_ms = now.boot_ms - run.ordered_boot_ms
        if step.spec.long_running:
            self.restart_delays.record_failure(run.task_key, age_ms, now)
        job_id = step.workflow.job_id
        while len(self._jobs) >= TRACKED_STEPS_MAX:
            del self._jobs[next(iter(self._jobs))]
        failures = self._jobs.setdefault(job_id, JobFailures())
        is_known_worker = worker.worker_id in failures.failed_on
        failures.record_failure(worker.worker_id, age_ms)
        worker.failed_jobs.add(job_id)
        self._count_pools(now)
        if self._is_suspect(worker) or (
            worker.on_probation and not self._is_job_at_fault(job_id, worker)
        ):
            self._quarantine(worker, cause, step, now)
        if not is_known_worker and len(failures.failed_on) > 1:
            _LOG.warning(
                "job fails on several workers",
                job=job_id,
                cause=cause,
                workers=len(failures.failed_on),
            )
            self._release_cleared()

    def _record_success(
        self, worker: WorkerState, run: RunState, now: Instant
    ) -> None:
        if run.step is None:
            return
        failures = self._jobs.get(run.step.workflow.job_id)
        if failures is None:
            return
        failed_mostly = failures.fails_mostly
        failures.record_success(worker.worker_id)
        if not failed_mostly or failures.fails_mostly:
            return
        self._count_pools(now)
        for worker_id in failures.failed_on:
            other = self._workers.get(worker_id)
            if other is not None and self._is_suspect(other):
                self._quarantine(other, "failed", run.step, now)

    def _is_job_at_fault(self, job_id: str, worker: WorkerState) -> bool:
        failures = self._jobs.get(job_id)
        return failures is not None and failures.is_job_at_fault(
            len(worker.failed_jobs), self._set_aside_max(worker)
        )

    def _is_suspect(self, worker: WorkerState) -> bool:
        """Return whether enough failures are evidence against a worker."""
        return FAILED_JOBS_MAX <= sum(
            not self._is_job_at_fault(job_id, worker)
            for job_id in worker.failed_jobs
        )

    def _set_aside_max(self, worker: WorkerState) -> int:
        """Return how many workers of the worker's pool may be quarantined."""
        pool_size = self._pool_sizes[worker.description.pool]
        return max(1, round(QUARANTINED_SHARE_MAX * pool_size))

    def _quarantine(
        self, worker: WorkerState, cause: str, step: StepRecord, now: Instant
    ) -> None:
        """Quarantine a worker after a failure of a step's task.

        Not for failures of tasks that no other worker takes: they would only
        wait, and with them the sound ones that also have no other worker. A
        task that stalls would hold its place on the worker instead.
        """
        job_id = step.workflow.job_id
        self._drop_ended_quarantines(now)
        has_room = self._has_room_for(worker)
        if not has_room or not (
            cause == "stalled" or self._has_other_worker(worker, step)
        ):
            _LOG.warning(
                "worker not set aside",
                worker=worker.worker_id,
                cause=cause,
                job=job_id,
                reason="no other worker" if has_room else "too many are",
                set_aside=len(self._quarantined),
            )
            return
        worker.set_aside_until_boot_ms = now.boot_ms + QUARANTINE_MS
        worker.on_probation = True
        self._quarantined[worker.worker_id] = worker
        _LOG.warning(
            "worker set aside",
            worker=worker.worker_id,
            cause=cause,
            job=job_id,
            failed_jobs=len(worker.failed_jobs),
            until_boot_ms=worker.set_aside_until_boot_ms,
        )

    def _has_room_for(self, worker: WorkerState) -> bool:
        """Return whether another worker of the pool may be quarantined."""
        pool = worker.description.pool
        others = sum(
            other is not worker and other.description.pool == pool
            for other in self._quarantined.values()
        )
        return others < self._set_aside_max(worker)

    def _count_pools(self, now: Instant) -> None:
        if now.boot_ms >= self._pool_sizes_due_boot_ms:
            self._pool_sizes_due_boot_ms = now.boot_ms + POOL_SIZES_AGE_MAX_MS
            self._pool_sizes = collections.Counter(
                other.description.pool for other in self._workers.values()
            )

    def _drop_ended_quarantines(self, now: Instant) -> None:
        self._quarantined = {
            worker_id: other
            for worker_id, other in self._quarantined.items()
            if now.boot_ms < other.set_aside_until_boot_ms
            and self._workers.get(worker_id) is other
        }

    def _has_other_worker(self, worker: WorkerState, step: StepRecord) -> bool:
        """Return whether an open worker of the pool can take such a task."""
        return any(
            other is not worker
            and other.answered
            and not other.description.draining
            and other.description.pool == worker.description.pool
            and other.worker_id not in self._quarantined
            and can_ever_take(other, step)
            for other in self._workers.values()
        )

    def _release_cleared(self) -> None:
        """End the quarantines whose evidence is attributed to jobs now."""
        for worker_id, worker in list(self._quarantined.items()):
            if not self._is_suspect(worker):
                del self._quarantined[worker_id]
                worker.set_aside_until_boot_ms = 0
                worker.on_probation = False
                _LOG.info("worker no longer set aside", worker=worker_id)
