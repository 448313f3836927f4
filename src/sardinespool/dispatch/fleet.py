"""Workers known to this leader."""

from sardinespool.clock import Instant
from sardinespool.dispatch import worker_restart
from sardinespool.dispatch.crash_recorder import CrashRecorder
from sardinespool.dispatch.crash_trials import Loss
from sardinespool.dispatch.recorded_runs import load_runs
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.start_limits import StartLimits
from sardinespool.dispatch.worker_restart import EndRun
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.worker_reports import keep_draining
from sardinespool.messages.worker_reports import limit_capacity
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.observability.logs import get_logger
from sardinespool.workflows.records import TaskRecord

REPORT_DELAY_MS = 1_000
"""Longest delay of an acknowledged heartbeat; a worker that gets no answer in
this time sends it to another member."""

RECENT_REPORT_MS = 2_000
"""Age up to which a heartbeat may raise the capacity of its worker. A later
one may have been written before the capacity shrank."""

_LOG = get_logger("fleet")


class Fleet:
    """Keeps one `WorkerState` for the latest incarnation of each worker.

    An incarnation is one execution of a worker process, identified by its
    start time, the field `incarnation`.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    settings : DispatchSettings
        Timing.
    end_run : callable
        Called for each run that ends with its worker or incarnation.
    crashes : CrashRecorder
        Collects the evidence of crashes of workers.

    Attributes
    ----------
    limits : StartLimits
        Limits of the workspaces, applied to the runs of all workers.
    """

    def __init__(
        self,
        machine: ControlMachine,
        settings: DispatchSettings,
        end_run: EndRun,
        crashes: CrashRecorder,
    ) -> None:
        self._machine = machine
        self._settings = settings
        self._end_run = end_run
        self.crashes = crashes
        self.workers: dict[str, WorkerState] = {}
        self.limits = StartLimits(machine, self.workers)
        self.heartbeat_boot_ms: dict[str, int] = {}
        self._report_clock_ms: dict[str, tuple[int, int]] = {}

    def begin(self, now: Instant) -> None:
        """Load workers and assigned runs from the replicated state."""
        self.workers.clear()
        self.limits.reset()
        self.heartbeat_boot_ms.clear()
        self.crashes.reset()
        self._report_clock_ms.clear()
        unknown_lease_end_boot_ms = now.boot_ms + int(
            (self._settings.lease_ms + self._settings.lease_margin_ms)
            / self._settings.clock_rate_min
            + self._settings.lease_margin_ms
        )
        for description in self._machine.workers.values():
            self.workers[description.worker_id] = WorkerState(
                description,
                self._settings,
                unknown_lease_end_boot_ms,
                self.limits.usage,
            )
            self.heartbeat_boot_ms[description.worker_id] = now.boot_ms
        load_runs(
            self._machine.table.runs,
            self.workers,
            self._settings,
            self._end_run,
            now,
        )
        self._note_superseded_workers(now)

    def _note_superseded_workers(self, now: Instant) -> None:
        """Note as silent the workers whose host has a later worker by now.

        They are dropped once the later worker answers. Whether they closed
        their connections, or went silent with others of their failure domain,
        isn't in the log.
        """
        latest: dict[str, int] = {}
        for worker in self.workers.values():
            host = worker.description.host
            latest[host] = max(latest.get(host, 0), incarnation_of(worker))
        for worker in self.workers.values():
            host = worker.description.host
            if worker.runs and host and incarnation_of(worker) < latest[host]:
                self.crashes.note_silence(worker, now)

    def description_to_record(
        self, report: ReportWorker, now: Instant
    ) -> WorkerDescription | None:
        """Process a heartbeat; return the description to commit, if any.

        A new leader does not know which heartbeats its predecessor received.
        So capacity grows only by a heartbeat that is recent by the worker's
        clock, which is known once the worker has answered this leader.
        """
        description = report.description
        if self._machine.has_departed(description):
            _LOG.info(
                "ignored a heartbeat of a worker that left",
                worker=description.worker_id,
                life=description.incarnation,
            )
            return None
        recorded = self._machine.workers.get(description.worker_id)
        if (
            recorded is not None
            and description.incarnation < recorded.incarnation
        ):
            _LOG.info(
                "ignored a heartbeat of an earlier incarnation",
                worker=description.worker_id,
                life=description.incarnation,
                known_life=recorded.incarnation,
            )
            return None
        worker = self.workers.get(description.worker_id)
        if worker is not None and description.incarnation == incarnation_of(
            worker
        ):
            if (
                report.sequence <= worker.sequence
                and now.boot_ms - worker.sequence_boot_ms
                < self._settings.late_order_ms
            ):
                return None
            # A lower number after that time is no late report: the higher
            # one was not the worker's.
            worker.sequence = report.sequence
            worker.sequence_boot_ms = now.boot_ms
            if description.draining:
                worker.leaves_boot_ms = now.boot_ms + report.remaining_ms
            age_ms = worker.clock.lower_bound(now.boot_ms) - report.clock_ms
            if not worker.answered or age_ms > RECENT_REPORT_MS:
                description = limit_capacity(description, worker.description)
            worker.apply_report(description)
        self.heartbeat_boot_ms[description.worker_id] = now.boot_ms
        self._report_clock_ms[description.worker_id] = (
            description.incarnation,
            report.clock_ms,
        )
        if recorded is not None:
            description = keep_draining(recorded, description)
        # A worker that was dropped because of another one that claimed its
        # host or address is recorded still.
        if description == recorded and worker is not None:
            return None
        return description

    def has_left(
        self, worker_id: str, incarnation: int | None, now: Instant
    ) -> bool:
        """Return whether a leave is one of the known incarnation.

        A leave that names no incarnation may be a late one of an earlier
        process. It counts only if the known one drains and the time that it
        still had has passed. Otherwise the runs end with their lease.
        """
        recorded = self._machine.workers.get(worker_id)
        if recorded is None:
            return False
        if incarnation is not None:
            return incarnation == recorded.incarnation
        worker = self.workers.get(worker_id)
        return (
            worker is not None
            and recorded.draining
            and incarnation_of(worker) == recorded.incarnation
            and worker.leaves_boot_ms is not None
            and now.boot_ms >= worker.leaves_boot_ms - REPORT_DELAY_MS
        )

    def put(self, description: WorkerDescription, now: Instant) -> None:
        """Apply a committed description."""
        worker = self.workers.get(description.worker_id)
        if worker is None:
            self.workers[description.worker_id] = WorkerState(
                description, self._settings, now.boot_ms, self.limits.usage
            )
            _LOG.info(
                "worker known",
                worker=description.worker_id,
                life=description.incarnation,
                address=description.address,
                failure_domain=description.failure_domain,
            )
        elif description.incarnation > incarnation_of(worker):
            self.start_incarnation(worker, description, now)
        elif description.incarnation == incarnation_of(worker):
            if description.draining and not worker.description.draining:
                _LOG.info("worker drains", worker=description.worker_id)
            worker.update_description(description)

    def start_incarnation(
        self, worker: WorkerState, description: WorkerDescription, now: Instant
    ) -> None:
        """Replace a worker by its next incarnation."""
        _LOG.info(
            "worker started anew",
            worker=worker.worker_id,
            life=description.incarnation,
            earlier_life=incarnation_of(worker),
            runs=len(worker.runs),
        )
        late_lease_end_boot_ms = worker_restart.late_lease_end_boot_ms(
            self._settings, now
        )
        if worker.restarted and not worker.lease_end_ms:
            # No start was sent since the restart before.
            late_lease_end_boot_ms = worker.unknown_lease_end_boot_ms
        successor = WorkerState(
            description,
            self._settings,
            late_lease_end_boot_ms,
            self.limits.usage,
        )
        successor.restarted = True
        self.workers[worker.worker_id] = successor
        self.crashes.process_ended(worker, Loss.RESTARTED, len(self.workers))
        worker_restart.move_runs(
            worker, successor, self._settings, self._end_run, now
        )

    def drop(self, worker: WorkerState, loss: Loss) -> None:
        """Remove a worker whose process has ended, and end its runs."""
        self.crashes.process_ended(worker, loss, len(self.workers))
        for run in list(worker.runs.values()):
            self._end_run(worker, run, "lost", loss.value)
        self.workers.pop(worker.worker_id, None)
        self.heartbeat_boot_ms.pop(worker.worker_id, None)
        self._report_clock_ms.pop(worker.worker_id, None)

    def drop_earlier_workers(self, description: WorkerDescription) -> None:
        """Drop the workers that used the host of a worker before.

        The worker must have answered: anyone can report a host.
        """
        if not description.host:
            return
        for other in list(self.workers.values()):
            if (
                other.description.host == description.host
                and other.worker_id != description.worker_id
                and incarnation_of(other) < description.incarnation
            ):
                self.drop(other, Loss.HOST_REUSED)

    def accepts_starts(self, worker: WorkerState, now: Instant) -> bool:
        """Return whether new tasks may be placed on a worker."""
        return (
            now.boot_ms >= worker.set_aside_until_boot_ms
            and self.accepts_starts_as_last_resort(worker, now)
        )

    def accepts_starts_as_last_resort(
        self, worker: WorkerState, now: Instant
    ) -> bool:
        """Return whether tasks without another worker may be placed on it."""
        description = worker.description
        return (
            worker.answered
            and worker.reconciled
            and worker.clock.known
            and not self.vacated_because(worker)
            and description.pool not in self._machine.manifest.spare_pools
            and now.boot_ms >= worker.avoid_until_boot_ms
            and self.has_recent_report(worker, now)
        )

    def has_recent_report(self, worker: WorkerState, now: Instant) -> bool:
        """Return whether this leader has a recent heartbeat of a worker.

        The answers to calls don't contain the capacity, which may have shrunk
        since the last heartbeat was written.
        """
        incarnation, clock_ms = self._report_clock_ms.get(
            worker.worker_id, (-1, 0)
        )
        age_max_ms = self._settings.heartbeat_age_max_ms
        # The lower bound lags while a worker without runs isn't called.
        return (
            incarnation == incarnation_of(worker)
            and worker.clock.lower_bound(now.boot_ms) - clock_ms < age_max_ms
            and now.boot_ms - self.heartbeat_boot_ms[worker.worker_id]
            < age_max_ms
        )

    def may_send_start(self, worker: WorkerState, now: Instant) -> bool:
        """Return whether a planned start may still be sent to a worker.

        Its reservations must fit into a known capacity.
        """
        return (
            not self.vacated_because(worker)
            and not worker.is_overcommitted
            and self.has_recent_report(worker, now)
        )

    def start_obstacle(self, worker: WorkerState, now: Instant) -> str:
        """Return why starts that were not sent must not wait any longer.

        Empty if they may wait. The workers of a new leader have
        `heartbeat_age_max_ms` to report.
        """
        silent_ms = now.boot_ms - self.heartbeat_boot_ms.get(
            worker.worker_id, now.boot_ms
        )
        if (
            worker.is_overcommitted
            or silent_ms >= self._settings.heartbeat_age_max_ms
        ):
            return "capacity shrank or unknown"
        return self.vacated_because(worker)

    def vacated_because(self, worker: WorkerState) -> str:
        """Return why a worker must get no starts, planned or not, or ""."""
        description = worker.description
        if description.draining:
            return "worker drains"
        if description.failure_domain in self._machine.evacuated:
            return "failure domain evacuated"
        return ""

    def was_heard_recently(self, worker: WorkerState, now: Instant) -> bool:
        """Return whether a heartbeat or answer arrived recently."""
        last_boot_ms = max(
            worker.last_answer_boot_ms,
            self.heartbeat_boot_ms.get(worker.worker_id, -1),
        )
        return (
            last_boot_ms >= 0
            and now.boot_ms - last_boot_ms
            < self._settings.heartbeat_age_max_ms
        )

    def task_of(self, key: str) -> TaskRecord | None:
        """Return a task of the replicated state by its name, or None."""
        return self._machine.table.task(key)

    def reserved_share(self) -> float:
        """Return the reserved share of all processors."""
        total_millicores = free_millicores = 0
        for worker in self.workers.values():
            total_millicores += worker.description.processors_millicores
            free_millicores += worker.free_millicores
        return (
            1.0 - free_millicores / total_millicores
            if total_millicores
            else 1.0
        )


def incarnation_of(worker: WorkerState) -> int:
    """Return the incarnation of a worker, its start time."""
    return worker.description.incarnation
