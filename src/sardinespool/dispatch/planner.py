"""Selection and placement of the ready tasks that start now."""

from collections.abc import Collection
from collections.abc import Iterator

from sardinespool.clock import Instant
from sardinespool.dispatch.best_effort import best_effort_demand
from sardinespool.dispatch.best_effort import BestEffortScorer
from sardinespool.dispatch.best_effort import STARVED_PACE
from sardinespool.dispatch.congestion_log import CongestionLog
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import RunStopper
from sardinespool.dispatch.health import WorkerHealth
from sardinespool.dispatch.placer import Placer
from sardinespool.dispatch.rebalancer import Rebalancer
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.step_priority import congested_queues
from sardinespool.dispatch.step_priority import first_round_size
from sardinespool.dispatch.step_priority import step_priority
from sardinespool.dispatch.step_priority import StepPriority
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.trial_planner import TrialPlanner
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.workflows import Assignment
from sardinespool.workflows.records import StepRecord

CLEANUP_INTERVAL_MS = 5_000
STARTS_PER_PASS_MAX = 400
"""Bounds the time of a pass; the next pass places the remaining tasks."""

SERVING_BATCH_WINDOW_MS = 300
"""Delay of a new serving step, so that steps submitted together are placed
together; serving tasks run for a minute or longer."""
STARVED_WAIT_MS = 1_500
"""Wait after which a step without any run may start on any worker."""
STARVED_RESERVED_MAX = 0.6
"""Reserved share of all processors below which a starved step may start where
it interferes; from this share on, it keeps waiting for a suitable worker."""
OVERDUE_WAIT_MS = 2_000
"""Wait after which a long-running step is overdue: it precedes short tasks,
may take the last free slot, and may start on a worker that was set aside. Its
callers count it as missing after 6 s."""
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

    Attributes
    ----------
    rebalancer : Rebalancer
        Moves throttled best-effort tasks.
    congestion : CongestionLog
        Congested queues.
    """

    def __init__(
        self,
        machine: ControlMachine,
        fleet: Fleet,
        settings: DispatchSettings,
        model: TailModel,
        health: WorkerHealth,
    ) -> None:
        self._health = health
        self._model = model
        self._best_effort = BestEffortScorer(model)
        self._trials = TrialPlanner(machine, fleet, self._best_effort)
        self.rebalancer = Rebalancer(machine, fleet, self._best_effort)
        self._machine = machine
        self._fleet = fleet
        self._settings = settings
        self._cleanup_due_boot_ms = 0
        self._pass_due_boot_ms = 0
        self._best_effort_due_boot_ms = 0
        self._waiting_since: dict[tuple[str, int, int], int] = {}
        self.congestion = CongestionLog()

    def reset(self) -> None:
        """Clear the state of earlier passes."""
        self._cleanup_due_boot_ms = 0
        self._pass_due_boot_ms = 0
        self._best_effort_due_boot_ms = 0
        self._waiting_since.clear()
        self._trials.reset()
        self.congestion = CongestionLog()

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
            self.congestion.update(
                (), self._machine.table.waiting_counts(), now
            )
        if not ready or now.boot_ms < self._pass_due_boot_ms:
            return (), []
        candidates: dict[str, list[WorkerState]] = {}
        set_aside: dict[str, list[WorkerState]] = {}
        for worker in self._fleet.workers.values():
            pool = worker.description.pool
            if self._fleet.accepts_starts(worker, now):
                candidates.setdefault(pool, []).append(worker)
            elif self._fleet.accepts_starts_as_last_resort(worker, now):
                set_aside.setdefault(pool, []).append(worker)
        self._waiting_since = {
            key: since
            for key, since in self._waiting_since.items()
            if key in ready
        }
        self._best_effort.begin_pass(
            best_effort_demand(ready.values()), now.boot_ms
        )
        planned = self._trials.place(candidates, set_aside, now)
        placers = {
            pool: self._trials.placer_of_other_tasks(
                pool, candidates.get(pool, ()), set_aside.get(pool, ())
            )
            for pool in candidates.keys() | set_aside.keys()
        }
        place_best_effort = now.boot_ms >= self._best_effort_due_boot_ms
        if place_best_effort:
            self._best_effort_due_boot_ms = (
                now.boot_ms + BEST_EFFORT_INTERVAL_MS
            )
        has_unplaced = False
        unplaced_millicores: dict[str, int] = {}
        placed = set(self._trials.suspects)
        for step, tasks_max in self._placement_order(ready.values(), now):
            if len(planned) >= STARTS_PER_PASS_MAX:
                break
            queue = self._machine.current_queue(step.workflow)
            placer = placers.get(queue.pool)
            if self._awaits_batch(step, now):
                has_unplaced = True
                continue
            if placer is not None and (
                not step.spec.uses_leftover_processors
                or (
                    place_best_effort
                    and not self._cannot_fit(step, unplaced_millicores, now)
                )
            ):
                placed_runs = self._place_step(
                    step, placer, tasks_max, placed, now
                )
                placed.update(run.task_key for _, run in placed_runs)
                planned += placed_runs
                if (
                    step.spec.uses_leftover_processors
                    and self._trials.has_other_waiting(step)
                ):
                    unplaced_millicores[step.spec.image] = (
                        step.spec.processors_millicores
                    )
            has_unplaced = has_unplaced or bool(step.waiting)
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

    def due_occurrences(self, now: Instant) -> tuple[tuple[str, int], ...]:
        """Return the occurrences that are due."""
        due = []
        for workflow in self._machine.table.unopened.values():
            due_unix_ms = workflow.next_due_unix_ms
            if due_unix_ms is not None and due_unix_ms <= now.unix_ms:
                due.append((workflow.job_id, len(workflow.occurrences)))
        return tuple(due)

    def forgotten_jobs(self, now: Instant) -> tuple[str, ...]:
        """Return the ended jobs whose retention time has passed."""
        if now.boot_ms < self._cleanup_due_boot_ms:
            return ()
        self._cleanup_due_boot_ms = now.boot_ms + CLEANUP_INTERVAL_MS
        self._drop_stale_estimates()
        before_unix_ms = now.unix_ms - self._settings.finished_job_retention_ms
        return tuple(
            workflow.job_id
            for workflow in self._machine.table.workflows.values()
            if workflow.is_final and workflow.ended_unix_ms < before_unix_ms
        )

    def _drop_stale_estimates(self) -> None:
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

    def _awaits_batch(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a new serving step waits for others of its image.

        Jobs that are submitted together are placed image by image.
        """
        since_boot_ms = self._waiting_since.setdefault(step.key, now.boot_ms)
        return (
            bool(step.spec.tail_latency_target_ms)
            and now.boot_ms - since_boot_ms < SERVING_BATCH_WINDOW_MS
            and not any(task.run for task in step.tasks)
        )

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
            and not self._is_starved(step, now)
        )

    def _is_overdue(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a long-running step has waited too long.

        While short tasks keep a fleet full, they take all room that becomes
        free, and a long-running task behind them would never start.
        """
        since_boot_ms = self._waiting_since.setdefault(step.key, now.boot_ms)
        return (
            step.spec.long_running
            and now.boot_ms - since_boot_ms > OVERDUE_WAIT_MS
        )

    def _is_starved(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a step without any run has waited too long."""
        since_boot_ms = self._waiting_since.setdefault(step.key, now.boot_ms)
        return (
            len(step.waiting) == step.remaining
            and now.boot_ms - since_boot_ms > STARVED_WAIT_MS
            and self._fleet.reserved_share() < STARVED_RESERVED_MAX
        )

    def _placement_order(
        self, steps: Collection[StepRecord], now: Instant
    ) -> Iterator[tuple[StepRecord, int]]:
        """Yield steps in placement order, each with a limit of placed tasks.

        Long-running steps appear twice: each gets half of its tasks before
        any gets the rest, as partial service is better than none.
        """
        queues = [
            (step, self._machine.current_queue(step.workflow))
            for step in steps
        ]
        congested = congested_queues(queues, now.unix_ms)
        self.congestion.update(
            congested, self._machine.table.waiting_counts(), now
        )
        entries: list[tuple[StepPriority, StepRecord, int]] = []
        for step, queue in queues:
            first_size = first_round_size(step)
            rounds = (
                (first_size,)
                if first_size == step.spec.count
                else (first_size, step.spec.count)
            )
            for round_, tasks_max in enumerate(rounds):
                priority = step_priority(
                    step,
                    queue,
                    now.unix_ms,
                    round_,
                    self._is_overdue(step, now),
                    queue.name in congested,
                )
                entries.append((priority, step, tasks_max))
        entries.sort(key=lambda entry: entry[0])
        for _, step, tasks_max in entries:
            yield step, tasks_max

    def _place_step(
        self,
        step: StepRecord,
        placer: Placer,
        tasks_max: int,
        placed: set[str],
        now: Instant,
    ) -> PlannedRuns:
        """Place tasks of a step until `tasks_max` of them have a worker."""
        planned: PlannedRuns = []
        waiting = [
            index
            for index in sorted(step.waiting)
            if step.tasks[index].key not in placed
        ]
        tasks_left = tasks_max - (step.spec.count - len(waiting))
        if tasks_left <= 0:
            return []
        gang_run = max((task.run for task in step.tasks), default=0) + 1
        starved = self._is_starved(step, now)
        workers = placer.workers_for(
            step,
            starved,
            self._health.failed_workers(step.key),
            overdue=self._is_overdue(step, now),
        )
        for index in waiting[:tasks_left]:
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
        return planned
