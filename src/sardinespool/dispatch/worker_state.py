"""State of one worker, as known to the leader."""

import copy

from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_clock import WorkerClock
from sardinespool.messages.worker_reports import capacity_of
from sardinespool.messages.worker_reports import limit_capacity
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import StepSpec
from sardinespool.observability.logs import get_logger
from sardinespool.workspaces.usage import WorkspaceUsage

RunKey = tuple[str, int]
SERVING_LOAD_RATIO = 0.5
"""Share of its processors that a serving task is assumed to use.

Serving tasks are sized for their peak load, and their use is not measured.
"""

_LOG = get_logger("dispatch")


class WorkerState:
    """Resources, runs, lease and condition of one worker incarnation.

    Parameters
    ----------
    usage : WorkspaceUsage or None
        Counts the runs of all workers; None for a worker without others.

    Attributes
    ----------
    description : WorkerDescription
        The committed description, with the capacity that the worker has
        reported since if it is smaller.
    runs_by_job : dict of str to dict
        The runs of known tasks by job id.
    pending : dict of RunKey to RunState
        Runs for which an order may be outstanding.
    unanswered_starts : dict of RunKey to (int, RunState)
        Send time and run of unanswered starts that may still take effect,
        including those of ended runs.
    answered : bool
        Whether the worker answered the last call; tasks are placed only on
        workers that did.
    reconciled : bool
        Whether this leader has received a complete list of the worker's runs.
    has_unlisted_ends : bool
        Whether the latest list may lack ends, which the next one contains.
    lease_end_ms : int
        Latest lease end sent by this leader, in the worker's clock.
    unknown_lease_end_boot_ms : int
        Until then, leases granted by an earlier leader, or by late starts of
        an earlier incarnation, may be valid.
    other_lease_end_boot_ms : int
        Until then, another incarnation that took a call meant for this one
        may hold what it was told to start.
    restarted : bool
        Whether this leader knew an earlier incarnation.
    sequence, sequence_boot_ms : int
        Sequence number of the last heartbeat that counted, and its arrival.
    acknowledged_end : int
        Ends up to this number are committed.
    last_listed_end : int
        Highest number of a listed end.
    avoid_until_boot_ms : int
        Until then, no task starts, as the worker refused one.
    set_aside_until_boot_ms : int
        Until then, tasks start only if they have no other worker, as runs
        failed or stalled.
    on_probation : bool
        Whether no run has been done since the worker was set aside.
    trials : dict of RunKey to RunState
        The runs that are trials.
    last_seen_clock_ms : int
        Latest reading of the worker's clock in an answer to this leader.
    connection_closed : bool
        Whether a connection was closed or refused since the last answer. A
        worker that is cut off or without power leaves calls open instead.
    silent_since_boot_ms : int or None
        When the first call since the last answer timed out.
    crash_answer_boot_ms : int or None
        Last answer before the latest crash that was recorded.
    ends_commit_pending : bool
        Whether listed ends are not committed yet.
    busy_millicores : int
        Expected processor use of tasks with reserved processors.
    best_effort_millicores : int
        Declared processors of best-effort tasks, which reserve none.
    serving_images : dict of str to int
        Serving runs by image.
    best_effort_use : dict of str to float
        Measured share of the worker's processors by best-effort image.
    """

    def __init__(
        self,
        description: WorkerDescription,
        settings: DispatchSettings,
        unknown_lease_end_boot_ms: int,
        usage: WorkspaceUsage | None = None,
    ) -> None:
        self.description = description
        self._usage = WorkspaceUsage() if usage is None else usage
        self._remote_factor = settings.remote_factor
        self._processors_max_millicores = description.processors_millicores
        self._recorded = description
        self._reported: WorkerDescription | None = None
        self.clock = WorkerClock(settings.clock_rate_min)
        self.unknown_lease_end_boot_ms = unknown_lease_end_boot_ms
        self.other_lease_end_boot_ms = 0
        self.free_millicores = description.processors_millicores
        self.free_memory_mb = description.memory_mb
        self.free_accelerators = description.accelerators
        self.runs: dict[RunKey, RunState] = {}
        self.runs_by_job: dict[str, dict[RunKey, RunState]] = {}
        self.pending: dict[RunKey, RunState] = {}
        self.unanswered_starts: dict[RunKey, tuple[int, RunState]] = {}
        self.trials: dict[RunKey, RunState] = {}
        self.last_seen_clock_ms = 0
        self.connection_closed = False
        self.silent_since_boot_ms: int | None = None
        self.crash_answer_boot_ms: int | None = None
        self.sequence = -1
        self.sequence_boot_ms = 0
        self.restarted = False
        self.answered = False
        self.reconciled = False
        self.has_unlisted_ends = False
        self.lease_end_ms = 0
        self.acknowledged_end = 0
        self.last_listed_end = 0
        self.ends_commit_pending = False
        self.last_answer_boot_ms = -1
        self.leaves_boot_ms: int | None = None
        self.avoid_until_boot_ms = 0
        self.set_aside_until_boot_ms = 0
        self.failed_jobs: set[str] = set()
        self.on_probation = False
        self.busy_millicores = 0
        self.best_effort_millicores = 0
        self.serving_images: dict[str, int] = {}
        self.best_effort_use: dict[str, float] = {}
        self.pace_changed_boot_ms = 0

    def copy(self, usage: WorkspaceUsage) -> "WorkerState":
        """Return a copy for planning only, whose runs count in `usage`."""
        worker = copy.copy(self)
        worker._usage = usage
        worker.runs = {key: copy.copy(run) for key, run in self.runs.items()}
        worker.runs_by_job = {}
        for key, run in worker.runs.items():
            if run.step is not None:
                job_id = run.step.workflow.job_id
                worker.runs_by_job.setdefault(job_id, {})[key] = run
        worker.trials = {
            key: worker.runs.get(key, run) for key, run in self.trials.items()
        }
        worker.pending = dict(self.pending)
        worker.serving_images = dict(self.serving_images)
        worker.best_effort_use = dict(self.best_effort_use)
        return worker

    @property
    def reference_millicores(self) -> int:
        """Processors that shares of the worker refer to, at least 1.

        This is the largest capacity known to this leader, as a run interferes
        no less when the capacity shrinks.
        """
        return max(1, self._processors_max_millicores)

    @property
    def leftover_millicores(self) -> int:
        """Processors that further best-effort tasks can expect to find."""
        return (
            self.description.processors_millicores
            - self.busy_millicores
            - self.best_effort_millicores
        )

    @property
    def is_overcommitted(self) -> bool:
        """Whether more is reserved than the capacity, which has shrunk."""
        return (
            self.free_millicores < 0
            or self.free_memory_mb < 0
            or self.free_accelerators < 0
        )

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.description.worker_id

    def fits(self, step: StepSpec) -> bool:
        """Return whether the free resources suffice for a task of the step.

        No task fits on a worker with less capacity than is reserved.
        """
        reserved_millicores = (
            0 if step.uses_leftover_processors else step.processors_millicores
        )
        return (
            step.memory_mb <= self.free_memory_mb
            and step.accelerators <= self.free_accelerators
            and reserved_millicores <= self.free_millicores
        )

    def add_run(self, run: RunState) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        if run.needs_order:
            self.pending[run.key] = run
        if run.trial:
            self.trials[run.key] = run
        if run.step is not None:
            rack = run.step.spec.data_rack
            if rack and rack not in self.description.labels:
                run.slowdown = self._remote_factor
            self._adjust_reservation(run.step.spec, -1)
            workflow = run.step.workflow
            self._usage.add(workflow.workspace, run.step.spec)
            self.runs_by_job.setdefault(workflow.job_id, {})[run.key] = run

    def remove_run(self, run: RunState) -> None:
        """Remove an ended run and free its resources."""
        self.pending.pop(run.key, None)
        if self.runs.get(run.key) is not run:
            return
        del self.runs[run.key]
        self.trials.pop(run.key, None)
        if run.step is not None:
            self._adjust_reservation(run.step.spec, 1)
            workflow = run.step.workflow
            self._usage.remove(workflow.workspace, run.step.spec)
            runs = self.runs_by_job[workflow.job_id]
            del runs[run.key]
            if not runs:
                del self.runs_by_job[workflow.job_id]

    def measure_best_effort_use(self) -> None:
        """Recompute the best-effort use from the last list."""
        self.best_effort_use = {}
        for run in self.runs.values():
            step = run.step
            if step is not None and step.spec.uses_leftover_processors:
                self._add_best_effort_use(
                    step.spec.image,
                    run.used_millicores / self.reference_millicores,
                )

    def declared_best_effort_use(self) -> dict[str, float]:
        """Return the declared best-effort share of processors by image.

        Throttled runs count in full, as they are meant to return to full
        pace.
        """
        use: dict[str, float] = {}
        for run in self.runs.values():
            step = run.step
            if step is not None and step.spec.uses_leftover_processors:
                share = (
                    step.spec.processors_millicores / self.reference_millicores
                )
                use[step.spec.image] = use.get(step.spec.image, 0.0) + share
        return use

    def _add_best_effort_use(self, image: str, share: float) -> None:
        self.best_effort_use[image] = (
            self.best_effort_use.get(image, 0.0) + share
        )

    def update_description(self, description: WorkerDescription) -> None:
        """Apply a committed description of the same incarnation."""
        self._recorded = description
        self._apply_capacity()

    def apply_report(self, description: WorkerDescription) -> None:
        """Apply a smaller reported capacity before it is committed."""
        self._reported = description
        self._apply_capacity()

    def _apply_capacity(self) -> None:
        description = self._recorded
        if self._reported is not None:
            description = limit_capacity(description, self._reported)
        earlier = self.description
        self.free_millicores += (
            description.processors_millicores - earlier.processors_millicores
        )
        self.free_memory_mb += description.memory_mb - earlier.memory_mb
        self.free_accelerators += (
            description.accelerators - earlier.accelerators
        )
        self.description = description
        self._processors_max_millicores = max(
            self._processors_max_millicores, description.processors_millicores
        )
        if capacity_of(description) != capacity_of(earlier):
            _LOG.info(
                "worker capacity changed",
                worker=self.worker_id,
                millicores=description.processors_millicores,
                memory_mb=description.memory_mb,
                accelerators=description.accelerators,
                runs=len(self.runs),
                free_millicores=self.free_millicores,
                free_memory_mb=self.free_memory_mb,
                free_accelerators=self.free_accelerators,
            )

    def _adjust_reservation(self, step: StepSpec, sign: int) -> None:
        self.free_memory_mb += sign * step.memory_mb
        self.free_accelerators += sign * step.accelerators
        if step.uses_leftover_processors:
            self.best_effort_millicores -= sign * step.processors_millicores
            if sign < 0:
                self._add_best_effort_use(
                    step.image,
                    step.processors_millicores / self.reference_millicores,
                )
            return
        self.free_millicores += sign * step.processors_millicores
        busy_millicores = step.processors_millicores
        if step.tail_latency_target_ms:
            busy_millicores = int(busy_millicores * SERVING_LOAD_RATIO)
            image = step.image
            count = self.serving_images.get(image, 0) - sign
            if count > 0:
                self.serving_images[image] = count
            else:
                self.serving_images.pop(image, None)
        self.busy_millicores -= sign * busy_millicores


def departed_worker(worker_id: str, settings: DispatchSettings) -> WorkerState:
    """Return the state of a worker of which no description is left."""
    description = WorkerDescription(
        worker_id=worker_id,
        incarnation=0,
        address="",
        pool="",
        failure_domain="",
        host="",
        labels=(),
        processors_millicores=0,
        memory_mb=0,
        accelerators=0,
    )
    return WorkerState(description, settings, 0)
