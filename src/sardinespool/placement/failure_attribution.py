"""Detection of faulty workers and of jobs that fail on every worker."""

from sardinespool.placement.fleet import FleetState
from sardinespool.placement.fleet import WorkerCapacity
from sardinespool.placement.settings import PolicySettings

MAXIMUM_FAILED_JOBS = 10_000
"""Maximum number of failed jobs kept; the oldest are dropped first."""


class FailureAttribution:
    """Attributes task failures to workers or to jobs.

    Failures on a quarantined worker do not count against jobs, and failures
    of a failed job do not count against workers.
    """

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._failed_jobs: dict[str, None] = {}

    def is_quarantined(self, worker: WorkerCapacity) -> bool:
        """Return whether enough jobs failed here since the last success."""
        view = worker.view
        if not self._settings.has("quarantine"):
            return False
        if len(view.failed_jobs) < self._settings.quarantine_jobs:
            return False
        if view.last_success_unix_ms > view.last_failure_unix_ms:
            return False
        attributable_jobs = set(view.failed_jobs).difference(self._failed_jobs)
        return len(attributable_jobs) >= self._settings.quarantine_jobs

    def is_probe_due(self, worker: WorkerCapacity, unix_ms: int) -> bool:
        """Return whether a quarantined worker may run one probe task."""
        elapsed_ms = unix_ms - worker.view.last_failure_unix_ms
        return elapsed_ms >= self._settings.probe_after_ms and not worker.tasks

    def failing_jobs(
        self, fleet: FleetState, quarantined: set[str]
    ) -> dict[str, set[str]]:
        """Return the jobs to fail, with the workers that they failed on.

        A job that failed on twice the required number of workers is failed
        even if these are quarantined. Otherwise several faulty jobs that run
        on the same workers would quarantine them and never be failed.
        """
        limit = self._settings.job_failure_workers
        if not self._settings.has("job-failures"):
            return {}
        workers_by_job: dict[str, set[str]] = {}
        for task in fleet.failed:
            workers_by_job.setdefault(task.job.job_id, set()).update(
                task.failed_workers
            )
        failing = {
            job_id: workers
            for job_id, workers in workers_by_job.items()
            if len(workers - quarantined) >= limit or len(workers) >= 2 * limit
        }
        for job_id in failing:
            self._failed_jobs[job_id] = None
        while len(self._failed_jobs) > MAXIMUM_FAILED_JOBS:
            del self._failed_jobs[next(iter(self._failed_jobs))]
        return failing
