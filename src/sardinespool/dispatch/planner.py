"""Selection and placement of the ready tasks that start now."""

import collections
import itertools

from sardinespool.clock import Instant
from sardinespool.dispatch.best_effort import best_effort_demand
from sardinespool.dispatch.best_effort import BestEffortScorer
from sardinespool.dispatch.best_effort import STARVED_PACE
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import RunStopper
from sardinespool.dispatch.health import WorkerHealth
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.near_waits import NearWaits
from sardinespool.dispatch.placement_order import PlacementOrder
from sardinespool.dispatch.placer import Placer
from sardinespool.dispatch.rebalancer import Rebalancer
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.trial_planner import TrialPlanner
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.dispatch.workspace_holds import WorkspaceHolds
from sardinespool.dispatch.workspace_log import UnloggedHolds
from sardinespool.dispatch.workspace_log import WorkspaceLog
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.workflows import Assignment
from sardinespool.workflows.ready_window import ready_window
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.table import StepKey

STARTS_PER_PASS_MAX = 400
"""Bounds the time of a pass; the next pass places the remaining tasks."""
READY_STEPS_MAX = 1_000
"""The same for the steps that a pass considers, each of which costs 50 us. On
the slowest hosts a pass then takes a sixth of the lease of the leader."""
WIDE_STEP_TASKS = 2 * STARTS_PER_PASS_MAX
"""Waiting tasks from which a pass doesn't look at all tasks of a step."""

IDLE_PASS_INTERVAL_MS = 100
"""Delay after a pass that placed nothing, unless resources become free; tail
latencies and paces change within half a second."""

BEST_EFFORT_INTERVAL_MS = 25
"""Interval between passes that place best-effort tasks, the most expensive
part of a pass; their jobs have objectives of seconds."""

PlannedRuns = list[tuple[WorkerState, RunState]]


