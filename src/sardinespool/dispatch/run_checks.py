"""Periodic log lines and figures about runs that do not move on."""

from collections.abc import Mapping

from sardinespool.clock import Instant
from sardinespool.dispatch import run_log
from sardinespool.dispatch.end_queue import EndQueue
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.workflows.table import WorkflowTable

CHECK_INTERVAL_MS = 5_000
"""Interval between checks; each walks over all runs."""


class RunChecks:
    """Reports runs that no worker state contains, or on silent workers.

    Parameters
    ----------
    metrics : DispatchMetrics
        Gets the number of runs on silent workers.
    """

    def __init__(self, metrics: DispatchMetrics) -> None:
        self._metrics = metrics
        self._due_boot_ms = 0

    def begin(self, now: Instant) -> None:
        """Schedule the first check of a leadership."""
        self._due_boot_ms = now.boot_ms + CHECK_INTERVAL_MS

    def run_if_due(
        self,
        table: WorkflowTable,
        workers: Mapping[str, WorkerState],
        ends: EndQueue,
        now: Instant,
    ) -> None:
        """Check the runs unless that was done recently.

        Parameters
        ----------
        table, workers
            See `run_log.log_untracked_runs`.
        ends : EndQueue
            Ends that are not committed yet.
        now : Instant
            Current time.
        """
        if now.boot_ms < self._due_boot_ms:
            return
        self._due_boot_ms = now.boot_ms + CHECK_INTERVAL_MS
        run_log.log_untracked_runs(table, workers, ends.run_keys)
        self._metrics.silent_runs.set(
            run_log.log_silent_workers(workers.values(), now)
        )
