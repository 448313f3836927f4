"""Attributes failed runs to their job or to the worker that they ran on.

Load: the tasks of some jobs fail wherever and as often as they start, while
on a faulty worker the tasks of all jobs fail. A failure is attributed to the
job if the job fails on more workers than it works on, and on several more than
jobs fail on this worker, or on more than can be set aside. Otherwise it is
evidence against the worker.

The state is held by the leader; the next one learns it anew from ends.
"""

MARGIN_WORKERS = 1
"""A job that fails on one faulty worker after the other is not at fault."""
WORKING_MS = 5_000
"""Age from which a run that fails has worked on its worker before."""


class JobFailures:
    """Workers on which the tasks of one job failed, and worked."""

    def __init__(self) -> None:
        self.failed_on: dict[str, None] = {}
        self._worked_on: set[str] = set()

    def record_failure(self, worker_id: str, age_ms: int) -> None:
        """Record a run that failed `age_ms` after it was ordered."""
        self.failed_on[worker_id] = None
        if age_ms >= WORKING_MS:
            self._worked_on.add(worker_id)

    def record_success(self, worker_id: str) -> None:
        """Record a run that was done."""
        self._worked_on.add(worker_id)

    @property
    def fails_mostly(self) -> bool:
        """Whether the job fails on more workers than it works on."""
        return len(self.failed_on) > len(self._worked_on)

    def is_job_at_fault(self, failed_jobs: int, set_aside_max: int) -> bool:
        """Return whether a failure on a worker is attributed to the job.

        Parameters
        ----------
        failed_jobs : int
            Number of jobs that failed on the worker in a row.
        set_aside_max : int
            Number of workers of the pool that can be set aside.
        """
        failed_on = len(self.failed_on)
        return self.fails_mostly and (
            failed_on > failed_jobs + MARGIN_WORKERS
            or failed_on > set_aside_max
        )
