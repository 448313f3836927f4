"""Which ready tasks start now, and where."""

from collections.abc import Collection
from collections.abc import Iterator

from sardinespool.clock import Instant
from sardinespool.dispatch.filling import Filling
from sardinespool.dispatch.filling import filling_demand
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import Health
from sardinespool.dispatch.health import StopRuns
from sardinespool.dispatch.placing import Placing
from sardinespool.dispatch.relief import Relief
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.workflows import Assignment
from sardinespool.workflows.chain import longest_chain_ms
from sardinespool.workflows.records import StepRecord

LATE_OBJECTIVES = 3
"""Completion objectives after which a job is worth nothing to its user."""
FORGET_INTERVAL_MS = 5_000
STARTS_IN_PASS_MAX = 400
"""Bounds the time of one pass; the rest follows in the next one."""

SERVING_COLLECTION_MS = 300
"""Wait of a new serving step for others that come with it; such tasks work
for a minute and more."""
STARVED_WAIT_MS = 1_500
"""Wait after which a step of which nothing runs starts anywhere."""
STARVED_RESERVED_MAX = 0.6
"""Share of the processors in reservation above which steps may wait longer
for a worker on which they press on nothing."""
STARVED_PACE = 10
"""Percent at which a task of such a step starts, until the first list of its
worker shows what it may take."""
IDLE_PASS_INTERVAL_MS = 100
"""Pause after a pass that found no room, unless room becomes free; tails and
paces change within half a second."""

FILL_INTERVAL_MS = 25
"""Pause between passes that place filling tasks, which cost the most; their
jobs are due after seconds."""

Planned = list[tuple[WorkerState, RunState]]


