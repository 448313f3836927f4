"""Plans runs and drives workers; pure, used by a group's leader."""

from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.dispatch.answers import AnswerHandler
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import Health
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.order_book import OrderBook
from sardinespool.dispatch.orders import HoldAnswer
from sardinespool.dispatch.orders import HoldWorker
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderAnswer
from sardinespool.dispatch.pacing import Pacing
from sardinespool.dispatch.planner import Planned
from sardinespool.dispatch.planner import Planner
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import RunKey
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.messages.fleet import ReportWorker
from sardinespool.messages.fleet import WorkerDescription
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import RunsRecorded
from sardinespool.observability.logs import get_logger

ESTIMATES_INTERVAL_MS = 5_000
"""Pause between records of what was learned; a leader that has to learn all
pairs again presses on serving tasks for about ten seconds."""

_LOG = get_logger("dispatch")


class Dispatcher:
    """Leader's view of workers and runs.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    settings : DispatchSettings
        Timing and limits.
    wake : callable
        Called with the id of a worker for which an order or a hold is due.
    metrics : DispatchMetrics
        Counts jobs, runs and orders.

    Attributes
    ----------
    orders : OrderBook
        Next hold and next order for each worker.
    """

    def __init__(
        self,
        machine: ControlMachine,
        settings: DispatchSettings,
        wake: Callable[[str], None],
        metrics: DispatchMetrics,
    ) -> None:
        self._machine = machine
        self._metrics = metrics
        self._settings = settings
        self._wake = wake
        self.fleet = Fleet(machine, settings, self.end_run)
        self._model = model = TailModel()
        self._estimates_due_boot_ms = 0
        self._health = Health()
        self._answers = AnswerHandler(
            self.fleet, settings, Pacing(model), self._health, self
        )
        self._planner = Planner(
            machine, self.fleet, settings, model, self._health
        )
        self.orders = OrderBook(self.fleet, settings)
        self._proposed: RecordRuns | None = None
        self._ends: list[RunEnd] = []
        self._ended_runs: list[tuple[WorkerState, RunState]] = []
        self._ended_in_commit: list[tuple[WorkerState, RunState]] = []
        self._ends_listed: list[tuple[WorkerState, int]] = []
        self._listed_in_commit: list[tuple[WorkerState, int]] = []
        self._planned: Planned = []

    @property
    def has_work(self) -> bool:
        """Whether a planning pass could change something."""
        return bool(self._ends) or bool(self._machine.table.ready)

    def begin(self, fencing_token: int, now: Instant) -> None:
        """Start to lead with a token above all earlier ones."""
        self._reset()
        self.orders.fencing_token = fencing_token
        self.orders.fenced = False
        self._model.restore(self._machine.estimates, now.boot_ms)
        self._estimates_due_boot_ms = now.boot_ms + ESTIMATES_INTERVAL_MS
        self.fleet.begin(now)
        self._stop_ended_jobs()
        for worker_id in self.fleet.workers:
            self._wake(worker_id)

    def end(self) -> None:
        """Stop to lead and forget volatile state."""
        self._reset()
        self.orders.fencing_token = 0
        self.fleet.workers.clear()

    def worker_reports(self, report: ReportWorker, now: Instant) -> bool:
        """Take a heartbeat; return whether the log must hold it."""
        needs_record = self.fleet.needs_record(report, now)
        worker_id = report.description.worker_id
        worker = self.fleet.workers.get(worker_id)
        if worker is not None and not worker.answered:
            self._wake(worker_id)
        return needs_record

    def worker_recorded(
        self, description: WorkerDescription, now: Instant
    ) -> None:
        """Follow a worker's description that was committed."""
        self.fleet.put(description, now)
        worker = self.fleet.workers.get(description.worker_id)
        if worker is not None:
            self._wake(worker.worker_id)

    def job_accepted(self) -> None:
        """Plan soon: a job has become ready."""
        self._planner.look_again()

    def worker_left(self, worker_id: str) -> None:
        """End the runs of a worker that said that it ends."""
        worker = self.fleet.workers.get(worker_id)
        if worker is not None:
            self.fleet.drop(worker, "worker left")

    def stop_job(self, job_id: str, reason: str) -> None:
        """Stop all runs of a job."""
        for worker in self.fleet.workers.values():
            for run in list(worker.runs.values()):
                if (
                    run.task is not None
                    and run.task.step.workflow.job_id == job_id
                ):
                    self.stop_run(worker, run, reason)

    def _stop_ended_jobs(self) -> None:
        """Stop what still runs of jobs that ended under an earlier leader.

        Its stops may not have left, or have got no answer.
        """
        for worker in self.fleet.workers.values():
            for run in list(worker.runs.values()):
                if run.step is not None and run.step.workflow.is_final:
                    state = run.step.workflow.state
                    self.stop_run(worker, run, f"job {state} before")

    def stop_run(
        self, worker: WorkerState, run: RunState, reason: str
    ) -> None:
        """Stop a run; its end is reported when the worker lists it."""
        if run.stop_wanted or run.phase is RunPhase.ENDED:
            return
        run.want_stop(reason)
        _LOG.info(
            "stop",
            task=run.task_key,
            run=run.run,
            worker=worker.worker_id,
            reason=reason,
        )
        if not run.sent and run.committed:
            self.end_run(worker, run, "lost", reason)
            return
        worker.pending[run.key] = run
        self._wake(worker.worker_id)

    def stop_ordering(self, refused_token: int) -> None:
        """Send no more orders in this leadership: another one has begun.

        The refusal of an order of an earlier leadership of this member may
        arrive in the next one, and says nothing of that.
        """
        if refused_token == self.orders.fencing_token:
            self.orders.fenced = True

    def end_run(
        self,
        worker: WorkerState,
        run: RunState,
        outcome: RunOutcome,
        reason: str,
    ) -> None:
        """Queue the end of a run for the log; its room stays reserved."""
        if run.phase is RunPhase.ENDED:
            return
        run.phase = RunPhase.ENDED
        worker.pending.pop(run.key, None)
        self._ends.append(
            RunEnd(run.task_key, run.run, outcome, run.checkpoint)
        )
        self._ended_runs.append((worker, run))
        self._metrics.runs.inc(outcome=outcome)
        _LOG.info(
            "run ended",
            task=run.task_key,
            run=run.run,
            worker=worker.worker_id,
            outcome=outcome,
            reason=reason,
            percent=run.percent,
            pace=run.pace,
        )

    def note_listed_ends(self, worker: WorkerState) -> None:
        """Keep the worker's next hold until the listed ends are committed."""
        worker.ends_in_commit = True
        self._ends_listed.append((worker, worker.listed_end))

    def hold_answered(
        self,
        worker_id: str,
        life: int,
        hold: HoldWorker,
        answer: HoldAnswer,
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        """Take the answer to a hold that was sent to a life of a worker."""
        worker = self.fleet.workers.get(worker_id)
        if worker is None or worker.description.life != life:
            return
        self._answers.hold_answered(worker, hold, answer, sent_boot_ms, now)
        self._wake(worker_id)

    def order_answered(
        self,
        worker_id: str,
        life: int,
        key: RunKey,
        order: Order,
        answer: OrderAnswer,
        now: Instant,
    ) -> None:
        """Take the answer to an order."""
        worker = self.fleet.workers.get(worker_id)
        if worker is None:
            return
        run = worker.runs.get(key)
        if run is None or worker.description.life != life:
            return
        run.in_flight = False
        self._metrics.orders.inc(
            kind=type(order).__name__, answer=type(answer).__name__
        )
        self._answers.order_answered(worker, run, order, answer, now)
        if run.needs_order:
            worker.pending[run.key] = run
        self._wake(worker_id)

    def plan(self, now: Instant) -> RecordRuns | None:
        """Return the next command, None if there is nothing to record.

        The same command is returned until `recorded` was called.
        """
        if self._proposed is not None:
            return self._proposed
        self._answers.expire_leases(now)
        self._planner.keep_up(now, self)
        self._planner.relief.relieve(now, self)
        ends, self._ends = tuple(self._ends), []
        self._ended_in_commit, self._ended_runs = self._ended_runs, []
        self._listed_in_commit, self._ends_listed = self._ends_listed, []
        assignments, self._planned = self._planner.assign(now)
        opened = self._planner.due_occurrences(now)
        forgotten = self._planner.forgotten_jobs(now)
        if not (ends or assignments or opened or forgotten):
            self._finish_listed()
            return None
        self._proposed = RecordRuns(
            ends=ends,
            opened=opened,
            assignments=assignments,
            forgotten_jobs=forgotten,
        )
        return self._proposed

    def estimates_due(self, now: Instant) -> RecordEstimates | None:
        """Return what the next leader shall know, None if it is known."""
        if now.boot_ms < self._estimates_due_boot_ms:
            return None
        self._estimates_due_boot_ms = now.boot_ms + ESTIMATES_INTERVAL_MS
        estimates = self._model.estimates()
        if not estimates.presses or estimates == self._machine.estimates:
            return None
        return estimates

    def recorded(self, result: RunsRecorded, now: Instant) -> None:
        """Follow the command of `plan`, which was committed."""
        command = self._proposed
        if command is None:
            return
        self._proposed = None
        self._planner.look_again()
        self._metrics.ready_steps.set(len(self._machine.table.ready))
        for worker, run in self._ended_in_commit:
            worker.remove_run(run)
        self._finish_listed()
        for position, (worker, run) in enumerate(self._planned):
            if position in result.refused:
                worker.remove_run(run)
                continue
            run.committed = True
            run.ordered_boot_ms = now.boot_ms
            _LOG.info(
                "assigned",
                task=run.task_key,
                run=run.run,
                worker=worker.worker_id,
                life=worker.description.life,
                token=self.orders.fencing_token,
                pace=run.pace_wanted,
                free_millicores=worker.free_millicores,
                leftover_millicores=worker.leftover_millicores,
                report_age_ms=now.boot_ms - worker.last_answer_boot_ms,
            )
            if run.task is not None:
                run.checkpoint = run.task.checkpoint
            if (
                run.stop_wanted
                or self.fleet.workers.get(worker.worker_id) is not worker
            ):
                self.end_run(worker, run, "lost", "worker changed meanwhile")
                continue
            worker.pending[run.key] = run
            self._wake(worker.worker_id)
        self._planned = []
        self._stop_after(command, result, now)

    def _stop_after(
        self, command: RecordRuns, result: RunsRecorded, now: Instant
    ) -> None:
        """Stop the other runs of jobs and gangs that these ends concern."""
        table = self._machine.table
        for job_id in result.ended_jobs:
            workflow = table.workflows[job_id]
            age_ms = now.unix_ms - workflow.accepted_unix_ms
            self._metrics.jobs.inc(
                queue=workflow.queue.name, state=workflow.state
            )
            self._metrics.completion_ms.observe(age_ms)
            _LOG.info(
                "job ended",
                job=job_id,
                queue=workflow.queue.name,
                state=workflow.state,
                age_ms=age_ms,
            )
            self.stop_job(job_id, f"job {workflow.state}")
        for end in command.ends:
            task = table.task(end.task)
            if (
                task is None
                or not task.step.spec.gang
                or end.outcome == "done"
            ):
                continue
            for worker in self.fleet.workers.values():
                for run in list(worker.runs.values()):
                    if run.step is task.step:
                        self.stop_run(worker, run, "member of gang ended")

    def _finish_listed(self) -> None:
        for worker, number in self._listed_in_commit:
            worker.acknowledged_end = max(worker.acknowledged_end, number)
            worker.ends_in_commit = False
            self._wake(worker.worker_id)
        self._listed_in_commit = []

    def _reset(self) -> None:
        self._proposed = None
        self._ends = []
        self._ended_runs = []
        self._ended_in_commit = []
        self._ends_listed = []
        self._listed_in_commit = []
        self._planned = []
        self._planner.reset()
        self._health.reset()
