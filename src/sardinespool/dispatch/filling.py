"""Workers for tasks that use what the others leave."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from sardinespool.dispatch.pacing import HARMLESS_PRESS
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord

AHEAD_MS = (300, 1_000, 1_700, 2_400)
"""Times at which a task's pace is estimated: the tasks of the users' sheets
work for about two and a half seconds."""
ROOMS_LIFETIME_MS = 250
"""Age up to which estimates of tails are used again, half as long as tails
are measured."""
START_SPEED_MIN = 0.4
"""Expected share of its full speed from which a task starts; a slower run
had better wait for a place elsewhere."""
STARVED_SPEED = 0.1
"""Share of its processors that a task must find that has waited for long."""
TRIAL_MS = 1_200
"""Time in which one start of an untried pair must show its press: two
reports of the tail."""
HOSTILE_BONUS = 0.3
"""Speed that a task gives up for a worker that no other waiting task can use
without pressing on what serves there."""
PRESS_PENALTY = 0.5
"""Speed that a unit of headroom counts as which a task takes."""

Rooms = Sequence[tuple[str, Sequence[float]]]
"""Headroom of each serving image at the times of `AHEAD_MS`."""


class Filling:
    """Expected speed of filling tasks on workers.

    Parameters
    ----------
    model : TailModel
        Press by pair of images, and load curves.
    """

    def __init__(self, model: TailModel) -> None:
        self._model = model
        self._alone: dict[str, tuple[int, int, Rooms]] = {}
        self._demand: Mapping[str, float] = {}
        self._trials: dict[tuple[str, str], int] = {}
        self._trial_workers: dict[str, int] = {}
        self._hostility: dict[str, float] = {}
        self._now_boot_ms = 0

    def begin_pass(
        self, demand: Mapping[str, float], now_boot_ms: int
    ) -> None:
        """Take the share of the waiting filling tasks by image."""
        self._demand = demand
        self._hostility.clear()
        self._now_boot_ms = now_boot_ms

    def keep(self, worker_ids: set[str]) -> None:
        """Forget the estimates of other workers."""
        for worker_id in self._alone.keys() - worker_ids:
            del self._alone[worker_id]
        for worker_id in self._trial_workers.keys() - worker_ids:
            del self._trial_workers[worker_id]

    def suit(
        self, spec: StepSpec, worker: WorkerState, starved: bool
    ) -> float | None:
        """Return the score of a worker for a task; None if it must wait.

        Parameters
        ----------
        starved : bool
            The task has waited for long and starts wherever it finds
            processors; it may be slowed there.
        """
        whole = max(1, worker.description.processors_millicores)
        size = max(1, spec.processors_millicores)
        found = min(1.0, worker.leftover_millicores / size)
        if found < (STARVED_SPEED if starved else START_SPEED_MIN):
            return None
        share = size / whole
        speeds = [1.0] * len(AHEAD_MS)
        hostility = 0.0
        worst = 0.0
        use = worker.declared_use()
        for image, rooms in self._rooms_of(worker):
            if not starved and self._is_on_trial(
                image, spec.image, worker.worker_id
            ):
                return None
            cost = self._model.press(image, spec.image) * share
            if cost > HARMLESS_PRESS:
                worst = max(worst, cost)
                taken = self._model.added(image, use)
                # A run works at full pace until the first change arrives,
                # and a tail shows the worst part of its half second.
                if rooms[0] - taken < cost and not starved:
                    return None
                for index, room in enumerate(rooms):
                    left = max(0.0, room - taken) / cost
                    speeds[index] = min(speeds[index], left)
            hostility = max(hostility, self._hostility_of(image))
        speed = found * sum(speeds) / len(speeds)
        if speed < START_SPEED_MIN and not starved:
            return None
        return speed + HOSTILE_BONUS * hostility - PRESS_PENALTY * worst

    def dissimilarity(self, first: str, second: str) -> float:
        """Return the share of filling images that press on one of two only.

        Half is expected of serving images of which nothing is known.
        """
        return self._model.dissimilarity(first, second)

    def chosen(self, spec: StepSpec, worker: WorkerState) -> None:
        """Note a start, which tries the pairs of which nothing is known."""
        for image in worker.serving_images:
            if self._model.is_untried(image, spec.image):
                self._trials[image, spec.image] = self._now_boot_ms
                self._trial_workers[worker.worker_id] = self._now_boot_ms

    def _is_on_trial(self, serving: str, filling: str, worker_id: str) -> bool:
        """Return whether an untried pair must wait for another trial.

        One start shows the press of a pair, and two on one worker can't be
        told apart.
        """
        if not self._model.is_untried(serving, filling):
            return False
        since_boot_ms = self._now_boot_ms - TRIAL_MS
        return (
            self._trials.get((serving, filling), 0) > since_boot_ms
            or self._trial_workers.get(worker_id, 0) > since_boot_ms
        )

    def _rooms_of(self, worker: WorkerState) -> Rooms:
        """Return the room of each serving image with nothing beside it."""
        known = self._alone.get(worker.worker_id)
        count = len(worker.runs)
        if (
            known is not None
            and known[1] == count
            and self._now_boot_ms - known[0] < ROOMS_LIFETIME_MS
        ):
            return known[2]
        least = 1.0 + self._model.margin
        rooms: dict[str, list[float]] = {}
        for run in worker.runs.values():
            step = run.step
            if step is None or not step.spec.tail_latency_target_ms:
                continue
            image = step.spec.image
            mine = [
                self._model.headroom(
                    step.key, image, run.tail, self._now_boot_ms + ahead_ms
                )
                - least
                for ahead_ms in AHEAD_MS
            ]
            others = rooms.get(image)
            rooms[image] = (
                mine
                if others is None
                else [min(pair) for pair in zip(mine, others, strict=True)]
            )
        found = list(rooms.items())
        self._alone[worker.worker_id] = (self._now_boot_ms, count, found)
        return found

    def _hostility_of(self, serving: str) -> float:
        """Return the share of the waiting tasks that press on an image."""
        hostility = self._hostility.get(serving)
        if hostility is None:
            hostility = sum(
                share
                for image, share in self._demand.items()
                if self._model.presses(serving, image)
            )
            self._hostility[serving] = hostility
        return hostility


def filling_demand(steps: Iterable[StepRecord]) -> dict[str, float]:
    """Return the share of the waiting filling tasks by image."""
    waiting: dict[str, float] = {}
    for step in steps:
        if step.spec.uses_leftover_processors:
            image = step.spec.image
            waiting[image] = waiting.get(image, 0.0) + len(step.waiting)
    total = sum(waiting.values())
    return {image: count / total for image, count in waiting.items()}
