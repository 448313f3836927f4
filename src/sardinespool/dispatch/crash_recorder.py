"""Detection of crashes of workers, and of the runs that may be the cause."""

from sardinespool.clock import Instant
from sardinespool.dispatch import crash_trials
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.observability.logs import get_logger

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
    """

    def __init__(self, metrics: DispatchMetrics) -> None:
        self._metrics = metrics
        self._silences: dict[str, dict[str, int]] = {}

    def reset(self) -> None:
        """Forget which workers went silent."""
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
        self, worker: WorkerState, loss: crash_trials.Loss
    ) -> None:
        """Mark the suspects if a worker whose process ended has crashed."""
        if not worker.runs or not crash_trials.is_crash(
            worker, loss, self._is_in_outage(worker)
        ):
            return
        suspects = crash_trials.suspects_of_crash(worker)
        for run, suspect in suspects:
            # A run that an earlier incarnation passed on is marked already.
            if not run.crash:
                run.crash = crash_trials.crash_key(worker)
                run.suspect = suspect
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
