"""Accepted work and capacity of each class of tasks.

There are two classes in each pool: tasks with reserved processors, and
best-effort tasks. Interference with serving tasks limits the latter, and free
processors do not show it. So while best-effort tasks wait, their rate is the
one at which they have been served lately.
"""

import copy
import dataclasses
import itertools

from sardinespool.clock import Instant
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.step_priority import RUNNING_TASK_WORK
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.critical_path import PathTimes
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import WorkflowRecord
from sardinespool.workflows.work_share import STEPS_PER_CHANGE

REFRESH_MS = 100
"""Interval at which load and capacity are determined anew; accepted work is
added in between. One pass over thousands of workers takes milliseconds."""
SATURATED_MS = 200
"""Time for which a task must have waited for its class to be full. The next
planning pass comes within 100 ms, and the commit of a start takes 20 ms."""
ROOM_SHARE = 0.1
"""Free share of the processors from which a class has room, if a task fits.
Less is free for the moment between an end and the next start."""
READY_STEPS_MAX = 2_000
"""Ready steps that are visited in a refresh; more than these fill any class
that they belong to."""
RATE_WINDOW_MS = 2_000
"""Time constant of the rate of best-effort tasks, about that of one run."""


@dataclasses.dataclass(slots=True)
class ClassLoad:
    """Load of one class, in millicores and milliseconds.

    Attributes
    ----------
    work : dict of int to float
        Accepted work that is left, by priority of the queue.
    capacity_millicores, free_millicores : int
        Processors on which tasks of the class run or may start, and the free
        ones of them.
    largest_free_millicores : int
        The most that is free on one worker.
    served_millicores : float or None
        Smoothed processors in use, of best-effort tasks.
    waiting_millicores : int
        Processors that the waiting tasks need.
    waited_ms : int
        Longest wait of a task that some worker can hold.
    """

    best_effort: bool
    work: dict[int, float] = dataclasses.field(default_factory=dict)
    capacity_millicores: int = 0
    free_millicores: int = 0
    largest_free_millicores: int = 0
    served_millicores: float | None = None
    waiting_millicores: int = 0
    waited_ms: int = 0

    def has_room(self, step: StepSpec) -> bool:
        """Return whether a task of the step finds a worker soon."""
        if (
            not self.best_effort
            and step.processors_millicores <= self.largest_free_millicores
            and self.free_millicores >= ROOM_SHARE * self.capacity_millicores
        ):
            return True
        # A crowd that comes at once has not waited yet.
        return (
            self.waited_ms < SATURATED_MS
            and self.waiting_millicores < self.capacity_millicores
        )

    @property
    def rate_millicores(self) -> float:
        """Processors that serve the class while tasks wait."""
        if (
            self.best_effort
            and self.waited_ms >= SATURATED_MS
            and self.served_millicores is not None
        ):
            return self.served_millicores
        return float(self.capacity_millicores)

    def work_ahead(self, priority: int) -> float:
        """Return the work of queues that don't yield to a priority."""
        return sum(
            work for other, work in self.work.items() if other <= priority
        )

    def add_work(self, priority: int, work: float) -> None:
        """Add accepted work."""
        self.work[priority] = self.work.get(priority, 0.0) + work

    def add_waiting(self, step: StepSpec, count: int) -> None:
        """Add waiting tasks of a step."""
        self.waiting_millicores += count * step.processors_millicores

    def add_accepted(self, step: StepSpec) -> None:
        """Add the tasks of a step that waits for its first start."""
        self.add_waiting(step, step.count)
        self.free_millicores -= step.count * step.processors_millicores


