"""Workers that this leader knows."""

from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.fleet import ReportWorker
from sardinespool.messages.fleet import WorkerDescription
from sardinespool.messages.workflows import RunOutcome
from sardinespool.observability.logs import get_logger
from sardinespool.workflows.records import TaskRecord

HEARD_WITHIN_MS = 3_500
"""Two heartbeats of a worker; older news tell nothing of its condition."""

_LOG = get_logger("fleet")

EndRun = Callable[[WorkerState, RunState, RunOutcome, str], None]
"""Reports the end of a run with its reason."""


class Fleet:
    """Keeps one `WorkerState` for the newest life of each worker.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    settings : DispatchSettings
        Timing.
    end_run : callable
        Takes the end of a run that a lost life held.
    """

    def __init__(
        self,
        machine: ControlMachine,
        settings: DispatchSettings,
        end_run: EndRun,
    ) -> None:
        self._machine = machine
        self._settings = settings
        self._end_run = end_run
        self.workers: dict[str, WorkerState] = {}
        self.heard_boot_ms: dict[str, int] = {}

    def begin(self, now: Instant) -> None:
        """Take workers and assigned runs from the replicated state."""
        self.workers.clear()
        self.heard_boot_ms.clear()
        blind_boot_ms = now.boot_ms + int(
            (self._settings.lease_ms + self._settings.lease_margin_ms)
            / self._settings.clock_rate_min
            + self._settings.lease_margin_ms
        )
        for description in self._machine.workers.values():
            self.workers[description.worker_id] = WorkerState(
                description, self._settings, blind_boot_ms
            )
            self.heard_boot_ms[description.worker_id] = now.boot_ms
        for worker_id, tasks in self._machine.table.assigned.items():
            worker = self.workers.get(worker_id)
            for task in tasks.values():
                if worker is None:
                    # A worker is removed from the log only after its runs.
                    _LOG.warning(
                        "run on an unknown worker",
                        task=task.key,
                        worker=worker_id,
                    )
                    continue
                run = RunState(
                    task.key, task.run, task, RunPhase.ORDERED, now.boot_ms
                )
                run.sent = True
                run.unanswered = 1
                worker.add_run(run)

    def needs_record(self, report: ReportWorker, now: Instant) -> bool:
        """Return whether a heartbeat changes what the log must hold."""
        description = report.description
        known = self._machine.workers.get(description.worker_id)
        if known is not None and description.life < known.life:
            _LOG.info(
                "dropped a heartbeat of an earlier life",
                worker=description.worker_id,
                life=description.life,
                known_life=known.life,
            )
            return False
        worker = self.workers.get(description.worker_id)
        if worker is not None and description.life == known_life(worker):
            worker.clock.read(report.clock_ms, now.boot_ms)
            if report.sequence <= worker.sequence:
                return False
            worker.sequence = report.sequence
            if description.draining:
                worker.leaves_boot_ms = now.boot_ms + report.remaining_ms
        self.heard_boot_ms[description.worker_id] = now.boot_ms
        return description != known

    def put(self, description: WorkerDescription, now: Instant) -> None:
        """Follow a description that was committed."""
        worker = self.workers.get(description.worker_id)
        if worker is None:
            self._end_other_lives(description)
            self.workers[description.worker_id] = WorkerState(
                description, self._settings, now.boot_ms
            )
            _LOG.info(
                "worker known",
                worker=description.worker_id,
                life=description.life,
                address=description.address,
                failure_domain=description.failure_domain,
            )
        elif description.life > known_life(worker):
            self.begin_life(worker, description, now)
        elif description.life == known_life(worker):
            if description.draining and not worker.description.draining:
                _LOG.info("worker drains", worker=description.worker_id)
            worker.describe(description)

    def begin_life(
        self, worker: WorkerState, description: WorkerDescription, now: Instant
    ) -> None:
        """Replace a worker by its next life.

        What the earlier life listed has ended with it. A run that it never
        listed may be on the new life: the start got no answer and can still
        arrive, or the new life answered it before its first heartbeat. Such
        a run ends only once the new life has confirmed a stop of it.
        """
        _LOG.info(
            "worker started anew",
            worker=worker.worker_id,
            life=description.life,
            earlier_life=known_life(worker),
            runs=len(worker.runs),
        )
        fresh = WorkerState(
            description,
            self._settings,
            now.boot_ms
            + self._settings.late_order_ms
            + self._settings.lease_ms,
        )
        self.workers[worker.worker_id] = fresh
        for run in list(worker.runs.values()):
            if run.in_flight:
                # The call was cut off; nobody knows whether it arrived.
                run.unanswered += 1
                worker.unanswered_starts[run.key] = (now.boot_ms, run)
            uncertain = run.unanswered or (run.sent and not run.listed)
            if uncertain and run.phase is not RunPhase.ENDED:
                run.phase = RunPhase.ORDERED
                run.stop_wanted = True
                run.stop_confirmed = False
                run.stop_reason = "start of an earlier life, never listed"
                run.in_flight = False
                fresh.add_run(run)
            else:
                self._end_run(worker, run, "lost", "worker started anew")
        self._stop_late_starts(worker, fresh, now)

    def _stop_late_starts(
        self, worker: WorkerState, fresh: WorkerState, now: Instant
    ) -> None:
        """Stop what unanswered starts of runs that have ended may start."""
        since_boot_ms = now.boot_ms - self._settings.late_order_ms
        for key, (sent_boot_ms, old) in worker.unanswered_starts.items():
            if sent_boot_ms < since_boot_ms:
                continue
            fresh.unanswered_starts[key] = (sent_boot_ms, old)
            if key in fresh.runs:
                continue
            run = RunState(*key, old.task, RunPhase.ORDERED, now.boot_ms)
            run.unanswered = 1
            run.stop_wanted = True
            run.stop_reason = "unanswered start of an earlier life"
            fresh.add_run(run)

    def drop(self, worker: WorkerState, reason: str) -> None:
        """Forget a worker and end its runs."""
        for run in list(worker.runs.values()):
            self._end_run(worker, run, "lost", reason)
        self.workers.pop(worker.worker_id, None)

    def takes_starts(self, worker: WorkerState, now: Instant) -> bool:
        """Return whether tasks may be placed on a worker."""
        description = worker.description
        return (
            worker.answered
            and worker.reconciled
            and worker.clock.known
            and not description.draining
            and description.failure_domain not in self._machine.evacuated
            and description.pool not in self._machine.manifest.spare_pools
            and now.boot_ms >= worker.avoid_until_boot_ms
            and self.heard_recently(worker, now)
        )

    def heard_recently(self, worker: WorkerState, now: Instant) -> bool:
        """Return whether a worker gave a sign of life lately."""
        return now.boot_ms - self._last_heard(worker) < HEARD_WITHIN_MS

    def task_of(self, key: str) -> TaskRecord | None:
        """Return the task of a name as the log has it."""
        return self._machine.table.task(key)

    def reserved_share(self) -> float:
        """Return the share of all processors that is reserved."""
        whole = free = 0
        for worker in self.workers.values():
            whole += worker.description.processors_millicores
            free += worker.free_millicores
        return 1.0 - free / whole if whole else 1.0

    def _last_heard(self, worker: WorkerState) -> int:
        return max(
            worker.last_answer_boot_ms,
            self.heard_boot_ms.get(worker.worker_id, -HEARD_WITHIN_MS),
        )

    def _end_other_lives(self, description: WorkerDescription) -> None:
        """End the workers that ran on the host of a new worker before."""
        if not description.host:
            return
        for other in list(self.workers.values()):
            if (
                other.description.host == description.host
                and other.worker_id != description.worker_id
                and known_life(other) < description.life
            ):
                self.drop(other, "its host runs another worker")


def known_life(worker: WorkerState) -> int:
    """Return the start time of a worker's life."""
    return worker.description.life