class Planner:
    """Orders ready steps and assigns their tasks.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    fleet : Fleet
        Workers.
    settings : DispatchSettings
        Timing.
    model : TailModel
        Press of filling images on serving ones.
    health : Health
        Knows the workers on which tasks failed.

    Attributes
    ----------
    relief : Relief
        Moves slowed filling tasks.
    """

    def __init__(
        self,
        machine: ControlMachine,
        fleet: Fleet,
        settings: DispatchSettings,
        model: TailModel,
        health: Health,
    ) -> None:
        self._health = health
        self._model = model
        self._filling = Filling(model)
        self.relief = Relief(machine, fleet, self._filling)
        self._machine = machine
        self._fleet = fleet
        self._settings = settings
        self._forget_due_boot_ms = 0
        self._pass_due_boot_ms = 0
        self._fill_due_boot_ms = 0
        self._waiting_since: dict[tuple[str, int, int], int] = {}

    def reset(self) -> None:
        """Forget what earlier passes left."""
        self._forget_due_boot_ms = 0
        self._pass_due_boot_ms = 0
        self._fill_due_boot_ms = 0
        self._waiting_since.clear()

    def look_again(self) -> None:
        """Plan with the next pass: room or a step has become free."""
        self._pass_due_boot_ms = 0

    def assign(self, now: Instant) -> tuple[tuple[Assignment, ...], Planned]:
        """Assign ready tasks and reserve their room.

        Returns
        -------
        assignments : tuple of Assignment
            To be recorded in the log.
        planned : list of (WorkerState, RunState)
            The run of each assignment, not committed yet.
        """
        ready = self._machine.table.ready
        if not ready or now.boot_ms < self._pass_due_boot_ms:
            return (), []
        usable: dict[str, list[WorkerState]] = {}
        for worker in self._fleet.workers.values():
            if self._fleet.takes_starts(worker, now):
                pool = worker.description.pool
                usable.setdefault(pool, []).append(worker)
        self._waiting_since = {
            key: since
            for key, since in self._waiting_since.items()
            if key in ready
        }
        self._filling.begin_pass(filling_demand(ready.values()), now.boot_ms)
        places = {
            pool: Placing(workers, self._filling)
            for pool, workers in usable.items()
        }
        fills = now.boot_ms >= self._fill_due_boot_ms
        if fills:
            self._fill_due_boot_ms = now.boot_ms + FILL_INTERVAL_MS
        planned: Planned = []
        left = False
        no_room: dict[str, int] = {}
        placed: set[str] = set()
        for step, tasks_max in self._rounds(ready.values(), now):
            if len(planned) >= STARTS_IN_PASS_MAX:
                break
            queue = self._machine.queue_of(step.workflow)
            placing = places.get(queue.pool)
            if self._is_collected(step, now):
                left = True
                continue
            if placing is not None and (
                not step.spec.uses_leftover_processors
                or (fills and not self._is_hopeless(step, no_room, now))
            ):
                found = self._place_step(step, placing, tasks_max, placed, now)
                placed.update(run.task_key for _, run in found)
                planned += found
                if step.waiting and step.spec.uses_leftover_processors:
                    no_room[step.spec.image] = step.spec.processors_millicores
            left = left or bool(step.waiting)
        if left and not planned:
            self._pass_due_boot_ms = now.boot_ms + (
                IDLE_PASS_INTERVAL_MS if fills else FILL_INTERVAL_MS
            )
        assignments = tuple(
            Assignment(
                run.task_key,
                run.run,
                worker.worker_id,
                worker.description.life,
            )
            for worker, run in planned
        )
        return assignments, planned

    def due_occurrences(self, now: Instant) -> tuple[tuple[str, int], ...]:
        """Return the occurrences whose due time has come."""
        due = []
        for workflow in self._machine.table.unopened.values():
            due_unix_ms = workflow.next_due_unix_ms
            if due_unix_ms is not None and due_unix_ms <= now.unix_ms:
                due.append((workflow.job_id, len(workflow.occurrences)))
        return tuple(due)

    def forgotten_jobs(self, now: Instant) -> tuple[str, ...]:
        """Return the ended jobs whose state need not be kept."""
        if now.boot_ms < self._forget_due_boot_ms:
            return ()
        self._forget_due_boot_ms = now.boot_ms + FORGET_INTERVAL_MS
        self._forget_estimates()
        before_unix_ms = now.unix_ms - self._settings.finished_job_retention_ms
        return tuple(
            workflow.job_id
            for workflow in self._machine.table.workflows.values()
            if workflow.is_final and workflow.ended_unix_ms < before_unix_ms
        )

    def _forget_estimates(self) -> None:
        """Drop what was learned of runs and workers that are gone."""
        workers = self._fleet.workers
        self._model.forget(
            {
                run.step.key
                for worker in workers.values()
                for run in worker.runs.values()
                if run.step is not None
            }
        )
        self._filling.keep(set(workers))

    def keep_up(self, now: Instant, control: StopRuns) -> None:
        """Move long-running tasks away from workers that drain."""
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

    def _is_collected(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a new serving step waits for others of its image.

        Jobs that come together are placed image by image.
        """
        since_boot_ms = self._waiting_since.setdefault(step.key, now.boot_ms)
        return (
            bool(step.spec.tail_latency_target_ms)
            and now.boot_ms - since_boot_ms < SERVING_COLLECTION_MS
            and not any(task.run for task in step.tasks)
        )

    def _is_hopeless(
        self, step: StepRecord, no_room: dict[str, int], now: Instant
    ) -> bool:
        """Return whether a smaller task of the image found no worker."""
        least = no_room.get(step.spec.image)
        return (
            least is not None
            and step.spec.processors_millicores >= least
            and not self._is_starved(step, now)
        )

    def _is_starved(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a step that nothing runs of has waited for long."""
        since_boot_ms = self._waiting_since.setdefault(step.key, now.boot_ms)
        return (
            len(step.waiting) == step.remaining
            and now.boot_ms - since_boot_ms > STARVED_WAIT_MS
            and self._fleet.reserved_share() < STARVED_RESERVED_MAX
        )

    def _rounds(
        self, steps: Collection[StepRecord], now: Instant
    ) -> Iterator[tuple[StepRecord, int]]:
        """Yield steps in the order of placement, with a bound on their tasks.

        Long-running steps come twice: each gets half of its tasks before any
        gets the rest, since a job is better served in part than not at all.
        """
        entries = [
            (self._urgency(step, now, 0), step, first_tasks(step))
            for step in steps
        ]
        entries += [
            (self._urgency(step, now, 1), step, step.spec.count)
            for step in steps
            if first_tasks(step) < step.spec.count
        ]
        entries.sort(key=lambda entry: entry[0])
        for _, step, tasks_max in entries:
            yield step, tasks_max

    def _urgency(
        self, step: StepRecord, now: Instant, round_: int
    ) -> tuple[int, bool, int, str, int, int, str, int]:
        """Return a sort key: priority, then the time until it is late.

        Serving tasks are placed image by image, which keeps images apart.

        Jobs that are late already follow those that can be in time, and
        those that are too late for both come last.
        """
        workflow = step.workflow
        queue = self._machine.queue_of(workflow)
        objective_ms = queue.latency_objective_ms + int(
            queue.stretch * longest_chain_ms(workflow.spec)
        )
        age_ms = now.unix_ms - workflow.accepted_unix_ms
        lateness = 0
        if not step.spec.long_running:
            lateness = (age_ms > objective_ms) + (
                age_ms > LATE_OBJECTIVES * objective_ms
            )
        return (
            queue.priority,
            # A long-running task can wait for the end of a short one.
            step.spec.long_running,
            round_,
            step.spec.image if step.spec.long_running else "",
            lateness,
            objective_ms - age_ms,
            workflow.job_id,
            step.position,
        )

    def _place_step(
        self,
        step: StepRecord,
        placing: Placing,
        tasks_max: int,
        placed: set[str],
        now: Instant,
    ) -> Planned:
        """Place tasks of a step until `tasks_max` of them have a worker."""
        planned: Planned = []
        waiting = [
            index
            for index in sorted(step.waiting)
            if step.tasks[index].key not in placed
        ]
        room = tasks_max - (step.spec.count - len(waiting))
        if room <= 0:
            return []
        gang_run = max((task.run for task in step.tasks), default=0) + 1
        starved = self._is_starved(step, now)
        workers = placing.workers_for(
            step,
            starved,
            self._health.shunned(step.key),
        )
        for index in waiting[:room]:
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
                run.pace_wanted = STARVED_PACE
            worker.add_run(run)
            planned.append((worker, run))
        if step.spec.gang and len(planned) < step.spec.count:
            for worker, run in planned:
                worker.remove_run(run)
            return []
        return planned


def first_tasks(step: StepRecord) -> int:
    """Return how many tasks of a step are placed in the first round."""
    count = step.spec.count
    if step.spec.long_running and not step.spec.gang:
        return (count + 1) // 2
    return count
