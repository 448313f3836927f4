"""What the answers of workers mean for their runs."""

from typing import Protocol

from sardinespool.clock import Instant
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import Health
from sardinespool.dispatch.orders import EndedRow
from sardinespool.dispatch.orders import HoldAnswer
from sardinespool.dispatch.orders import HoldDone
from sardinespool.dispatch.orders import HoldWorker
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderAnswer
from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import OtherWorker
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RunningRow
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.dispatch.pacing import Pacing
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import RunOutcome
from sardinespool.observability.logs import get_logger

UNHEALTHY_PAUSE_MS = 1_500
"""Pause of starts on a worker that refused one as unhealthy or full."""
_LOG = get_logger("dispatch")


class RunControl(Protocol):
    """What the handler asks of the dispatcher."""

    def end_run(
        self,
        worker: WorkerState,
        run: RunState,
        outcome: RunOutcome,
        reason: str,
    ) -> None:
        """Report the end of a run."""

    def stop_run(
        self, worker: WorkerState, run: RunState, reason: str
    ) -> None:
        """Stop a run."""

    def stop_ordering(self, refused_token: int) -> None:
        """Send no more orders with a token that a worker refused."""

    def note_listed_ends(self, worker: WorkerState) -> None:
        """Commit the listed ends before they are acknowledged."""


