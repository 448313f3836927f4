"""Pace of filling tasks beside serving ones."""

from sardinespool.clock import Instant
from sardinespool.dispatch.placing import HARMLESS_PRESS
from sardinespool.dispatch.run_state import FULL_PACE
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState

SLOW_MARGIN = 0.04
"""Distance of a level from its limit at which what fills is slowed."""
AIM_MARGIN = 0.1
"""Distance from the limit that a slower pace aims at; a load rises by 0.1
in the second until the next change takes effect."""
CHANGE_INTERVAL_MS = 600
"""The tail lags half a second behind, and a new pace takes 100 ms."""
REPORT_INTERVAL_MS = 400
"""Tails are measured each half second; nearer reports repeat one."""
PACE_STEP = 40
"""Largest raise, in percent points."""
PACE_MIN = 8
"""Percent below which a run is halted; it would not get on."""
PACE_CHANGE_MIN = 8
"""Smaller changes are not worth a call."""

Pressed = list[tuple[str, float, float]]
"""Image, distance from the limit and margin of each serving run."""


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
        worker.measure_filling()
        pressed: Pressed = []
        filling: list[RunState] = []
        for run in worker.runs.values():
            step = run.step
            if step is None or run.phase is not RunPhase.RUNNING:
                continue
            target_ms = step.spec.tail_latency_target_ms
            if target_ms and run.load:
                image = step.spec.image
                self._learn(worker, run, image, run.load, now)
                limit = self._model.level(image, target_ms)
                level = self._model.level(image, run.load)
                load = run.serving_load or 0.0
                pressed.append(
                    (image, limit - level, self._model.margin(image, load))
                )
            elif step.spec.uses_leftover_processors and not run.stop_wanted:
                filling.append(run)
        elapsed_ms = now.boot_ms - worker.pace_changed_boot_ms
        if not filling or elapsed_ms < CHANGE_INTERVAL_MS:
            return
        changed = False
        if pressed and min(left for _, left, _ in pressed) < SLOW_MARGIN:
            for image, left, _ in pressed:
                if left < SLOW_MARGIN:
                    changed |= self._slow(worker, filling, image, left)
        else:
            changed = self._fasten(worker, filling, pressed)
        if changed:
            worker.pace_changed_boot_ms = now.boot_ms

    def _learn(
        self,
        worker: WorkerState,
        run: RunState,
        image: str,
        tail_ms: int,
        now: Instant,
    ) -> None:
        if now.boot_ms - run.sampled_boot_ms < REPORT_INTERVAL_MS:
            return
        run.sampled_boot_ms = now.boot_ms
        run.serving_load = self._model.observe(
            image, tail_ms, run.serving_load, worker.filling_use, now.boot_ms
        )

    def _part(
        self, worker: WorkerState, run: RunState, image: str, use: float
    ) -> float:
        """Return what a run adds to the level of a serving image."""
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
        left: float,
    ) -> bool:
        parts = {
            run.key: self._part(worker, run, image, run.used_millicores)
            for run in filling
        }
        total = sum(parts.values())
        excess = AIM_MARGIN - left
        # If the known press can't explain the level, all are slowed.
        explained = total >= excess
        factor = 1.0 - excess / total if explained else 0.0
        changed = False
        for run in filling:
            if parts[run.key] > HARMLESS_PRESS or not explained:
                pace = int(run.pace_wanted * factor)
                changed |= _set_pace(
                    worker, run, pace if pace >= PACE_MIN else 0
                )
        return changed

    def _fasten(
        self,
        worker: WorkerState,
        filling: list[RunState],
        pressed: Pressed,
    ) -> bool:
        changed = False
        room: dict[str, float] = {}
        for image, left, margin in pressed:
            room[image] = min(room.get(image, left), left - margin)
        for run in filling:
            if run.pace_wanted >= FULL_PACE or run.step is None:
                continue
            full = run.step.spec.processors_millicores
            raised = min(PACE_STEP, FULL_PACE - run.pace_wanted)
            costs = {
                image: self._part(worker, run, image, full) / FULL_PACE
                for image in room
            }
            for image, cost in costs.items():
                if cost * raised > max(0.0, room[image]):
                    raised = int(max(0.0, room[image]) / cost)
            if raised < min(PACE_CHANGE_MIN, FULL_PACE - run.pace_wanted):
                continue
            for image, cost in costs.items():
                room[image] -= cost * raised
            changed |= _set_pace(worker, run, run.pace_wanted + raised)
        return changed


def _set_pace(worker: WorkerState, run: RunState, pace: int) -> bool:
    if run.pace_wanted == pace:
        return False
    run.pace_wanted = pace
    if run.needs_order:
        worker.pending[run.key] = run
    return True
