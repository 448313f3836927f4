"""Plans runs and controls workers on a group's leader; does no I/O."""

from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.dispatch import obsolete_runs
from sardinespool.dispatch import run_log
from sardinespool.dispatch.answer_handler import AnswerHandler
from sardinespool.dispatch.begun_jobs import BegunJobs
from sardinespool.dispatch.crash_recorder import CrashRecorder
from sardinespool.dispatch.crash_trials import Loss
from sardinespool.dispatch.end_queue import EndQueue
from sardinespool.dispatch.estimates_schedule import EstimatesSchedule
from sardinespool.dispatch.excess_starts import cancel_excess_starts
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import WorkerHealth
from sardinespool.dispatch.job_retention import JobRetention
from sardinespool.dispatch.lease_expiry import expire_leases
from sardinespool.dispatch.list_handler import ListHandler
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.near_waits import NearWaits
from sardinespool.dispatch.order_queue import OrderQueue
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderResult
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RenewLeaseResult
from sardinespool.dispatch.pace_controller import PaceController
from sardinespool.dispatch.planner import PlannedRuns
from sardinespool.dispatch.planner import Planner
from sardinespool.dispatch.run_checks import RunChecks
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import RunKey
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import RunsRecorded


class Dispatcher:
    """State of workers and runs on the leader.

    `orders` produces the next lease renewal and order for each worker.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    settings : DispatchSettings
        Timing and limits.
    wake : callable
        Called with the id of a worker for which an order or lease renewal is
        due.
    metrics : DispatchMetrics
        Counts jobs, runs and orders.
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
        self.refused_jobs = metrics.refused_jobs
        self.settings = settings
        self._wake = wake
        self.fleet = Fleet(
            machine, settings, self.end_run, CrashRecorder(metrics)
        )
        model = TailModel()
        self.estimates = EstimatesSchedule(machine, model)
        self.health = WorkerHealth(self.fleet.workers)
        self._begun_jobs = BegunJobs(self.fleet)
        self._answers = AnswerHandler(
            self.fleet,
            settings,
            ListHandler(
                self.fleet,
                PaceController(model),
                self.health,
                self._begun_jobs,
                self.estimates.run_times,
                self,
            ),
            self._begun_jobs,
            self,
            metrics,
        )
        near = NearWaits(machine, self.estimates, settings, metrics)
        self.planner = Planner(
            machine, self.fleet, settings, model, self.health, near
        )
        self.orders = OrderQueue(self.fleet, settings)
        self._proposed: RecordRuns | None = None
        self._ends = EndQueue()
        self._planned_runs: PlannedRuns = []
        self._begun_token = 0
        self._run_checks = RunChecks(metrics)
        self._retention = JobRetention(
            machine,
            settings.finished_job_retention_ms,
            self.planner.drop_stale_estimates,
        )

    def describe_workspaces(self) -> dict[str, object]:
        """Return use, limit, share and waiting steps by workspace."""
        return self.planner.workspace_log.describe()

    @property
    def has_work(self) -> bool:
        """Whether a planning pass may have something to record."""
        return self._ends.has_pending or bool(self._machine.table.ready)

    def begin(self, fencing_token: int, now: Instant) -> None:
        """Start leading with a fencing token above all earlier ones."""
        self._reset()
        self.orders.fencing_token = fencing_token
        self.orders.fenced = False
        self.estimates.begin(now)
        self.fleet.begin(now)
        self._run_checks.begin(now)
        run_log.log_leadership(
            fencing_token,
            self.fleet.workers,
            served_before=fencing_token == self._begun_token,
        )
        self._begun_token = fencing_token
        for worker, run, state in obsolete_runs.runs_of_ended_jobs(self.fleet):
            self.stop_run(worker, run, f"job already {state}")
        for worker_id in self.fleet.workers:
            self._wake(worker_id)

    def end(self) -> None:
        """Stop leading and clear the volatile state."""
        self._reset()
        self.orders.fencing_token = 0
        self.fleet.workers.clear()

    def handle_heartbeat(
        self, report: ReportWorker, now: Instant
    ) -> WorkerDescription | None:
        """Process a heartbeat; return the description to commit, if any."""
        description = self.fleet.description_to_record(report, now)
        worker_id = report.description.worker_id
        worker = self.fleet.workers.get(worker_id)
        if worker is not None and not worker.answered:
            self._wake(worker_id)
        return description

    def has_left(
        self, worker_id: str, incarnation: int | None, now: Instant
    ) -> bool:
        """Return whether a worker's leave is one of the known incarnation."""
        return self.fleet.has_left(worker_id, incarnation, now)

    def description_committed(
        self, description: WorkerDescription, now: Instant
    ) -> None:
        """Apply a committed worker description."""
        self.fleet.put(description, now)
        worker = self.fleet.workers.get(description.worker_id)
        if worker is not None:
            self._wake(worker.worker_id)

    def job_accepted(self) -> None:
        """Request a planning pass for a newly accepted job."""
        self.planner.request_pass()

    def worker_left(self, worker_id: str) -> None:
        """Remove a worker that announced its shutdown and end its runs."""
        worker = self.fleet.workers.get(worker_id)
        if worker is not None:
            self.fleet.drop(worker, Loss.LEFT)

    def stop_job(self, job_id: str, reason: str) -> None:
        """Stop all runs of a job."""
        for worker, run in obsolete_runs.runs_of_job(self.fleet, job_id):
            self.stop_run(worker, run, reason)

    def stop_run(
        self, worker: WorkerState, run: RunState, reason: str
    ) -> None:
        """Stop a run; its end is recorded when the worker lists it."""
        if run.stop_requested or run.phase is RunPhase.ENDED:
            return
        run.request_stop(reason)
        run_log.log_stop(worker, run, reason)
        if not run.sent and run.committed:
            self.end_run(worker, run, "lost", reason)
            return
        worker.pending[run.key] = run
        self._wake(worker.worker_id)

    def handle_fencing(self, refused_token: int) -> None:
        """Stop sending orders in this term: a worker saw a higher token.

        A refusal of an order from an earlier term of this member may arrive
        in a later term, to which it does not apply.
        """
        if refused_token == self.orders.fencing_token:
            self.orders.fenced = True

    def end_run(
        self,
        worker: WorkerState,
        run: RunState,
        outcome: RunOutcome,
        reason: str,
        listed_number: int = 0,
    ) -> None:
        """Queue the end of a run; its reservation stays until the commit.

        `listed_number` is the number under which the worker lists the end;
        0 for an end that is inferred. A listed end also counts after an
        inferred one, which may be wrong.
        """
        if run.phase is RunPhase.ENDED and not listed_number:
            return
        run.phase = RunPhase.ENDED
        worker.pending.pop(run.key, None)
        self._ends.add(worker, run, outcome)
        self._metrics.runs.inc(outcome=outcome)
        run_log.log_run_ended(
            self._machine.table, worker, run, outcome, reason, listed_number
        )

    def stop_later_runs(self, task_key: str, done_run: int) -> None:
        """Stop the runs that followed a run of a task that is done.

        That run had been given up too early.
        """
        for worker, run in obsolete_runs.runs_after_done(
            self._machine.table,
            self.fleet,
            self._planned_runs,
            task_key,
            done_run,
        ):
            self.stop_run(worker, run, "an earlier run is done")

    def defer_acknowledgement(self, worker: WorkerState) -> None:
        """Delay the next lease renewal until listed ends are committed."""
        self._ends.defer_acknowledgement(worker)

    def handle_renewal_result(
        self,
        worker_id: str,
        incarnation: int,
        renewal: RenewLease,
        answer: RenewLeaseResult,
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        """Apply the answer of an incarnation to a lease renewal."""
        worker = self.fleet.workers.get(worker_id)
        if worker is None or worker.description.incarnation != incarnation:
            return
        self._answers.handle_renewal_result(
            worker, renewal, answer, sent_boot_ms, now
        )
        self._wake(worker_id)

    def handle_order_result(
        self,
        worker_id: str,
        incarnation: int,
        key: RunKey,
        order: Order,
        answer: OrderResult,
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        """Apply the answer to an order."""
        worker = self.fleet.workers.get(worker_id)
        if worker is None:
            return
        run = worker.runs.get(key)
        if run is None or worker.description.incarnation != incarnation:
            return
        run.in_flight = False
        self._answers.handle_order_result(
            worker, run, order, answer, sent_boot_ms, now
        )
        if run.needs_order:
            worker.pending[run.key] = run
        self._wake(worker_id)

    def plan(self, now: Instant) -> RecordRuns | None:
        """Return the next command, or None if there is nothing to record.

        Returns the same command until `recorded` is called.
        """
        if self._proposed is not None:
            return self._proposed
        expire_leases(self.fleet, self, self.settings, now)
        cancel_excess_starts(self.fleet, self, now)
        self.planner.vacate_draining_workers(now, self)
        self.planner.rebalancer.rebalance(now, self)
        ends = self._ends.take()
        assignments, self._planned_runs = self.planner.assign(now)
        opened = self._retention.due_occurrences(now)
        forgotten = self._retention.take_due(now)
        self._run_checks.run_if_due(
            self._machine.table, self.fleet.workers, self._ends, now
        )
        if not (
            ends
            or assignments
            or opened
            or any(forgotten)
            or self._begun_jobs.is_due(now)
        ):
            self._acknowledge_listed_ends()
            return None
        self._proposed = RecordRuns(
            begun=self._begun_jobs.take(),
            ends=ends,
            opened=opened,
            assignments=assignments,
            forgotten_jobs=forgotten.jobs,
            forgotten_tombstones=forgotten.tombstones,
        )
        return self._proposed

    def recorded(
        self, applied: RecordRuns, result: RunsRecorded, now: Instant
    ) -> None:
        """Apply the result of the command returned by `plan`."""
        command = self._proposed
        if applied is not command and applied != command:
            run_log.log_unknown_result(
                applied, result, has_proposed=command is not None
            )
        if command is None:
            return
        self._proposed = None
        self.planner.request_pass()
        self.planner.write_metrics(self._metrics, now)
        self._ends.remove_committed_runs()
        self._acknowledge_listed_ends()
        for position, (worker, run) in enumerate(self._planned_runs):
            if position in result.refused:
                worker.remove_run(run)
                continue
            run.committed = True
            run.ordered_boot_ms = now.boot_ms
            run_log.log_assigned(worker, run, self.orders.fencing_token, now)
            if run.task is not None:
                run.checkpoint = run.task.checkpoint
            if (
                run.stop_requested
                or self.fleet.workers.get(worker.worker_id) is not worker
            ):
                self.end_run(
                    worker, run, "lost", "worker changed before commit"
                )
                continue
            worker.pending[run.key] = run
            self._wake(worker.worker_id)
        self._planned_runs = []
        self._stop_affected_runs(command, result, now)

    def _stop_affected_runs(
        self, command: RecordRuns, result: RunsRecorded, now: Instant
    ) -> None:
        """Stop the other runs of ended jobs and of gangs with an ended run."""
        table = self._machine.table
        for job_id in result.ended_jobs:
            workflow = table.workflows[job_id]
            age_ms = now.unix_ms - workflow.accepted_unix_ms
            by_crash = run_log.log_job_ended(
                self._machine, workflow, command.ends, age_ms
            )
            self._metrics.job_ended(workflow, age_ms, failed_by_crash=by_crash)
            self.stop_job(job_id, f"job {workflow.state}")
        for worker, run in obsolete_runs.runs_of_broken_gangs(
            table, self.fleet, command.ends
        ):
            self.stop_run(worker, run, "gang member ended")

    def _acknowledge_listed_ends(self) -> None:
        for worker in self._ends.acknowledge():
            self._wake(worker.worker_id)

    def _reset(self) -> None:
        self._proposed = None
        self._ends.reset()
        self._begun_jobs.reset()
        self._retention.reset()
        self._planned_runs = []
        self.planner.reset()
        self.health.reset()
