"""Workers that fail every task and jobs that fail on every worker."""

from sardinespool.placement.fleet import Fleet
from sardinespool.placement.fleet import WorkerState
from sardinespool.placement.settings import PolicySettings

MAXIMUM_FAILED_JOBS = 10_000
"""Failed jobs that are remembered; the oldest are forgotten beyond it."""


class FailureAttribution:
    """Tells faults of workers from faults of jobs.

    A worker's failures do not count against jobs while it is quarantined,
    and a failed job's failures do not count against workers.
    """

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._failed_jobs: dict[str, None] = {}

    def quarantined(self, worker: WorkerState) -> bool:
        """Return whether distinct jobs failed here without a success."""
        view = worker.view
        if not self._settings.has("quarantine"):
            return False
        if len(view.failed_jobs) < self._settings.quarantine_jobs:
            return False
        if view.last_success_unix_ms > view.last_failure_unix_ms:
            return False
        counted = set(view.failed_jobs).difference(self._failed_jobs)
        return len(counted) >= self._settings.quarantine_jobs

    def probe_due(self, worker: WorkerState, unix_ms: int) -> bool:
        """Return whether one task may probe a quarantined worker."""
        since_ms = unix_ms - worker.view.last_failure_unix_ms
        return since_ms >= self._settings.probe_after_ms and not worker.tasks

    def failing_jobs(
        self, fleet: Fleet, quarantined: set[str]
    ) -> dict[str, set[str]]:
        """Return jobs to fail with the workers that they failed on.

        A job that failed on twice the number of workers is failed even if
        those are quarantined: several broken jobs on the same workers would
        otherwise hide each other.
        """
        limit = self._settings.job_failure_workers
        if not self._settings.has("job-failures"):
            return {}
        failed_on: dict[str, set[str]] = {}
        for task in fleet.failed:
            failed_on.setdefault(task.job.job_id, set()).update(
                task.failed_workers
            )
        failing = {
            job_id: workers
            for job_id, workers in failed_on.items()
            if len(workers - quarantined) >= limit or len(workers) >= 2 * limit
        }
        for job_id in failing:
            self._failed_jobs[job_id] = None
        while len(self._failed_jobs) > MAXIMUM_FAILED_JOBS:
            del self._failed_jobs[next(iter(self._failed_jobs))]
        return failing
