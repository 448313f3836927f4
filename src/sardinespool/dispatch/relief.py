"""Moves of filling tasks that have been slowed for long."""

from sardinespool.clock import Instant
from sardinespool.dispatch.filling import Filling
from sardinespool.dispatch.filling import filling_demand
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.health import StopRuns
from sardinespool.dispatch.placing import Placing
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine

SLOWED_PACE = 30
"""Percent below which a filling run had better go elsewhere."""
SLOWED_MS = 1_200
"""Two changes of pace; a shorter swing is waited out."""
MOVE_PERCENT_MAX = 90
RESTART_PERCENT_MAX = 30
"""Progress above which a run without checkpoints stays where it is."""

MOVE_SCORE_MIN = 0.4
"""Score of another worker from which a slowed run moves there."""
MOVES_IN_PASS_MAX = 2
"""The places found are not reserved, so that few runs may count on them."""
RELIEVE_INTERVAL_MS = 200


class Relief:
    """Stops slowed filling tasks that another worker would let work.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    fleet : Fleet
        Workers.
    filling : Filling
        Expected speed of filling tasks.
    """

    def __init__(
        self, machine: ControlMachine, fleet: Fleet, filling: Filling
    ) -> None:
        self._machine = machine
        self._fleet = fleet
        self._filling = filling
        self._relieve_due_boot_ms = 0

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