class Planner:
    """Prioritizes ready steps and assigns their tasks to workers.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    fleet : Fleet
        Workers.
    settings : DispatchSettings
        Timing.
    model : TailModel
        Interference of best-effort images with serving images.
    health : WorkerHealth
        Tracks the workers on which tasks failed.
    near : NearWaits
        Tasks that wait for a worker near their data.

    Attributes
    ----------
    near : NearWaits
        Tasks that wait for a worker near their data.
    rebalancer : Rebalancer
        Moves throttled best-effort tasks.
    order : PlacementOrder
        Order of the ready steps.
    workspace_log : WorkspaceLog
        Workspaces that are held back.
    """

    def __init__(
        self,
        machine: ControlMachine,
        fleet: Fleet,
        settings: DispatchSettings,
        model: TailModel,
        health: WorkerHealth,
        near: NearWaits,
    ) -> None:
        self._health = health
        self.near = near
        self._model = model
        self._best_effort = BestEffortScorer(model)
        self._trials = TrialPlanner(machine, fleet, self._best_effort)
        self.rebalancer = Rebalancer(machine, fleet, self._best_effort)
        self._machine = machine
        self._fleet = fleet
        self._settings = settings
        self._pass_due_boot_ms = 0
        self._best_effort_due_boot_ms = 0
        self.order = PlacementOrder(machine, fleet)
        self.workspace_log = WorkspaceLog(
            machine, fleet.limits, self.order.shares
        )

    def copy(
        self,
        machine: ControlMachine,
        fleet: Fleet,
        metrics: DispatchMetrics,
    ) -> "Planner":
        """Return a planner of one pass on copies of the state."""
        planner = Planner(
            machine,
            fleet,
            self._settings,
            self._model,
            self._health,
            self.near.copy(machine, metrics),
        )
        planner._best_effort = self._best_effort.copy()
        planner._trials = self._trials.copy(
            machine, fleet, planner._best_effort
        )
        planner.order = self.order.copy(machine, fleet)
        planner.workspace_log = UnloggedHolds(
            machine, fleet.limits, planner.order.shares
        )
        return planner

    def placer_of(
        self, pool: str, workers: list[WorkerState]
    ) -> tuple[list[WorkerState], Placer]:
        """Return the workers that trials leave free, and their placer."""
        free = self._trials.workers_for_other_tasks(pool, workers)
        return free, Placer(free, self._best_effort)

    def reset(self) -> None:
        """Clear the state of earlier passes."""
        self._pass_due_boot_ms = 0
        self._best_effort_due_boot_ms = 0
        self._trials.reset()
        self.near.reset()
        self.order.reset()
        self.workspace_log.reset()

    def request_pass(self) -> None:
        """Plan in the next pass, as resources or a step became available."""
        self._pass_due_boot_ms = 0

    def assign(
        self, now: Instant
    ) -> tuple[tuple[Assignment, ...], PlannedRuns]:
        """Assign ready tasks and reserve resources for them.

        Returns
        -------
        assignments : tuple of Assignment
            To be committed.
        planned : list of (WorkerState, RunState)
            Run of each assignment, not committed yet.
        """
        ready = self._machine.table.ready
        if not ready:
            self.order.congestion.update(
                (), self._machine.table.waiting_counts(), now
            )
            self.workspace_log.update(None, now)
            self.order.retain_unplaced(ready)
        self.near.retain(ready, now)
        if not ready or now.boot_ms < self._pass_due_boot_ms:
            return (), []
        window = ready_window(self._machine.table, READY_STEPS_MAX)
        candidates: dict[str, list[WorkerState]] = {}
        set_aside: dict[str, list[WorkerState]] = {}
        for worker in self._fleet.workers.values():
            pool = worker.description.pool
            if self._fleet.accepts_starts(worker, now):
                candidates.setdefault(pool, []).append(worker)
            elif self._fleet.accepts_starts_as_last_resort(worker, now):
                set_aside.setdefault(pool, []).append(worker)
        self.order.retain(ready)
        self.order.shares.begin_pass(
            window.values(),
            itertools.chain.from_iterable(candidates.values()),
        )
        self._best_effort.begin_pass(
            best_effort_demand(window.values()), now.boot_ms
        )
        self.near.begin_pass(window, candidates, now)
        planned = self._trials.place(candidates, set_aside, now)
        placers = {
            pool: self._trials.placer_of_other_tasks(
                pool,
                candidates.get(pool, ()),
                set_aside.get(pool, ()),
                self.near,
            )
            for pool in candidates.keys() | set_aside.keys()
        }
        place_best_effort = now.boot_ms >= self._best_effort_due_boot_ms
        if place_best_effort:
            self._best_effort_due_boot_ms = (
                now.boot_ms + BEST_EFFORT_INTERVAL_MS
            )
        has_unplaced = len(window) < len(ready)
        unplaced_millicores: dict[str, int] = {}
        placed = set(self._trials.suspects)
        placed_counts: collections.Counter[StepKey] = collections.Counter()
        holds = WorkspaceHolds(self._fleet.limits, self.order.shares)
        for step, tasks_max in self.order.steps(window.values(), now):
            if len(planned) >= STARTS_PER_PASS_MAX:
                break
            queue = self._machine.current_queue(step.workflow)
            placer = placers.get(queue.pool)
            if self.order.awaits_batch(step, now):
                has_unplaced = True
                continue
            if holds.holds_back(step, self.order.is_overdue(step, now)):
                has_unplaced = True
                continue
            if step.spec.uses_leftover_processors and not place_best_effort:
                has_unplaced = True
                continue
            if placer is not None and not (
                step.spec.uses_leftover_processors
                and self._cannot_fit(step, unplaced_millicores, now)
            ):
                placed_runs = self._place_step(
                    step,
                    placer,
                    tasks_max,
                    placed,
                    placed_counts[step.key],
                    now,
                )
                placed.update(run.task_key for _, run in placed_runs)
                placed_counts[step.key] += len(placed_runs)
                planned += placed_runs
                if (
                    step.spec.uses_leftover_processors
                    and self._trials.has_other_waiting(step)
                    and self._fleet.limits.may_start(step)
                ):
                    unplaced_millicores[step.spec.image] = (
                        step.spec.processors_millicores
                    )
            has_unplaced = has_unplaced or bool(step.waiting)
            if self._machine.manifest.workspaces_by_name:
                holds.note_unplaced(step, tasks_max, placed)
        self.workspace_log.update(holds, now)
        if has_unplaced and not planned:
            self._pass_due_boot_ms = now.boot_ms + (
                IDLE_PASS_INTERVAL_MS
                if place_best_effort
                else BEST_EFFORT_INTERVAL_MS
            )
        assignments = tuple(
            Assignment(
                run.task_key,
                run.run,
                worker.worker_id,
                worker.description.incarnation,
                run.trial,
            )
            for worker, run in planned
        )
        return assignments, planned

    def write_metrics(self, metrics: DispatchMetrics, now: Instant) -> None:
        """Update the metrics of what waits."""
        metrics.ready_steps.set(len(self._machine.table.ready))
        metrics.congested_queues.set(len(self.order.congestion.queues))
        self.workspace_log.write_metrics(metrics, now)

    def drop_stale_estimates(self) -> None:
        """Drop the estimates of steps and workers that no longer exist."""
        workers = self._fleet.workers
        self._model.retain_curves(
            {
                run.step.key
                for worker in workers.values()
                for run in worker.runs.values()
                if run.step is not None
            }
        )
        self._best_effort.retain_workers(set(workers))

    def vacate_draining_workers(
        self, now: Instant, control: RunStopper
    ) -> None:
        """Stop long-running tasks on draining workers, so that they move."""
        for worker in self._fleet.workers.values():
            if not worker.description.draining:
                continue
            for run in list(worker.runs.values()):
                if (
                    run.step is not None
                    and run.step.spec.long_running
                    and run.phase is RunPhase.RUNNING
                ):
                    control.stop_run(worker, run, "worker drains")

    def _cannot_fit(
        self,
        step: StepRecord,
        unplaced_millicores: dict[str, int],
        now: Instant,
    ) -> bool:
        """Return whether a task of this image and size is known not to fit."""
        unplaced_size = unplaced_millicores.get(step.spec.image)
        return (
            unplaced_size is not None
            and step.spec.processors_millicores >= unplaced_size
            and not self.order.is_starved(step, now)
        )

    def _place_step(
        self,
        step: StepRecord,
        placer: Placer,
        tasks_max: int,
        placed: set[str],
        placed_count: int,
        now: Instant,
    ) -> PlannedRuns:
        """Place tasks of a step until `tasks_max` of them have a worker."""
        planned: PlannedRuns = []
        eligible = (
            index
            for index in sorted(step.waiting)
            if step.tasks[index].key not in placed
            and self._health.restart_delays.may_start(
                step.tasks[index].key, now
            )
        )
        if _places_partly(step):
            waiting = list(itertools.islice(eligible, STARTS_PER_PASS_MAX))
            tasks_left = (
                tasks_max
                - (step.spec.count - len(step.waiting))
                - placed_count
            )
        else:
            waiting = list(eligible)
            tasks_left = tasks_max - (step.spec.count - len(waiting))
        if tasks_left <= 0:
            return []
        gang_run = step.last_run + 1
        starved = self.order.is_starved(step, now)
        workers = placer.workers_for(
            step,
            starved,
            self._health.failed_workers(step.key),
            overdue=self.order.is_overdue(step, now),
            last_resort=self.order.has_waited_long(step, now),
        )
        limits = self._fleet.limits
        for index in waiting[:tasks_left]:
            # The first task, or the whole gang, may start: see WorkspaceHolds.
            if planned and not step.spec.gang and not limits.may_start(step):
                break
            worker = next(workers, None)
            if worker is None:
                break
            task = step.tasks[index]
            number = gang_run if step.spec.gang else task.run + 1
            run = RunState(
                task.key, number, task, RunPhase.ORDERED, now.boot_ms
            )
            run.committed = False
            if starved and step.spec.uses_leftover_processors:
                run.target_pace = STARVED_PACE
            worker.add_run(run)
            planned.append((worker, run))
        if step.spec.gang and len(planned) < step.spec.count:
            for worker, run in planned:
                worker.remove_run(run)
            return []
        if step.spec.gang and planned:
            self.near.gang_started(planned)
        return planned


def _places_partly(step: StepRecord) -> bool:
    """Return whether a pass looks at a part of the waiting tasks only.

    Long-running tasks wait one by one after failures.
    """
    spec = step.spec
    return (
        len(step.waiting) > WIDE_STEP_TASKS
        and not spec.gang
        and not spec.long_running
    )
