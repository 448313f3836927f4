"""Choice of workers for ready tasks, during one planning pass."""

import heapq
from collections.abc import Iterable
from collections.abc import Iterator

from sardinespool.dispatch.filling import Filling
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord

SAME_JOB_BONUS = 0.6
OTHER_JOB_PENALTY = 0.15
"""The tasks of one job have their peaks of load at the same time, those of
different jobs leave the room of the least for what fills beside them."""
SAME_IMAGE_BONUS = 0.5
OTHER_IMAGE_PENALTY = 0.4
UNLIKE_IMAGE_PENALTY = 0.8
"""Serving images are kept apart, so that each filling image finds workers
whose serving images it does not press on; the more so, the fewer filling
images treat both alike."""
LAST_PLACES_MIN = 2
"""Places that must be left for a long-running task to take one.

The last place is kept for short tasks of equal priority, which a
long-running task would keep out for minutes.
"""
SHUNNED_PENALTY = 10.0
"""Above all other terms: where a task failed is the last choice."""
REMOTE_PENALTY = 1.0
"""Share of a worker by which tasks avoid racks without their data."""


class Placing:
    """Scores workers for steps; lives for one pass.

    Parameters
    ----------
    workers : iterable of WorkerState
        Workers of one pool that take starts.
    filling : Filling
        Expected speed of filling tasks.
    """

    def __init__(
        self, workers: Iterable[WorkerState], filling: Filling
    ) -> None:
        self._workers = list(workers)
        self._filling = filling

    def workers_for(
        self, step: StepRecord, starved: bool, shunned: set[str]
    ) -> Iterator[WorkerState]:
        """Yield a worker for one task of a step after the other.

        The caller reserves the room of the task on the yielded worker
        before it asks for the next one.

        Parameters
        ----------
        step : StepRecord
            A ready step.
        starved : bool
            Its filling tasks may start where they will be slowed.
        shunned : set of str
            Workers on which tasks of the step failed; the last choice.
        """
        spec = step.spec
        heap: list[tuple[float, int, WorkerState]] = []
        for position, worker in enumerate(self._workers):
            score = self.suit(step, worker, starved, shunned)
            if score is not None:
                heap.append((-score, position, worker))
        heapq.heapify(heap)
        while heap:
            if spec.long_running and self._places(spec, heap) < (
                LAST_PLACES_MIN
            ):
                return
            _, position, worker = heapq.heappop(heap)
            if spec.uses_leftover_processors:
                # An earlier task of the step may have changed the score.
                score = self.suit(step, worker, starved, shunned)
                if score is None:
                    continue
                self._filling.chosen(spec, worker)
            yield worker
            score = self.suit(step, worker, starved, shunned)
            if score is not None:
                heapq.heappush(heap, (-score, position, worker))

    def _places(
        self,
        spec: StepSpec,
        heap: list[tuple[float, int, WorkerState]],
    ) -> int:
        """Return how many tasks of a long-running step still fit."""
        size = max(1, spec.processors_millicores)
        places = 0
        for _, _, worker in heap:
            places += worker.free_millicores // size
            if places >= LAST_PLACES_MIN:
                break
        return places

    def suit(
        self,
        step: StepRecord,
        worker: WorkerState,
        starved: bool,
        shunned: set[str],
    ) -> float | None:
        """Return the score of a worker for the next task, None if not."""
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
        score: float
        if spec.uses_leftover_processors:
            found = self._filling.suit(spec, worker, starved)
            if found is None:
                return None
            score = found
        elif spec.tail_latency_target_ms:
            score = self._serving_score(step, worker, whole)
        else:
            score = worker.free_millicores / whole
        if spec.data_rack and spec.data_rack not in labels:
            score -= REMOTE_PENALTY
        if worker.worker_id in shunned:
            score -= SHUNNED_PENALTY
        return score

    def _serving_score(
        self, step: StepRecord, worker: WorkerState, whole: int
    ) -> float:
        spec = step.spec
        # The fullest worker first, so that less room is left in pieces.
        score = -worker.free_millicores / whole
        for image in worker.serving_images:
            if image == spec.image:
                score += SAME_IMAGE_BONUS
            else:
                unlike = self._filling.dissimilarity(image, spec.image)
                score -= OTHER_IMAGE_PENALTY + UNLIKE_IMAGE_PENALTY * unlike
        jobs = {
            run.step.workflow.job_id
            for run in worker.runs.values()
            if run.step is not None and run.step.spec.tail_latency_target_ms
        }
        if step.workflow.job_id in jobs:
            return score + SAME_JOB_BONUS
        return score - OTHER_JOB_PENALTY * len(jobs)


def tasks_of_step(worker: WorkerState, step: StepRecord) -> int:
    """Return the runs of a step's tasks on a worker."""
    return sum(run.step is step for run in worker.runs.values())


def has_short_run(worker: WorkerState) -> bool:
    """Return whether a run that is going to end is on a worker."""
    return any(
        run.step is not None and not run.step.spec.long_running
        for run in worker.runs.values()
    )
