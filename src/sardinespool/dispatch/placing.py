"""Choice of workers for ready tasks, during one planning pass."""

import heapq
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from sardinespool.dispatch.run_state import FULL_PACE
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord

FILL_SHARE_MIN = 0.5
"""Share of its processors that a filling task must be expected to find.

Below half its speed a run takes longer than a run that waits for the end of
another one.
"""
STARVED_PACE = 10
"""Percent at which a task that waited for long starts where it presses."""
LEVEL_PENALTY = 1.0
"""Share of a worker that a unit of added level costs."""
SAME_JOB_BONUS = 0.6
OTHER_JOB_PENALTY = 0.15
"""The tasks of one job have their peaks of load at the same time, those of
different jobs leave the room of the least for what fills beside them."""
SAME_IMAGE_BONUS = 0.5
OTHER_IMAGE_PENALTY = 0.8
"""Serving images are kept apart, so that each filling image finds workers
whose serving images it does not press on."""
HOSTILE_BONUS = 0.5
"""Share of a worker by which a filling task prefers, for each unit of press
that other waiting tasks would have there, workers that these can't use."""
LAST_PLACES_MIN = 2
"""Places that must be left for a long-running task to take one.

The last place is kept for short tasks of equal priority, which a
long-running task would keep out for minutes.
"""
HARMLESS_PRESS = 0.01
"""What a task may add to a level unheeded."""
SHUNNED_PENALTY = 10.0
"""Above all other terms: where a task failed is the last choice."""
REMOTE_PENALTY = 1.0
"""Share of a worker by which tasks avoid racks without their data."""

Rooms = list[tuple[str, float]]