@dataclasses.dataclass(slots=True)
class _LargestWorker:
    """The most that any worker of a pool has of each resource."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    labels: set[str] = dataclasses.field(default_factory=set)

    def add(self, worker: WorkerState) -> None:
        description = worker.description
        self.millicores = max(self.millicores, worker.reference_millicores)
        self.memory_mb = max(self.memory_mb, description.memory_mb)
        self.accelerators = max(self.accelerators, description.accelerators)
        self.labels.update(description.labels)

    def can_hold(self, step: StepSpec) -> bool:
        return (
            step.processors_millicores <= self.millicores
            and step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
            and (not step.required_label or step.required_label in self.labels)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownWork:
    """Work of a job of many steps, on reserved processors and on others."""

    work: tuple[float, float]
    changes: int
    predicted: PathTimes
    largest: _LargestWorker | None

    def is_outdated(
        self, workflow: WorkflowRecord, largest: _LargestWorker | None
    ) -> bool:
        return (
            self.predicted is not workflow.predicted
            or self.largest != largest
            or workflow.changes - self.changes
            > workflow.opened_steps // STEPS_PER_CHANGE
        )


class LoadMeter:
    """Determines the load of all classes.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    fleet : Fleet
        Workers.
    """

    def __init__(self, machine: ControlMachine, fleet: Fleet) -> None:
        self._machine = machine
        self._fleet = fleet
        self.reset()

    def reset(self) -> None:
        """Forget what an earlier leadership has seen."""
        self._loads: dict[tuple[str, bool], ClassLoad] = {}
        self._largest: dict[str, _LargestWorker] = {}
        self._waiting_since: dict[tuple[str, int, int], int] = {}
        self._refreshed_boot_ms: int | None = None
        self._known_work: dict[str, _KnownWork] = {}

    def copy(self) -> "LoadMeter":
        """Return a copy whose changes leave this one as it is."""
        meter = LoadMeter(self._machine, self._fleet)
        meter._loads = copy.deepcopy(self._loads)
        meter._largest = copy.deepcopy(self._largest)
        meter._waiting_since = dict(self._waiting_since)
        meter._refreshed_boot_ms = self._refreshed_boot_ms
        meter._known_work = dict(self._known_work)
        return meter

    def load_of(self, queue: QueueSpec, step: StepSpec) -> ClassLoad:
        """Return the load of the class of a step, as of the last refresh."""
        return self._load(queue.pool, step.uses_leftover_processors)

    def can_hold(self, queue: QueueSpec, step: StepSpec) -> bool:
        """Return whether a known worker of the pool is large enough.

        Each resource and label counts by itself, so that a fleet of any size
        takes one comparison. True for a pool without known workers.
        """
        largest = self._largest.get(queue.pool)
        return largest is None or largest.can_hold(step)

    def refresh(self, now: Instant) -> None:
        """Determine all loads anew if the last time is some while ago."""
        last_boot_ms = self._refreshed_boot_ms
        if (
            last_boot_ms is not None
            and now.boot_ms - last_boot_ms < REFRESH_MS
        ):
            return
        self._refreshed_boot_ms = now.boot_ms
        elapsed_ms = 0 if last_boot_ms is None else now.boot_ms - last_boot_ms
        for load in self._loads.values():
            load.work.clear()
            load.capacity_millicores = 0
            load.free_millicores = 0
            load.largest_free_millicores = 0
            load.waiting_millicores = 0
            load.waited_ms = 0
        self._largest.clear()
        in_use: dict[str, int] = {}
        for worker in self._fleet.workers.values():
            self._add_worker(worker, in_use, now)
        for pool, millicores in in_use.items():
            _smooth(self._load(pool, True), millicores, elapsed_ms)
        for workflow in self._machine.table.workflows.values():
            if not workflow.is_final:
                self._add_work(workflow)
            else:
                self._known_work.pop(workflow.job_id, None)
        self._update_waits(now)

    def _load(self, pool: str, best_effort: bool) -> ClassLoad:
        key = pool, best_effort
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = ClassLoad(best_effort)
        return load

    def _add_worker(
        self, worker: WorkerState, in_use: dict[str, int], now: Instant
    ) -> None:
        pool = worker.description.pool
        # Also one that is drained or silent shows what the pool may have.
        self._largest.setdefault(pool, _LargestWorker()).add(worker)
        if (
            pool in self._machine.manifest.spare_pools
            or self._fleet.vacated_because(worker)
            # One that is silent for a moment usually comes back.
            or not self._fleet.was_heard_recently(worker, now)
        ):
            return
        lasting_millicores = sum(
            run.step.spec.processors_millicores
            for run in worker.runs.values()
            if run.step is not None and run.step.spec.long_running
        )
        reserved = self._load(pool, False)
        for load in (reserved, self._load(pool, True)):
            load.capacity_millicores += (
                worker.description.processors_millicores - lasting_millicores
            )
        if worker.answered:
            free_millicores = max(0, worker.free_millicores)
            reserved.free_millicores += free_millicores
            reserved.largest_free_millicores = max(
                reserved.largest_free_millicores, free_millicores
            )
        in_use[pool] = in_use.get(pool, 0) + worker.best_effort_millicores

    def _add_work(self, workflow: WorkflowRecord) -> None:
        predicted = workflow.predicted
        if predicted is None:
            return
        queue = self._machine.current_queue(workflow)
        if workflow.opened_steps < STEPS_PER_CHANGE:
            work = self._work_of(workflow, predicted, queue)
        else:
            work = self._known_work_of(workflow, predicted, queue)
        for best_effort, part in zip((False, True), work, strict=True):
            if part:
                self._load(queue.pool, best_effort).add_work(
                    queue.priority, part
                )

    def _known_work_of(
        self,
        workflow: WorkflowRecord,
        predicted: PathTimes,
        queue: QueueSpec,
    ) -> tuple[float, float]:
        """Return the work of a job of many steps, as of some changes ago."""
        largest = self._largest.get(queue.pool)
        known = self._known_work.get(workflow.job_id)
        if known is None or known.is_outdated(workflow, largest):
            known = self._known_work[workflow.job_id] = _KnownWork(
                self._work_of(workflow, predicted, queue),
                workflow.changes,
                predicted,
                copy.deepcopy(largest),
            )
        return known.work

    def _work_of(
        self,
        workflow: WorkflowRecord,
        predicted: PathTimes,
        queue: QueueSpec,
    ) -> tuple[float, float]:
        """Return the work of a job on reserved processors, and on others."""
        sums = [0.0, 0.0]
        for steps in workflow.occurrences.values():
            for step in steps:
                spec = step.spec
                if (
                    not step.remaining
                    or spec.long_running
                    or not self.can_hold(queue, spec)
                ):
                    continue
                waiting = len(step.waiting)
                tasks = waiting + RUNNING_TASK_WORK * (
                    step.remaining - waiting
                )
                sums[spec.uses_leftover_processors] += (
                    tasks
                    * spec.processors_millicores
                    * predicted.tasks_ms[step.position]
                )
        return sums[0], sums[1]

    def _update_waits(self, now: Instant) -> None:
        ready = self._machine.table.ready
        since: dict[tuple[str, int, int], int] = {}
        if len(ready) > READY_STEPS_MAX:
            since = {
                key: since_boot_ms
                for key, since_boot_ms in self._waiting_since.items()
                if key in ready
            }
        for key, step in itertools.islice(ready.items(), READY_STEPS_MAX):
            if step.spec.long_running:
                continue
            since[key] = self._waiting_since.get(key, now.boot_ms)
            if key not in self._waiting_since and not step.spec.after:
                # It waits since the job was accepted, after the last refresh.
                age_ms = now.unix_ms - step.workflow.accepted_unix_ms
                since[key] -= max(0, min(age_ms, REFRESH_MS))
            queue = self._machine.current_queue(step.workflow)
            if self._counts_as_waiting(queue, step):
                load = self.load_of(queue, step.spec)
                load.add_waiting(step.spec, len(step.waiting))
                load.waited_ms = max(load.waited_ms, now.boot_ms - since[key])
        self._waiting_since = since

    def _counts_as_waiting(self, queue: QueueSpec, step: StepRecord) -> bool:
        """Return whether a wait of a step shows that its class is full.

        A gang, a label or a limit for each worker may be the cause instead.
        """
        spec = step.spec
        return (
            not spec.gang
            and not spec.required_label
            and not spec.tasks_per_worker_max
            and self.can_hold(queue, spec)
        )


def _smooth(load: ClassLoad, in_use: int, elapsed_ms: int) -> None:
    """Follow the processors in use, at once where they rise.

    At the begin of a burst they are few because little was to be done.
    """
    served = load.served_millicores
    if served is None or in_use >= served:
        load.served_millicores = float(in_use)
        return
    share = min(1.0, elapsed_ms / RATE_WINDOW_MS)
    load.served_millicores = served + share * (in_use - served)
