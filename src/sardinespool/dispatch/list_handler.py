"""Handling of the lists of running and ended runs of workers."""

from sardinespool.clock import Instant
from sardinespool.dispatch.begun_jobs import BegunJobs
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import WorkerHealth
from sardinespool.dispatch.job_paths import learn_from_run
from sardinespool.dispatch.orders import EndedRun
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import RunningRun
from sardinespool.dispatch.pace_controller import PaceController
from sardinespool.dispatch.run_control import RunControl
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.run_times import RunTimes
from sardinespool.dispatch.worker_state import RunKey
from sardinespool.dispatch.worker_state import WorkerState


class ListHandler:
    """Applies the lists of workers to the state of their runs.

    Parameters
    ----------
    fleet : Fleet
        Known workers.
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
        pacing: PaceController,
        health: WorkerHealth,
        begun_jobs: BegunJobs,
        run_times: RunTimes,
        control: RunControl,
    ) -> None:
        self._fleet = fleet
        self._pace_controller = pacing
        self._health = health
        self._begun_jobs = begun_jobs
        self._run_times = run_times
        self._control = control

    def apply(
        self,
        worker: WorkerState,
        answer: LeaseRenewed,
        sent_boot_ms: int,
        now: Instant,
    ) -> None:
        """Apply the lists in the answer to a renewal."""
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
