"""Handling of the answers of workers to lease renewals and orders."""

from sardinespool.clock import Instant
from sardinespool.dispatch.begun_jobs import BegunJobs
from sardinespool.dispatch.crash_trials import Loss
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import WorkerHealth
from sardinespool.dispatch.job_paths import learn_from_run
from sardinespool.dispatch.orders import EndedRun
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import OrderResult
from sardinespool.dispatch.orders import OtherWorker
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RenewLeaseResult
from sardinespool.dispatch.orders import RunningRun
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.dispatch.orders import Withheld
from sardinespool.dispatch.pace_controller import PaceController
from sardinespool.dispatch.run_control import RunControl
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.run_times import RunTimes
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import RunKey
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.observability.logs import get_logger

REFUSAL_PAUSE_MS = 1_500
"""Time without new starts on a worker that refused a start or a lease
renewal."""
_LOG = get_logger("dispatch")


class AnswerHandler:
    """Applies the answers of workers to the state of workers and runs.

    Parameters
    ----------
    fleet : Fleet
        Known workers.
    settings : DispatchSettings
        Timing.
    pacing : PaceController
        Adapts the pace of best-effort tasks.
    health : WorkerHealth
        Tracks failing and stalled runs by worker.
    begun_jobs : BegunJobs
        Collects the jobs of begun runs.
    run_times : RunTimes
        Learns from the runs that are done.
    control : RunControl
        Records ends of runs and stops runs.
    """

    def __init__(
        self,
        fleet: Fleet,
        settings: DispatchSettings,
        pacing: PaceController,
        health: WorkerHealth,
        begun_jobs: BegunJobs,
        run_times: RunTimes,
        control: RunControl,
    ) -> None:
        self._pace_controller = pacing
        self._health = health
        self._begun_jobs = begun_jobs
        self._run_times = run_times
        self._fleet = fleet
        self._settings = settings
        self._control = control

    def handle_renewal_result(
        self,
        worker: WorkerState,
        renewal: RenewLease,
        answer: RenewLeaseResult,
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        """Apply the answer to a lease renewal."""
        match answer:
            case LeaseRenewed(incarnation=incarnation) if (
                incarnation is not None
                and incarnation != worker.description.incarnation
            ):
                # The heartbeat of a later one brings the full description.
                self._mark_unresponsive(
                    worker, "another incarnation of the worker answered"
                )
            case LeaseRenewed():
                self._mark_responsive(worker, answer.clock_ms, now)
                self._apply_lists(worker, answer, sent_boot_ms, now)
            case OrderRefused(reason=Refusal.FENCED):
                self._fence(worker, renewal.fencing_token)
            case OrderRefused(reason=reason, clock_ms=clock_ms):
                self._mark_responsive(worker, clock_ms, now)
                worker.avoid_until_boot_ms = now.boot_ms + REFUSAL_PAUSE_MS
                _LOG.warning(
                    "hold refused",
                    worker=worker.worker_id,
                    reason=reason.value,
                )
            case OtherWorker():
                self._handle_replaced_worker(worker)
            case Withheld():
                # It says nothing of the worker.
                pass
            case NoAnswer(reason=reason, closed=closed):
                self._note_no_answer(worker, closed, now)
                self._mark_unresponsive(worker, reason)

    def handle_order_result(
        self,
        worker: WorkerState,
        run: RunState,
        order: Order,
        answer: OrderResult,
        now: Instant,
    ) -> None:
        """Apply the answer to an order for a run."""
        match answer:
            case OrderDone(clock_ms=clock_ms):
                self._mark_responsive(worker, clock_ms, now)
                self._handle_done(worker, run, order, clock_ms, now)
            case OrderRefused(reason=Refusal.FENCED):
                self._fence(worker, order.fencing_token)
            case OrderRefused(reason=reason, clock_ms=clock_ms):
                self._mark_responsive(worker, clock_ms, now)
                self._handle_refusal(worker, run, order, reason, now)
            case OtherWorker():
                self._handle_replaced_worker(worker)
            case Withheld():
                run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
            case NoAnswer(sent=sent, reason=reason, closed=closed):
                self._note_no_answer(worker, closed, now)
                run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
                if sent and isinstance(order, StartRun):
                    run.unanswered += 1
                    worker.unanswered_starts[run.key] = (now.boot_ms, run)
                if not sent:
                    self._mark_unresponsive(worker, reason)

    def expire_leases(self, now: Instant) -> None:
        """End the runs of unresponsive workers whose lease has expired.

        A lease counts as expired only when it has run out even on the
        slowest clock that a worker may have.
        """
        margin_ms = self._settings.lease_margin_ms
        for worker in list(self._fleet.workers.values()):
            if worker.answered or not worker.runs:
                continue
            if now.boot_ms < worker.unknown_lease_end_boot_ms:
                continue
            if worker.lease_end_ms and (
                worker.clock.lower_bound(now.boot_ms)
                < worker.lease_end_ms + margin_ms
            ):
                continue
            self._fleet.crashes.process_ended(
                worker, Loss.LEASE_EXPIRED, len(self._fleet.workers)
            )
            for run in list(worker.runs.values()):
                if run.committed:
                    self._control.end_run(
                        worker, run, "lost", Loss.LEASE_EXPIRED.value
                    )

    def _mark_responsive(
        self, worker: WorkerState, clock_ms: int | None, now: Instant
    ) -> None:
        if not worker.answered:
            worker.answered = True
            self._fleet.drop_earlier_workers(worker.description)
            _LOG.info("worker answers", worker=worker.worker_id)
        worker.last_answer_boot_ms = now.boot_ms
        worker.connection_closed = False
        self._fleet.crashes.note_answer(worker)
        if clock_ms is not None:
            worker.clock.read(clock_ms, now.boot_ms)
            worker.last_seen_clock_ms = max(
                worker.last_seen_clock_ms, clock_ms
            )

    def _note_no_answer(
        self, worker: WorkerState, closed: bool, now: Instant
    ) -> None:
        if closed:
            worker.connection_closed = True
        elif not worker.connection_closed:
            self._fleet.crashes.note_silence(worker, now)

    def _mark_unresponsive(self, worker: WorkerState, reason: str) -> None:
        if worker.answered:
            worker.answered = False
            _LOG.warning(
                "worker does not answer",
                worker=worker.worker_id,
                address=worker.description.address,
                runs=len(worker.runs),
                reason=reason,
            )

    def _fence(self, worker: WorkerState, token: int) -> None:
        self._control.handle_fencing(token)
        _LOG.warning(
            "fenced by a higher token", worker=worker.worker_id, token=token
        )

    def _handle_replaced_worker(self, worker: WorkerState) -> None:
        # An address is used by one process; the one that answers now refuses
        # every order addressed to the earlier one.
        self._fleet.drop(worker, Loss.ADDRESS_REUSED)

    def _handle_done(
        self,
        worker: WorkerState,
        run: RunState,
        order: Order,
        clock_ms: int | None,
        now: Instant,
    ) -> None:
        run.confirmed_boot_ms = now.boot_ms
        match order:
            case StartRun():
                self._begun_jobs.run_begun(worker, run, now)
                if run.first_seen_clock_ms is None:
                    run.first_seen_clock_ms = clock_ms
                if run.phase is RunPhase.ORDERED:
                    run.phase = RunPhase.RUNNING
            case StopRun():
                run.stop_confirmed = True
            case PaceRun(percent=percent):
                run.pace = percent

    def _handle_refusal(
        self,
        worker: WorkerState,
        run: RunState,
        order: Order,
        reason: Refusal,
        now: Instant,
    ) -> None:
        _LOG.info(
            "order refused",
            order=type(order).__name__,
            task=run.task_key,
            run=run.run,
            worker=worker.worker_id,
            reason=reason.value,
        )
        run.confirmed_boot_ms = now.boot_ms
        match order:
            case StartRun() if reason is Refusal.OLD:
                # The run has ended or was stopped before it started; the next
                # list requested from the worker shows which.
                run.phase = RunPhase.RUNNING
            case StartRun():
                if reason is not Refusal.LATE:
                    # Without a pause the next planning pass would choose the
                    # same worker again.
                    worker.avoid_until_boot_ms = now.boot_ms + REFUSAL_PAUSE_MS
                if run.unanswered:
                    self._control.stop_run(worker, run, reason.value)
                else:
                    self._control.end_run(worker, run, "lost", reason.value)
            case StopRun():
                run.stop_confirmed = reason is Refusal.OLD
                run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
            case PaceRun():
                # The run has ended; the next list contains its outcome.
                run.pace = run.target_pace

    def _apply_lists(
        self,
        worker: WorkerState,
        answer: LeaseRenewed,
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        present: set[RunKey] = set()
        for row in answer.running:
            present.add((row.task, row.run))
            self._apply_running_row(worker, row, answer.clock_ms, now)
        new_ends = False
        # An acknowledgement covers all ends with lower numbers.
        for ended in sorted(answer.ended, key=lambda row: row.number):
            present.add((ended.task, ended.run))
            if ended.number > worker.last_listed_end:
                worker.last_listed_end = ended.number
                new_ends = True
                self._apply_ended_row(worker, ended, answer.clock_ms, now)
        worker.has_unlisted_ends = not answer.is_complete
        if answer.is_complete:
            worker.reconciled = True
            self._handle_absent_runs(worker, present, sent_boot_ms, now)
        if new_ends:
            self._control.defer_acknowledgement(worker)
        self._pace_controller.update_paces(worker, now)
        if answer.is_complete:
            self._health.check_progress(
                worker, answer.clock_ms, now, self._control
            )

    def _handle_absent_runs(
        self,
        worker: WorkerState,
        present: set[RunKey],
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        """End or stop the runs that a complete list does not contain."""
        worker_obstacle = self._fleet.start_obstacle(worker, now)
        for run in list(worker.runs.values()):
            if (
                run.key not in present
                and run.phase is not RunPhase.ENDED
                and run.committed
                and run.confirmed_boot_ms < sent_boot_ms
                and (run.phase is RunPhase.RUNNING or run.stop_confirmed)
            ):
                self._control.end_run(
                    worker, run, "lost", run.stop_reason or "not on the worker"
                )
            elif (
                run.phase is RunPhase.ORDERED
                and run.sent
                and not run.in_flight
                and run.key not in present
                and (
                    obstacle := worker_obstacle
                    or self._fleet.limits.obstacle(run)
                )
            ):
                # Its start may still arrive, and can't be sent again.
                self._control.stop_run(worker, run, obstacle)

    def _apply_running_row(
        self,
        worker: WorkerState,
        row: RunningRun,
        clock_ms: int,
        now: Instant,
    ) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            # The run occupies resources until it ends. Their amount is known
            # from the log unless the job was already deleted.
            run = RunState(
                row.task,
                row.run,
                self._fleet.task_of(row.task),
                RunPhase.RUNNING,
                now.boot_ms,
            )
            run.sent = True
            worker.add_run(run)
            self._control.stop_run(worker, run, "not assigned")
            return
        if not run.listed:
            self._begun_jobs.run_begun(worker, run, now)
        run.apply_row(row.percent, row.load, row.checkpoint, clock_ms)

    def _apply_ended_row(
        self,
        worker: WorkerState,
        row: EndedRun,
        clock_ms: int,
        now: Instant,
    ) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            run = RunState(
                row.task, row.run, None, RunPhase.RUNNING, now.boot_ms
            )
        if row.checkpoint:
            run.checkpoint = row.checkpoint
        self._begun_jobs.run_begun(worker, run, now)
        self._control.end_run(
            worker, run, row.outcome, "reported", listed_number=row.number
        )
        if row.outcome == "done":
            learn_from_run(self._run_times, run, clock_ms)
            self._control.stop_later_runs(row.task, row.run)
        self._health.run_ended(worker, run, row.outcome, now)
