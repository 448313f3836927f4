"""Pace of filling tasks beside serving ones."""

import math

from sardinespool.clock import Instant
from sardinespool.dispatch.placing import HARMLESS_PRESS
from sardinespool.dispatch.run_state import FULL_PACE
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState

SLOW_ABOVE = math.log(0.9)
"""Tail over target, as a logarithm, that slows what fills."""
AIM = math.log(0.75)
"""Tail over target that a new pace aims at; the load swings by half."""
FASTEN_BELOW = math.log(0.65)
"""Tail over target below which what fills may work faster."""
CHANGE_INTERVAL_MS = 600
"""The tail lags half a second behind, and a new pace takes 100 ms."""
RAISE_MAX = 2.0
"""Largest factor of one raise."""
PACE_START = 15
"""Percent at which a halted run goes on."""
PACE_MIN = 6
"""Percent below which a run is halted; it would not get on."""
PACE_CHANGE_MIN = 5
"""Smaller changes are not worth a call."""


class Pacing:
    """Learns from reports and adapts the pace on one worker at a time.

    Parameters
    ----------
    model : TailModel
        Press by pair of images.
    """

    def __init__(self, model: TailModel) -> None:
        self._model = model

    def adapt(self, worker: WorkerState, now: Instant) -> None:
        """Take a worker's list and set the wanted pace of what fills.

        Parameters
        ----------
        worker : WorkerState
            A worker whose runs were just listed.
        now : Instant
            Time of the list.
        """
        serving: dict[str, float] = {}
        filling: list[RunState] = []
        for run in worker.runs.values():
            step = run.step
            if step is None or run.phase is not RunPhase.RUNNING:
                continue
            target_ms = step.spec.tail_latency_target_ms
            if target_ms and run.load:
                level = math.log(run.load / target_ms)
                image = step.spec.image
                serving[image] = max(serving.get(image, -9.0), level)
            elif step.spec.uses_leftover_processors and not run.stop_wanted:
                filling.append(run)
        worker.measure_filling()
        if not serving:
            self._set_all(worker, filling, FULL_PACE)
            return
        use = worker.filling_use
        for image, level in serving.items():
            self._model.observe(image, level, use, now.boot_ms)
        elapsed_ms = now.boot_ms - worker.pace_changed_boot_ms
        if not filling or elapsed_ms < CHANGE_INTERVAL_MS:
            return
        worst = max(serving.values())
        changed = False
        if worst > SLOW_ABOVE:
            for image, level in serving.items():
                if level > SLOW_ABOVE:
                    changed |= self._slow(worker, filling, image, level)
        else:
            changed = self._fasten(worker, filling, serving)
        if changed:
            worker.pace_changed_boot_ms = now.boot_ms

    def _share(
        self, worker: WorkerState, run: RunState, image: str, use: float
    ) -> float:
        """Return what a run adds to the tail of a serving image."""
        step = run.step
        if step is None:
            return 0.0
        whole = max(1, worker.description.processors_millicores)
        return self._model.press(image, step.spec.image) * use / whole

    def _slow(
        self,
        worker: WorkerState,
        filling: list[RunState],
        image: str,
        level: float,
    ) -> bool:
        parts = {
            run.key: self._share(worker, run, image, run.used_millicores)
            for run in filling
        }
        total = sum(parts.values())
        excess = level - AIM
        factor = max(0.0, 1.0 - excess / total) if total > 0.0 else 0.0
        changed = False
        for run in filling:
            # If the known press can't explain the tail, all are slowed.
            if parts[run.key] > HARMLESS_PRESS or total < excess / 2:
                scale = factor if total >= excess / 2 else min(factor, 0.5)
                pace = int(run.pace_wanted * scale)
                changed |= _set_pace(
                    worker, run, pace if pace >= PACE_MIN else 0
                )
        return changed

    def _fasten(
        self,
        worker: WorkerState,
        filling: list[RunState],
        serving: dict[str, float],
    ) -> bool:
        changed = False
        room = {image: AIM - level for image, level in serving.items()}
        for run in filling:
            if run.pace_wanted >= FULL_PACE or run.step is None:
                continue
            full = run.step.spec.processors_millicores
            wanted = FULL_PACE - run.pace_wanted
            for image, left in room.items():
                cost = self._share(worker, run, image, full) / FULL_PACE
                if cost * wanted > max(0.0, left):
                    wanted = int(max(0.0, left) / cost)
            limit = max(PACE_START, int(run.pace_wanted * (RAISE_MAX - 1.0)))
            if max(serving.values()) > FASTEN_BELOW:
                limit = 0
            pace = run.pace_wanted + min(wanted, limit)
            if pace - run.pace_wanted < PACE_CHANGE_MIN:
                continue
            for image in room:
                cost = self._share(worker, run, image, full) / FULL_PACE
                room[image] -= cost * (pace - run.pace_wanted)
            changed |= _set_pace(worker, run, min(FULL_PACE, pace))
        return changed

    def _set_all(
        self, worker: WorkerState, filling: list[RunState], pace: int
    ) -> None:
        for run in filling:
            _set_pace(worker, run, pace)


def _set_pace(worker: WorkerState, run: RunState, pace: int) -> bool:
    if run.pace_wanted == pace:
        return False
    run.pace_wanted = pace
    if run.needs_order:
        worker.pending[run.key] = run
    return True