class Placing:
    """Scores workers for steps; lives for one pass.

    Parameters
    ----------
    workers : iterable of WorkerState
        Workers of one pool that take starts.
    model : TailModel
        Press of filling images on serving ones.
    demand : mapping of str to float
        Share of the waiting filling tasks by image.
    """

    def __init__(
        self,
        workers: Iterable[WorkerState],
        model: TailModel,
        demand: Mapping[str, float],
    ) -> None:
        self._demand = demand
        self._workers = list(workers)
        self._model = model
        self._press: dict[tuple[str, str], float] = {}
        self._hostility: dict[str, float] = {}
        self._rooms: dict[str, Rooms] = {}

    def workers_for(
        self, step: StepRecord, starved: bool, shunned: set[str]
    ) -> Iterator[tuple[WorkerState, int]]:
        """Yield a worker and a pace for one task of a step after the other.

        The caller reserves the room of the task on the yielded worker
        before it asks for the next one.

        Parameters
        ----------
        step : StepRecord
            A ready step.
        starved : bool
            Its filling tasks may start at the least pace anywhere.
        shunned : set of str
            Workers on which tasks of the step failed; the last choice.
        """
        spec = step.spec
        heap: list[tuple[float, int, WorkerState, int]] = []
        for position, worker in enumerate(self._workers):
            suit = self._suit(step, worker, starved, shunned)
            if suit is not None:
                heap.append((-suit[0], position, worker, suit[1]))
        heapq.heapify(heap)
        while heap:
            if spec.long_running and self._places(spec, heap) < (
                LAST_PLACES_MIN
            ):
                return
            _, position, worker, pace = heapq.heappop(heap)
            yield worker, pace
            if spec.uses_leftover_processors or spec.tail_latency_target_ms:
                self._rooms.pop(worker.worker_id, None)
            suit = self._suit(step, worker, starved, shunned)
            if suit is not None:
                heapq.heappush(heap, (-suit[0], position, worker, suit[1]))

    def _places(
        self,
        spec: StepSpec,
        heap: list[tuple[float, int, WorkerState, int]],
    ) -> int:
        """Return how many tasks of a long-running step still fit."""
        size = max(1, spec.processors_millicores)
        places = 0
        for _, _, worker, _ in heap:
            places += worker.free_millicores // size
            if places >= LAST_PLACES_MIN:
                break
        return places

    def _suit(
        self,
        step: StepRecord,
        worker: WorkerState,
        starved: bool,
        shunned: set[str],
    ) -> tuple[float, int] | None:
        """Return score and pace of the next task on a worker, None if not."""
        spec = step.spec
        if not worker.fits(spec) or (
            worker.on_trial and has_short_run(worker)
        ):
            return None
        labels = worker.description.labels
        if spec.required_label and spec.required_label not in labels:
            return None
        limit = spec.tasks_per_worker_max
        if limit and tasks_of_step(worker, step) >= limit:
            return None
        whole = max(1, worker.description.processors_millicores)
        pace = FULL_PACE
        score: float | None
        if spec.uses_leftover_processors:
            pace, score = self._fill(spec, worker, whole, starved)
        elif spec.tail_latency_target_ms:
            score = _serving_score(step, worker, whole)
        else:
            score = worker.free_millicores / whole
        if score is None:
            return None
        if spec.data_rack and spec.data_rack not in labels:
            score -= REMOTE_PENALTY
        if worker.worker_id in shunned:
            score -= SHUNNED_PENALTY
        return score, pace

    def _fill(
        self, spec: StepSpec, worker: WorkerState, whole: int, starved: bool
    ) -> tuple[int, float | None]:
        """Return pace and score of a filling task; None if it must wait."""
        free = worker.leftover_millicores
        if free < FILL_SHARE_MIN * spec.processors_millicores and not starved:
            return 0, None
        share = spec.processors_millicores / whole
        pace = FULL_PACE
        hostility = 0.0
        worst = 0.0
        for image, room in self._rooms_of(worker):
            added = self._press_of(image, spec.image) * share
            if added > max(room, HARMLESS_PRESS):
                if not starved:
                    return 0, None
                pace = STARVED_PACE
            worst = max(worst, added)
            hostility = max(hostility, self._hostility_of(image))
        score = (
            free / whole - LEVEL_PENALTY * worst + HOSTILE_BONUS * hostility
        )
        return pace, score

    def _rooms_of(self, worker: WorkerState) -> Rooms:
        """Return the room of serving images beside what fills."""
        rooms = self._rooms.get(worker.worker_id)
        if rooms is None:
            least: dict[str, float] = {}
            for run in worker.runs.values():
                step = run.step
                if step is None or not step.spec.tail_latency_target_ms:
                    continue
                image = step.spec.image
                load = self._model.expected_load(image, run.serving_load)
                limit = self._model.level(
                    image, step.spec.tail_latency_target_ms
                )
                room = limit - load - self._model.margin(image, load)
                least[image] = min(least.get(image, room), room)
            use = worker.declared_use()
            rooms = [
                (
                    image,
                    room - self._model.added(image, use),
                )
                for image, room in least.items()
            ]
            self._rooms[worker.worker_id] = rooms
        return rooms

    def _press_of(self, serving: str, filling: str) -> float:
        key = (serving, filling)
        press = self._press.get(key)
        if press is None:
            press = self._press[key] = self._model.press(serving, filling)
        return press

    def _hostility_of(self, serving: str) -> float:
        hostility = self._hostility.get(serving)
        if hostility is None:
            hostility = self._model.added(serving, self._demand)
            self._hostility[serving] = hostility
        return hostility


def tasks_of_step(worker: WorkerState, step: StepRecord) -> int:
    """Return the runs of a step's tasks on a worker."""
    return sum(run.step is step for run in worker.runs.values())


def has_short_run(worker: WorkerState) -> bool:
    """Return whether a run that is going to end is on a worker."""
    return any(
        run.step is not None and not run.step.spec.long_running
        for run in worker.runs.values()
    )


def _serving_score(step: StepRecord, worker: WorkerState, whole: int) -> float:
    spec = step.spec
    # The fullest worker first, so that less room is left in pieces.
    score = -worker.free_millicores / whole
    for image in worker.serving_images:
        if image == spec.image:
            score += SAME_IMAGE_BONUS
        else:
            score -= OTHER_IMAGE_PENALTY
    jobs = {
        run.step.workflow.job_id
        for run in worker.runs.values()
        if run.step is not None and run.step.spec.tail_latency_target_ms
    }
    if step.workflow.job_id in jobs:
        return score + SAME_JOB_BONUS
    return score - OTHER_JOB_PENALTY * len(jobs)
