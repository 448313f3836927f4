"""Which ready tasks start now, and where."""

from collections.abc import Iterable

from sardinespool.clock import Instant
from sardinespool.dispatch.filling import Filling
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import Health
from sardinespool.dispatch.health import StopRuns
from sardinespool.dispatch.placing import Placing
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
SLOWED_PACE = 30
"""Percent below which a filling run had better go elsewhere."""
SLOWED_MS = 1_200
"""Two changes of pace; a shorter swing is waited out."""
MOVE_PERCENT_MAX = 90
RESTART_PERCENT_MAX = 30
"""Progress above which a run without checkpoints stays where it is."""

MOVE_SCORE_MIN = 0.7
"""Score of another worker from which a slowed run moves there."""
MOVES_IN_PASS_MAX = 2
"""The places found are not reserved, so that few runs may count on them."""
RELIEVE_INTERVAL_MS = 200

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
        self._machine = machine
        self._fleet = fleet
        self._settings = settings
        self._forget_due_boot_ms = 0
        self._pass_due_boot_ms = 0
        self._fill_due_boot_ms = 0
        self._relieve_due_boot_ms = 0
        self._waiting_since: dict[tuple[str, int, int], int] = {}

    def reset(self) -> None:
        """Forget what earlier passes left."""
        self._forget_due_boot_ms = 0
        self._pass_due_boot_ms = 0
        self._fill_due_boot_ms = 0
        self._relieve_due_boot_ms = 0
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
        for step in sorted(
            ready.values(), key=lambda step: self._urgency(step, now)
        ):
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
                planned += self._place_step(step, placing, now)
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

    def relieve(self, now: Instant, control: StopRuns) -> None:
        """Take filling tasks away that have been slowed for long.

        Only where another worker promises more: a peak of load passes, and
        a move costs about a second.
        """
        if now.boot_ms < self._relieve_due_boot_ms:
            return
        self._relieve_due_boot_ms = now.boot_ms + RELIEVE_INTERVAL_MS
        self._filling.begin_pass(
            filling_demand(self._machine.table.ready.values()), now.boot_ms
        )
        moves = 0
        for worker in self._fleet.workers.values():
            if not worker.serving_images:
                continue
            for run in list(worker.runs.values()):
                if (
                    moves < MOVES_IN_PASS_MAX
                    and self._is_slowed(run, now)
                    and self._is_better_elsewhere(run, worker, now)
                ):
                    moves += 1
                    control.stop_run(worker, run, "slowed for long")

    def _is_slowed(self, run: RunState, now: Instant) -> bool:
        """Return whether a filling run has been slowed for long."""
        step = run.step
        if (
            step is None
            or run.phase is not RunPhase.RUNNING
            or run.stop_wanted
            or not step.spec.uses_leftover_processors
        ):
            return False
        if run.pace_wanted > SLOWED_PACE:
            run.slowed_boot_ms = None
            return False
        if run.slowed_boot_ms is None:
            run.slowed_boot_ms = now.boot_ms
        percent_max = (
            MOVE_PERCENT_MAX
            if step.spec.checkpointing
            else RESTART_PERCENT_MAX
        )
        return (
            now.boot_ms - run.slowed_boot_ms > SLOWED_MS
            and run.percent < percent_max
        )

    def _is_better_elsewhere(
        self, run: RunState, worker: WorkerState, now: Instant
    ) -> bool:
        """Return whether another worker would let a run work fast."""
        step = run.step
        if step is None:
            return False
        placing = Placing((), self._filling)
        for other in self._fleet.workers.values():
            if (
                other is worker
                or other.description.pool != worker.description.pool
                or not self._fleet.takes_starts(other, now)
            ):
                continue
            score = placing.suit(step, other, False, set())
            if score is not None and score >= MOVE_SCORE_MIN:
                return True
        return False

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

    def _urgency(
        self, step: StepRecord, now: Instant
    ) -> tuple[int, bool, str, int, int, str, int]:
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
            step.spec.image if step.spec.long_running else "",
            lateness,
            objective_ms - age_ms,
            workflow.job_id,
            step.position,
        )

    def _place_step(
        self, step: StepRecord, placing: Placing, now: Instant
    ) -> Planned:
        planned: Planned = []
        gang_run = max((task.run for task in step.tasks), default=0) + 1
        workers = placing.workers_for(
            step,
            self._is_starved(step, now),
            self._health.shunned(step.key),
        )
        for index in sorted(step.waiting):
            worker = next(workers, None)
            if worker is None:
                break
            task = step.tasks[index]
            number = gang_run if step.spec.gang else task.run + 1
            run = RunState(
                task.key, number, task, RunPhase.ORDERED, now.boot_ms
            )
            run.committed = False
            worker.add_run(run)
            planned.append((worker, run))
        if step.spec.gang and len(planned) < step.spec.count:
            for worker, run in planned:
                worker.remove_run(run)
            return []
        return planned


def filling_demand(steps: Iterable[StepRecord]) -> dict[str, float]:
    """Return the share of the waiting filling tasks by image."""
    waiting: dict[str, float] = {}
    for step in steps:
        if step.spec.uses_leftover_processors:
            image = step.spec.image
            waiting[image] = waiting.get(image, 0.0) + len(step.waiting)
    total = sum(waiting.values())
    return {image: count / total for image, count in waiting.items()}
