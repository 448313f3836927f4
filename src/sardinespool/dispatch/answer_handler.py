"""Handling of the answers of workers to lease renewals and orders."""

from typing import TypeVar

from sardinespool.clock import Instant
from sardinespool.dispatch import answer_log
from sardinespool.dispatch.begun_jobs import BegunJobs
from sardinespool.dispatch.crash_trials import Loss
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.list_handler import ListHandler
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import OrderResult
from sardinespool.dispatch.orders import OtherIncarnation
from sardinespool.dispatch.orders import OtherWorker
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RenewLeaseResult
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.dispatch.orders import Unconfirmed
from sardinespool.dispatch.orders import Withheld
from sardinespool.dispatch.run_control import RunControl
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_restart import longest_hold_ms
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.observability.logs import get_logger

REFUSAL_PAUSE_MS = 1_500
"""Time without new starts on a worker that refused a start or a lease
renewal."""
LEASING_REFUSALS = (Refusal.OLD, Refusal.NO_ROOM)
"""Refusals of a start that still extends the lease of the worker's runs."""

AnyResult = TypeVar("AnyResult", OrderResult, RenewLeaseResult)

_LOG = get_logger("dispatch")


class AnswerHandler:
    """Applies the answers of workers to the state of workers and runs.

    Parameters
    ----------
    fleet : Fleet
        Known workers.
    settings : DispatchSettings
        Timing.
    lists : ListHandler
        Applies the lists in the answers.
    begun_jobs : BegunJobs
        Collects the jobs of begun runs.
    control : RunControl
        Records ends of runs and stops runs.
    metrics : DispatchMetrics
        Counts the answers.
    """

    def __init__(
        self,
        fleet: Fleet,
        settings: DispatchSettings,
        lists: ListHandler,
        begun_jobs: BegunJobs,
        control: RunControl,
        metrics: DispatchMetrics,
    ) -> None:
        self._metrics = metrics
        self._lists = lists
        self._begun_jobs = begun_jobs
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
        answer = _attribute(worker, answer, sent_boot_ms)
        self._metrics.renewals.inc(answer=type(answer).__name__)
        match answer:
            case LeaseRenewed():
                self._mark_responsive(worker, answer.clock_ms, now)
                self._lists.apply(worker, answer, sent_boot_ms, now)
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
            case OtherIncarnation():
                self._handle_other_incarnation(worker, renewal, answer, now)
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
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        """Apply the answer to an order for a run."""
        answer = _attribute(worker, answer, sent_boot_ms)
        self._metrics.orders.inc(
            kind=type(order).__name__, answer=type(answer).__name__
        )
        match answer:
            case OrderDone(clock_ms=clock_ms):
                self._mark_responsive(worker, clock_ms, now)
                if isinstance(order, StartRun):
                    answer_log.log_started(
                        worker, run, order, clock_ms, sent_boot_ms
                    )
                self._handle_done(worker, run, order, clock_ms, now)
            case OrderRefused(reason=Refusal.FENCED):
                self._fence(worker, order.fencing_token)
            case OrderRefused(reason=reason, clock_ms=clock_ms):
                self._mark_responsive(worker, clock_ms, now)
                self._handle_refusal(worker, run, order, reason, now)
            case OtherWorker():
                self._handle_replaced_worker(worker)
            case OtherIncarnation(executed=executed):
                self._handle_other_incarnation(worker, order, answer, now)
                run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
                if executed:
                    self._note_unanswered(worker, run, order, now)
            case Withheld():
                run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
            case Unconfirmed(refused=refused):
                run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
                if not refused:
                    self._note_no_answer(worker, False, now)
                elif isinstance(order, StartRun):
                    self._handle_refusal(
                        worker, run, order, Refusal.UNHEALTHY, now
                    )
            case NoAnswer(sent=sent, reason=reason, closed=closed):
                self._note_no_answer(worker, closed, now)
                run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
                if sent:
                    self._note_unanswered(worker, run, order, now)
                else:
                    self._mark_unresponsive(worker, reason)

    def _handle_other_incarnation(
        self,
        worker: WorkerState,
        call: RenewLease | Order,
        answer: OtherIncarnation,
        now: Instant,
    ) -> None:
        """Handle a call that took place on another process of the worker.

        It may hold what it was told to start for the longest lease, as the
        lease end is on a clock that it doesn't have. The heartbeat of the
        process brings its description.
        """
        if answer.executed:
            worker.other_lease_end_boot_ms = now.boot_ms + longest_hold_ms(
                self._settings
            )
        self._metrics.other_incarnations.inc(call=type(call).__name__)
        answer_log.log_other_incarnation(worker, call, answer, now)
        self._mark_unresponsive(
            worker, "another incarnation of the worker answered"
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

    def _note_unanswered(
        self, worker: WorkerState, run: RunState, order: Order, now: Instant
    ) -> None:
        """Note an order that may be in effect, now or later."""
        if isinstance(order, StartRun):
            run.unanswered += 1
            worker.unanswered_starts[run.key] = (now.boot_ms, run)
        elif isinstance(order, PaceRun):
            run.pace_known = False

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
                run.confirm_pace(percent)

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
                run.confirm_pace(run.target_pace)


def _attribute(
    worker: WorkerState, answer: AnyResult, sent_boot_ms: int
) -> AnyResult | OtherIncarnation:
    """Return an answer, as that of another incarnation if it must be.

    An answer to an order does not name the process that gives it, but reads
    its clock. A reading that is not below the worker's clock keeps the lease
    within its bounds, whichever process gives it.
    """
    match answer:
        case LeaseRenewed(clock_ms=clock_ms, incarnation=int() as other) if (
            other != worker.description.incarnation
        ):
            return OtherIncarnation(other, clock_ms, executed=True)
        case OrderRefused(reason=Refusal.FENCED):
            return answer
        case OrderDone(clock_ms=clock_ms) | OrderRefused(clock_ms=clock_ms):
            if clock_ms is not None and worker.clock.is_below(
                clock_ms, sent_boot_ms
            ):
                executed = (
                    isinstance(answer, OrderDone)
                    or answer.reason in LEASING_REFUSALS
                )
                return OtherIncarnation(None, clock_ms, executed)
    return answer
