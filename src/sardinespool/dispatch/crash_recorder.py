"""Detection of crashes of workers, and of the runs that may be the cause."""

from sardinespool.clock import Instant
from sardinespool.dispatch import crash_trials
from sardinespool.dispatch.crash_history import Crash
from sardinespool.dispatch.crash_history import CrashHistory
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.observability.logs import get_logger
from sardinespool.workflows import crash_evidence

OUTAGE_WINDOW_MS = 1_500
"""Time within which workers of a failure domain go silent that lost power or
were cut off together. Open calls time out at different times, as their waits
differ."""
SILENCES_MAX = 1_000
"""Limit of remembered silences of a failure domain; the oldest go first."""
LOGGED_TASKS_MAX = 8
"""Limit of task names in a line of the log."""

_LOG = get_logger("dispatch")


class CrashRecorder:
    """Marks the runs that are suspected of a crash of their worker.

    The marks go into the replicated state with the ends of the runs.

    Parameters
    ----------
    metrics : DispatchMetrics
        Counts crashes and suspects.

    Attributes
    ----------
    history : CrashHistory
        The crashes of the last minute.
    """

    def __init__(self, metrics: DispatchMetrics) -> None:
        self._metrics = metrics
        self.history = CrashHistory()
        self._silences: dict[str, dict[str, int]] = {}

    def reset(self) -> None:
        """Forget which workers crashed, and which went silent."""
        self.history.reset()
        self._silences.clear()

    def note_silence(self, worker: WorkerState, now: Instant) -> None:
        """Note that a worker has stopped answering, unless noted before."""
        if worker.silent_since_boot_ms is not None:
            return
        worker.silent_since_boot_ms = now.boot_ms
        silences = self._silences.setdefault(
            worker.description.failure_domain, {}
        )
        silences.pop(worker.worker_id, None)
        silences[worker.worker_id] = now.boot_ms
        while len(silences) > SILENCES_MAX:
            del silences[next(iter(silences))]

    def note_answer(self, worker: WorkerState) -> None:
        """Note that a worker answers; its silence was no loss of power."""
        if worker.silent_since_boot_ms is None:
            return
        worker.silent_since_boot_ms = None
        silences = self._silences.get(worker.description.failure_domain, {})
        silences.pop(worker.worker_id, None)

    def process_ended(
        self, worker: WorkerState, loss: crash_trials.Loss, workers: int
    ) -> None:
        """Mark the suspects if a worker whose process ended has crashed.

        Parameters
        ----------
        worker : WorkerState
            The worker.
        loss : Loss
            What the leader knows of its end.
        workers : int
            Number of workers that the leader knows.
        """
        if not crash_trials.is_crash(worker, loss, self._is_in_outage(worker)):
            return
        # A crash that was found as the lease expired is found again, without
        # its runs, as the next process is seen.
        if worker.crash_answer_boot_ms == worker.last_answer_boot_ms:
            return
        worker.crash_answer_boot_ms = worker.last_answer_boot_ms
        crash = Crash(
            worker.last_answer_boot_ms,
            crash_trials.host_of(worker),
            {
                crash_trials.unit_key(run.task): crash_trials.observed_age_ms(
                    worker, run
                )
                for run in worker.runs.values()
                if run.task is not None
            },
        )
        suspects = [
            (run, suspect)
            for run, suspect in crash_trials.suspects_of_crash(worker)
            if not self._may_be_chance(worker, run, crash, workers)
        ]
        self.history.add(crash)
        if not worker.runs:
            return
        for run, suspect in suspects:
            # A run that an earlier incarnation passed on is marked already.
            if not run.crash:
                run.crash = crash_trials.crash_key(worker)
                run.suspect = suspect
                run.crash_age_ms = crash_trials.observed_age_ms(worker, run)
        prime = [run.task_key for run, suspect in suspects if suspect]
        self._metrics.crashes.inc()
        for _ in prime:
            self._metrics.suspects.inc()
        _LOG.warning(
            "worker crashed",
            worker=worker.worker_id,
            life=worker.description.incarnation,
            loss=loss.value,
            runs=len(worker.runs),
            counted=len(suspects),
            suspects=len(prime),
            trials=len(crash_trials.open_trials(worker)),
            tasks=" ".join(prime[:LOGGED_TASKS_MAX]),
        )

    def _may_be_chance(
        self, worker: WorkerState, run: RunState, crash: Crash, workers: int
    ) -> bool:
        """Return whether a crash says nothing about a long-running task."""
        return (
            run.task is not None
            and run.task.step.spec.long_running
            and crash_trials.observed_age_ms(worker, run)
            >= crash_trials.TRIAL_MS
            and self.history.may_be_chance(
                crash,
                crash_trials.unit_key(run.task),
                crash_evidence.crash_count(run.task),
                workers,
            )
        )

    def _is_in_outage(self, worker: WorkerState) -> bool:
        """Return whether others of the domain went silent with a worker."""
        since_boot_ms = worker.silent_since_boot_ms
        if since_boot_ms is None:
            return False
        silences = self._silences.get(worker.description.failure_domain, {})
        return any(
            worker_id != worker.worker_id
            and abs(boot_ms - since_boot_ms) <= OUTAGE_WINDOW_MS
            for worker_id, boot_ms in silences.items()
        )
