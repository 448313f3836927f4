"""Next lease renewal and next order for each worker.

A lease renewal is a long poll that extends the lease of a worker and returns
its running and ended runs.
"""

from sardinespool.clock import Instant
from sardinespool.dispatch import crash_trials
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import RunKey
from sardinespool.dispatch.worker_state import WorkerState

TRIAL_POLL_MARGIN_MS = 10
"""Added to the wait for the end of a trial, so that the answer shows it."""
CLOCK_ERROR_MAX_MS = 1_000
"""Error of the estimate of a worker's clock above which a start waits for a
reading. A lease is shorter by the error, and must outlast a lease renewal."""


class OrderQueue:
    """Derives orders from the desired state of runs, one at a time.

    Parameters
    ----------
    fleet : Fleet
        Workers and their runs.
    settings : DispatchSettings
        Timing.

    Attributes
    ----------
    fencing_token : int
        Term of this leader; 0 while this member does not lead.
    fenced : bool
        Whether a worker has seen a higher token. Another member leads then,
        and all further orders would be refused.
    """

    def __init__(self, fleet: Fleet, settings: DispatchSettings) -> None:
        self._fleet = fleet
        self._settings = settings
        self.fencing_token = 0
        self.fenced = False

    @property
    def can_send(self) -> bool:
        """Whether this member leads and is not fenced."""
        return bool(self.fencing_token) and not self.fenced

    def next_lease_renewal(
        self, worker_id: str, now: Instant
    ) -> RenewLease | None:
        """Return the next lease renewal, or None if none is due."""
        worker = self._fleet.workers.get(worker_id)
        if worker is None or not self.can_send or worker.ends_commit_pending:
            return None
        if (
            worker.reconciled
            and worker.answered
            and not worker.runs
            and not worker.has_unlisted_ends
            and worker.acknowledged_end >= worker.last_listed_end
        ):
            return None
        if (
            not worker.answered
            and not worker.runs
            and not self._fleet.was_heard_recently(worker, now)
        ):
            # Its next heartbeat resumes the lease renewals.
            return None
        return RenewLease(
            fencing_token=self.fencing_token,
            acknowledged_end=worker.acknowledged_end,
            wait_ms=self._poll_wait_ms(worker, now),
            # Unanswered renewals would postpone the end of the lease forever.
            lease_end_ms=(
                self._next_lease_end_ms(worker, now)
                if worker.answered
                else None
            ),
        )

    def next_order(
        self, worker_id: str, now: Instant
    ) -> tuple[RunKey, Order] | None:
        """Return the next order for a worker, or None if none is due."""
        worker = self._orderable_worker(worker_id)
        if worker is None:
            return None
        for run in list(worker.pending.values()):
            if not run.needs_order:
                del worker.pending[run.key]
                continue
            if run.in_flight or now.boot_ms < run.retry_boot_ms:
                continue
            if _awaits_answer(worker, run, now):
                continue
            order = self._build_order(worker, run, now)
            if order is None:
                continue
            run.in_flight = True
            run.sent = True
            return run.key, order
        return None

    def ms_until_next_order(self, worker_id: str, now: Instant) -> int | None:
        """Return the milliseconds until the next order may be sent.

        None if no order waits, or none may be sent until an event wakes the
        sender.
        """
        worker = self._orderable_worker(worker_id)
        if worker is None:
            return None
        delays_ms = [
            run.retry_boot_ms - now.boot_ms
            for run in worker.pending.values()
            if run.needs_order
            and not run.in_flight
            and not _awaits_answer(worker, run, now)
        ]
        return max(1, min(delays_ms)) if delays_ms else None

    def _orderable_worker(self, worker_id: str) -> WorkerState | None:
        """Return a worker, or None if it may not be sent any order now."""
        worker = self._fleet.workers.get(worker_id)
        if (
            worker is None
            or not self.can_send
            or not worker.reconciled
            or not worker.clock.known
        ):
            return None
        return worker

    def _poll_wait_ms(self, worker: WorkerState, now: Instant) -> int:
        if (
            not worker.reconciled
            or not worker.answered
            or _is_clock_outdated(worker, now)
        ):
            return 0
        wait_ms = self._settings.renewal_wait_ms
        if worker.serving_images and worker.best_effort_millicores:
            wait_ms = self._settings.watch_wait_ms
        trial_ms = crash_trials.ms_until_trials_end(worker)
        if trial_ms is None:
            return wait_ms
        return min(wait_ms, trial_ms + TRIAL_POLL_MARGIN_MS)

    def _next_lease_end_ms(
        self, worker: WorkerState, now: Instant
    ) -> int | None:
        if not worker.clock.known:
            return None
        # The next leader counts `lease_ms` from the worker's true clock. The
        # estimate is above a slow clock that was not read for long, such as
        # that of an idle worker.
        start_ms = min(
            worker.clock.estimate(now.boot_ms),
            worker.clock.lower_bound(now.boot_ms)
            + self._settings.lease_margin_ms,
        )
        end_ms = start_ms + self._settings.lease_ms
        worker.lease_end_ms = max(worker.lease_end_ms, end_ms)
        return end_ms

    def _build_order(
        self, worker: WorkerState, run: RunState, now: Instant
    ) -> Order | None:
        if run.stop_requested:
            return StopRun(run.task_key, run.run, self.fencing_token)
        if run.phase is RunPhase.RUNNING:
            return PaceRun(
                run.task_key, run.run, run.target_pace, self.fencing_token
            )
        if not self._fleet.may_send_start(
            worker, now
        ) or self._fleet.limits.is_excess(run):
            # The worker may not have received an earlier order of the run.
            run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
            return None
        lease_end_ms = self._next_lease_end_ms(worker, now)
        if run.task is None or lease_end_ms is None:
            return None
        return StartRun(
            task=run.task_key,
            run=run.run,
            payload=run.task.step.workflow.spec.payload,
            lease_end_ms=lease_end_ms,
            fencing_token=self.fencing_token,
            checkpoint=run.task.checkpoint,
        )


def _is_clock_outdated(worker: WorkerState, now: Instant) -> bool:
    """Return whether a worker's clock was read too long ago for a lease."""
    return worker.clock.error_ms(now.boot_ms) > CLOCK_ERROR_MAX_MS


def _awaits_answer(worker: WorkerState, run: RunState, now: Instant) -> bool:
    """Return whether the next order is a start that a worker can't get now.

    A start extends the lease of all runs on the worker. While the worker does
    not answer, their lease must run out. The lease end needs a reading of the
    worker's clock that is not too old.
    """
    return (
        (not worker.answered or _is_clock_outdated(worker, now))
        and not run.stop_requested
        and run.phase is RunPhase.ORDERED
    )