class AnswerHandler:
    """Applies answers to the state of workers and runs.

    Parameters
    ----------
    fleet : Fleet
        Workers.
    settings : DispatchSettings
        Timing.
    pacing : Pacing
        Adapts the pace of filling tasks.
    health : Health
        Judges workers by the ends of their runs.
    control : RunControl
        Takes ends and stops.
    """

    def __init__(
        self,
        fleet: Fleet,
        settings: DispatchSettings,
        pacing: Pacing,
        health: Health,
        control: RunControl,
    ) -> None:
        self._pacing = pacing
        self._health = health
        self._fleet = fleet
        self._settings = settings
        self._control = control

    def hold_answered(
        self,
        worker: WorkerState,
        hold: HoldWorker,
        answer: HoldAnswer,
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        """Take the answer to a hold."""
        match answer:
            case HoldDone(life=life) if (
                life is not None and life != worker.description.life
            ):
                self._other_life(worker, life)
            case HoldDone():
                self._heard(worker, answer.clock_ms, now)
                self._take_lists(worker, answer, sent_boot_ms, now)
            case OrderRefused(reason=Refusal.FENCED):
                self._fence(worker, hold.fencing_token)
            case OrderRefused(reason=reason, clock_ms=clock_ms):
                self._heard(worker, clock_ms, now)
                worker.avoid_until_boot_ms = now.boot_ms + UNHEALTHY_PAUSE_MS
                _LOG.warning(
                    "hold refused",
                    worker=worker.worker_id,
                    reason=reason.value,
                )
            case OtherWorker():
                self._replaced(worker)
            case NoAnswer(reason=reason):
                self._unheard(worker, reason)

    def order_answered(
        self,
        worker: WorkerState,
        run: RunState,
        order: Order,
        answer: OrderAnswer,
        now: Instant,
    ) -> None:
        """Take the answer to an order for a run."""
        match answer:
            case OrderDone(clock_ms=clock_ms):
                self._heard(worker, clock_ms, now)
                self._done(run, order, now)
            case OrderRefused(reason=Refusal.FENCED):
                self._fence(worker, order.fencing_token)
            case OrderRefused(reason=reason, clock_ms=clock_ms):
                self._heard(worker, clock_ms, now)
                self._refused(worker, run, order, reason, now)
            case OtherWorker():
                self._replaced(worker)
            case NoAnswer(sent=sent, reason=reason):
                run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
                if sent and isinstance(order, StartRun):
                    run.unanswered += 1
                    worker.unanswered_starts[run.key] = (now.boot_ms, run)
                if not sent:
                    self._unheard(worker, reason)

    def expire_leases(self, now: Instant) -> None:
        """End the runs of silent workers whose lease has certainly ended."""
        margin_ms = self._settings.lease_margin_ms
        for worker in list(self._fleet.workers.values()):
            if worker.answered or not worker.runs:
                continue
            if now.boot_ms < worker.blind_lease_boot_ms:
                continue
            if worker.lease_end_ms and (
                worker.clock.earliest(now.boot_ms)
                < worker.lease_end_ms + margin_ms
            ):
                continue
            for run in list(worker.runs.values()):
                if run.committed:
                    self._control.end_run(
                        worker, run, "lost", "lease of a silent worker ended"
                    )

    def _heard(
        self, worker: WorkerState, clock_ms: int | None, now: Instant
    ) -> None:
        if not worker.answered:
            worker.answered = True
            _LOG.info("worker answers", worker=worker.worker_id)
        worker.last_answer_boot_ms = now.boot_ms
        if clock_ms is not None:
            worker.clock.read(clock_ms, now.boot_ms)

    def _unheard(self, worker: WorkerState, reason: str) -> None:
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
        self._control.stop_ordering(token)
        _LOG.warning(
            "fenced by a higher token", worker=worker.worker_id, token=token
        )

    def _replaced(self, worker: WorkerState) -> None:
        # The address belongs to one process; the one that answers now
        # refuses every order that names the earlier one.
        self._fleet.drop(worker, "another worker has its address")

    def _other_life(self, worker: WorkerState, life: int) -> None:
        if life < worker.description.life:
            return
        # The heartbeat of the new life brings the rest of the description.
        self._unheard(worker, "the worker has started anew")

    def _done(self, run: RunState, order: Order, now: Instant) -> None:
        run.known_boot_ms = now.boot_ms
        match order:
            case StartRun():
                if run.phase is RunPhase.ORDERED:
                    run.phase = RunPhase.RUNNING
                    run.progress_boot_ms = now.boot_ms
            case StopRun():
                run.stop_confirmed = True
            case PaceRun(percent=percent):
                run.pace = percent

    def _refused(
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
        run.known_boot_ms = now.boot_ms
        match order:
            case StartRun() if reason is Refusal.OLD:
                # The run has ended, or was stopped before it began; a list
                # asked for from now on tells which.
                run.phase = RunPhase.RUNNING
            case StartRun():
                if reason is not Refusal.LATE:
                    # Without a pause the next pass would try the same.
                    worker.avoid_until_boot_ms = (
                        now.boot_ms + UNHEALTHY_PAUSE_MS
                    )
                if run.unanswered:
                    self._control.stop_run(worker, run, reason.value)
                else:
                    self._control.end_run(worker, run, "lost", reason.value)
            case StopRun():
                run.stop_confirmed = reason is Refusal.OLD
                run.retry_boot_ms = now.boot_ms + self._settings.retry_ms
            case PaceRun():
                # The run has ended; the next list says how.
                run.pace = run.pace_wanted

    def _take_lists(
        self,
        worker: WorkerState,
        answer: HoldDone,
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        present: set[tuple[str, int]] = set()
        for row in answer.running:
            present.add((row.task, row.run))
            self._take_running(worker, row, now)
        new_ends = False
        for ended in answer.ended:
            present.add((ended.task, ended.run))
            if ended.number > worker.listed_end:
                worker.listed_end = ended.number
                new_ends = True
                self._take_ended(worker, ended, now)
        worker.reconciled = True
        for run in list(worker.runs.values()):
            if (
                run.key not in present
                and run.phase is not RunPhase.ENDED
                and run.committed
                and run.known_boot_ms < sent_boot_ms
                and (run.phase is RunPhase.RUNNING or run.stop_confirmed)
            ):
                self._control.end_run(
                    worker, run, "lost", run.stop_reason or "not on the worker"
                )
        if new_ends:
            self._control.note_listed_ends(worker)
        self._pacing.adapt(worker, now)
        self._health.check_progress(worker, now, self._control)

    def _take_running(
        self, worker: WorkerState, row: RunningRow, now: Instant
    ) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            # Its room is taken until it ends; the log tells its size unless
            # the job was forgotten.
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
        run.listed = True
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.RUNNING
            run.progress_boot_ms = now.boot_ms
        if row.percent != run.percent:
            run.percent = row.percent
            run.progress_boot_ms = now.boot_ms
        run.load = row.load
        if row.checkpoint:
            run.checkpoint = row.checkpoint

    def _take_ended(
        self, worker: WorkerState, row: EndedRow, now: Instant
    ) -> None:
        run = worker.runs.get((row.task, row.run))
        if run is None:
            run = RunState(
                row.task, row.run, None, RunPhase.RUNNING, now.boot_ms
            )
        if row.checkpoint:
            run.checkpoint = row.checkpoint
        self._control.end_run(worker, run, row.outcome, "reported")
        self._health.run_ended(worker, run, row.outcome, now)
