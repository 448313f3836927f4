"""Pace of filling tasks beside serving ones."""

from sardinespool.clock import Instant
from sardinespool.dispatch.run_state import FULL_PACE
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.tail_model import headroom_of
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.observability.logs import get_logger

HORIZONS_MS = (200, 650, 1_100)
"""Times at which a pace must leave the tails below their targets: it takes
effect after 100 ms, and the next one a second later at the latest."""
CHANGE_INTERVAL_MS = 400
"""Tails are measured each half second."""
REPORT_INTERVAL_MS = 400
"""Nearer reports repeat one measurement."""
NEAR_HEADROOM = 1.3
"""Headroom below which the measured tail rules, whatever is expected."""
PACE_MIN = 8
"""Percent below which a run is halted; it would not get on."""
PACE_CHANGE_MIN = 8
"""Smaller raises are not worth a call."""
MEASURED_PACE_MIN = 30
"""Percent from which a run's measured use tells that of its full pace."""
MEASURED_AGE_MS = 1_000
"""Age of a run from which its measured use covers a whole half second."""
USE_SHARE_MIN = 0.25
"""Least share of the declared processors that a run is taken to find."""
USE_RESERVE = 1.15
"""Processors that a run may find beyond its last half second."""

HARMLESS_PRESS = 0.03
"""Part of the headroom that a task at full pace may take unheeded: within
what a tail in whole milliseconds shows."""

_LOG = get_logger("dispatch")

Rooms = dict[str, float]
"""Headroom that may be taken by what fills, by serving image."""


class Pacing:
    """Learns from reports and adapts the pace on one worker at a time.

    Parameters
    ----------
    model : TailModel
        Press by pair of images, and load curves.
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
        rooms: Rooms = {}
        filling: list[RunState] = []
        for run in worker.runs.values():
            step = run.step
            if step is None or run.phase is not RunPhase.RUNNING:
                continue
            target_ms = step.spec.tail_latency_target_ms
            if target_ms and run.load:
                self._learn(worker, run, target_ms, run.load, now)
                room = self._room(worker, run, target_ms, run.load, now)
                image = step.spec.image
                rooms[image] = min(rooms.get(image, room), room)
            elif step.spec.uses_leftover_processors and not run.stop_wanted:
                filling.append(run)
        elapsed_ms = now.boot_ms - worker.pace_changed_boot_ms
        if not filling or elapsed_ms < CHANGE_INTERVAL_MS:
            return
        # What hardly presses here is served first, since most of it fits; of
        # the others, the run that was placed first was the most urgent one.
        filling.sort(
            key=lambda run: (
                self._presses_here(run, rooms),
                run.ordered_boot_ms,
            )
        )
        changed = False
        for run in filling:
            changed |= self._grant(worker, run, rooms, now)
        if changed:
            worker.pace_changed_boot_ms = now.boot_ms

    def _learn(
        self,
        worker: WorkerState,
        run: RunState,
        target_ms: int,
        tail_ms: int,
        now: Instant,
    ) -> None:
        step = run.step
        if step is None or (
            now.boot_ms - run.tail.sampled_ms < REPORT_INTERVAL_MS
        ):
            return
        self._model.observe(
            step.key,
            step.spec.image,
            run.tail,
            headroom_of(target_ms, tail_ms),
            target_ms,
            worker.filling_use,
            now.boot_ms,
        )

    def _room(
        self,
        worker: WorkerState,
        run: RunState,
        target_ms: int,
        tail_ms: int,
        now: Instant,
    ) -> float:
        """Return the headroom of a serving run that fills may take."""
        step = run.step
        if step is None:
            return 0.0
        image = step.spec.image
        key = step.key
        least = 1.0 + self._model.margin
        expected = [
            self._model.headroom(key, image, run.tail, now.boot_ms + ahead_ms)
            for ahead_ms in HORIZONS_MS
        ]
        room = min(expected) - least
        measured = headroom_of(target_ms, tail_ms)
        if measured < NEAR_HEADROOM:
            taken = self._model.added(image, worker.filling_use)
            room = min(room, taken + measured - least)
        return room

    def _presses_here(self, run: RunState, rooms: Rooms) -> bool:
        step = run.step
        return step is not None and any(
            self._model.presses(image, step.spec.image) for image in rooms
        )

    def _grant(
        self, worker: WorkerState, run: RunState, rooms: Rooms, now: Instant
    ) -> bool:
        """Set the pace that the rooms allow and take its part of them."""
        step = run.step
        if step is None:
            return False
        whole = max(1, worker.description.processors_millicores)
        share = _full_use(run, now) / whole
        costs: dict[str, float] = {}
        pace = FULL_PACE
        binding = ""
        for image, room in rooms.items():
            cost = self._model.press(image, step.spec.image) * share
            costs[image] = cost
            if cost > HARMLESS_PRESS:
                allowed = int(FULL_PACE * max(0.0, room) / cost)
                if allowed < pace:
                    pace, binding = allowed, image
        if pace < PACE_MIN:
            pace = 0
        raised = pace - run.pace_wanted
        if 0 < raised < PACE_CHANGE_MIN and pace < FULL_PACE:
            pace = run.pace_wanted
        if pace != run.pace_wanted:
            _LOG.info(
                "pace",
                task=run.task_key,
                run=run.run,
                worker=worker.worker_id,
                percent=pace,
                earlier_percent=run.pace_wanted,
                image=step.spec.image,
                beside=binding,
                room=round(rooms.get(binding, 0.0), 2),
                cost=round(costs.get(binding, 0.0), 2),
                margin=round(self._model.margin, 2),
            )
        for image, cost in costs.items():
            rooms[image] -= cost * pace / FULL_PACE
        return _set_pace(worker, run, pace)


def _full_use(run: RunState, now: Instant) -> float:
    """Return the processors that a run would use at full pace."""
    step = run.step
    if step is None:
        return 0.0
    declared = step.spec.processors_millicores
    if (
        run.load is None
        or now.boot_ms - run.ordered_boot_ms < MEASURED_AGE_MS
        or run.pace < MEASURED_PACE_MIN
        or run.pace != run.pace_wanted
    ):
        return declared
    # What else fills may leave it less than it could use.
    use = run.load * FULL_PACE / run.pace * USE_RESERVE
    return min(declared, max(declared * USE_SHARE_MIN, use))


def _set_pace(worker: WorkerState, run: RunState, pace: int) -> bool:
    if run.pace_wanted == pace:
        return False
    run.pace_wanted = pace
    if run.needs_order:
        worker.pending[run.key] = run
    return True
