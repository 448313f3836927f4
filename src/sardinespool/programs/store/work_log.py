"""Reports work that holds up the task of a group.

Nothing else of the group goes on meanwhile: no heartbeat is sent or answered.
"""

from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import EndWorkflow
from sardinespool.messages.workflows import RecordRuns
from sardinespool.observability.logs import get_logger
from sardinespool.programs.store.store_metrics import StoreMetrics

OBSERVED_MS = 10
"""Work from this time on is counted; most takes less than a millisecond."""
LOGGED_MS = 150
"""Work from this time on is logged; a fifth of the lease of a leader."""

_LOG = get_logger("store")


class WorkLog:
    """Measures the work of a group by kind.

    Parameters
    ----------
    group : str
        Name of the group.
    clock : callable
        Returns the current instant.
    metrics : StoreMetrics
        Metrics of the process.
    """

    def __init__(
        self, group: str, clock: Callable[[], Instant], metrics: StoreMetrics
    ) -> None:
        self._group = group
        self._clock = clock
        self._metrics = metrics
        self._last_boot_ms = 0

    def begin(self, now: Instant) -> None:
        """Measure what comes next from now on."""
        self._last_boot_ms = now.boot_ms

    def lap(self, kind: str, subject: object) -> int:
        """Record the work since the last call.

        Parameters
        ----------
        kind : str
            Kind of work, a label of the metric.
        subject : object
            Command or request that the work was for.

        Returns
        -------
        int
            Current time in milliseconds of the boot clock.
        """
        now_boot_ms = self._clock().boot_ms
        elapsed_ms = now_boot_ms - self._last_boot_ms
        self._last_boot_ms = now_boot_ms
        if elapsed_ms >= OBSERVED_MS:
            self._metrics.work_ms.observe(
                elapsed_ms, group=self._group, kind=kind
            )
        if elapsed_ms >= LOGGED_MS:
            _LOG.warning(
                "the group was held up",
                group=self._group,
                kind=kind,
                elapsed_ms=elapsed_ms,
                subject=type(subject).__name__,
                **_fields(subject),
            )
        return now_boot_ms


def _fields(subject: object) -> dict[str, object]:
    match subject:
        case AcceptWorkflow(job_id=job_id, spec=spec):
            return {
                "job": job_id,
                "steps": len(spec.steps),
                "tasks": sum(step.count for step in spec.steps),
            }
        case EndWorkflow(job_id=job_id):
            return {"job": job_id}
        case RecordRuns():
            return {
                "ends": len(subject.ends),
                "assignments": len(subject.assignments),
                "opened": len(subject.opened),
                "forgotten_jobs": len(subject.forgotten_jobs),
                "job": _first_job(subject),
            }
        case _:
            return {"path": getattr(subject, "path", "")}


def _first_job(body: RecordRuns) -> str:
    """Return the job of the first task that a command names, or ""."""
    for end in body.ends:
        return end.task.partition(".")[0]
    for assignment in body.assignments:
        return assignment.task.partition(".")[0]
    return ""
