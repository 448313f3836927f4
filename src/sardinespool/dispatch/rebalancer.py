"""Rebalancing of best-effort tasks that have been throttled for long."""

import itertools

from sardinespool.clock import Instant
from sardinespool.dispatch.best_effort import best_effort_demand
from sardinespool.dispatch.best_effort import BestEffortScorer
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import RunStopper
from sardinespool.dispatch.placer import Placer
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine

THROTTLED_PACE_MAX = 30
"""Pace in percent up to which a best-effort run counts as throttled."""
THROTTLED_MS = 1_200
"""Time at a low pace before a move; covers two pace changes."""
MOVE_PERCENT_MAX = 90
RESTART_PERCENT_MAX = 30
"""Progress in percent from which a run stays where it is; the lower limit
applies to runs without checkpoints."""

MOVE_SCORE_MIN = 0.4
"""Least score of another worker that justifies a move."""
MOVES_PER_PASS_MAX = 2
"""Limit of moves per pass; resources found for a move are not reserved, so
several moves may rely on the same ones."""
REBALANCE_INTERVAL_MS = 200
READY_STEPS_MAX = 2_000
"""Ready steps that tell which images wait; each costs 0.5 us."""


class Rebalancer:
    """Stops throttled best-effort tasks that would run faster elsewhere.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    fleet : Fleet
        Known workers.
    best_effort : BestEffortScorer
        Scores workers for best-effort tasks.
    """

    def __init__(
        self,
        machine: ControlMachine,
        fleet: Fleet,
        best_effort: BestEffortScorer,
    ) -> None:
        self._machine = machine
        self._fleet = fleet
        self._best_effort = best_effort
        self._due_boot_ms = 0

    def rebalance(self, now: Instant, control: RunStopper) -> None:
        """Stop best-effort tasks that have been throttled for long.

        A task is stopped only if another worker would run it faster, as load
        peaks pass and a move costs about a second.
        """
        if now.boot_ms < self._due_boot_ms:
            return
        self._due_boot_ms = now.boot_ms + REBALANCE_INTERVAL_MS
        self._best_effort.begin_pass(
            best_effort_demand(
                itertools.islice(
                    self._machine.table.ready.values(), READY_STEPS_MAX
                )
            ),
            now.boot_ms,
        )
        moves = 0
        for worker in self._fleet.workers.values():
            if not worker.serving_images:
                continue
            for run in list(worker.runs.values()):
                if (
                    moves < MOVES_PER_PASS_MAX
                    and self._is_throttled(run, now)
                    and self._is_better_elsewhere(run, worker, now)
                ):
                    moves += 1
                    control.stop_run(worker, run, "throttled for long")

    def _is_throttled(self, run: RunState, now: Instant) -> bool:
        """Return whether a best-effort run has been throttled for long."""
        step = run.step
        if (
            step is None
            or run.phase is not RunPhase.RUNNING
            or run.stop_requested
            or not step.spec.uses_leftover_processors
        ):
            return False
        if run.target_pace > THROTTLED_PACE_MAX:
            run.throttled_since_boot_ms = None
            return False
        if run.throttled_since_boot_ms is None:
            run.throttled_since_boot_ms = now.boot_ms
        percent_max = (
            MOVE_PERCENT_MAX
            if step.spec.checkpointing
            else RESTART_PERCENT_MAX
        )
        return (
            now.boot_ms - run.throttled_since_boot_ms > THROTTLED_MS
            and run.percent < percent_max
        )

    def _is_better_elsewhere(
        self, run: RunState, worker: WorkerState, now: Instant
    ) -> bool:
        """Return whether another worker would run a task faster."""
        step = run.step
        if step is None:
            return False
        placer = Placer((), self._best_effort)
        for other in self._fleet.workers.values():
            if (
                other is worker
                or other.description.pool != worker.description.pool
                or not self._fleet.accepts_starts(other, now)
            ):
                continue
            score = placer.score_worker(step, other, False, set())
            if score is not None and score >= MOVE_SCORE_MIN:
                return True
        return False
