"""Choice of workers for ready tasks in one planning pass."""

import heapq
from collections.abc import Iterable
from collections.abc import Iterator

from sardinespool.dispatch.best_effort import BestEffortScorer
from sardinespool.dispatch.near_supply import can_ever_take
from sardinespool.dispatch.near_waits import NearWaits
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord

SAME_JOB_BONUS = 0.6
OTHER_JOB_PENALTY = 0.15
"""Adjustments that group the serving tasks of one job, whose load peaks
coincide. With different jobs on a worker, best-effort tasks are limited by
the smallest headroom at any time.
"""
SAME_IMAGE_BONUS = 0.5
OTHER_IMAGE_PENALTY = 0.4
DISSIMILAR_IMAGE_PENALTY = 0.8
"""Adjustments that separate serving images, so that each best-effort image
finds workers on which it does not interfere. The penalty grows with the share
of best-effort images that affect the two images differently.
"""
FREE_SLOTS_MIN = 2
"""Free slots required to place a long-running task that is not overdue.

The last slot is reserved for short tasks of equal priority, which a
long-running task would block for minutes.
"""
FAILED_WORKER_PENALTY = 10.0
"""Exceeds all other terms, so that a worker on which a task of the step
failed is the last choice."""
LAST_RESORT_PENALTY = 20.0
"""Exceeds all other terms: a worker that was set aside is chosen after those
on which a task of the step failed."""
REMOTE_DATA_PENALTY = 1.0
"""Penalty for a rack without the data of the task, as a share of a worker."""


class Placer:
    """Scores workers for steps during one planning pass.

    Parameters
    ----------
    workers : iterable of WorkerState
        Workers of one pool that accept starts.
    best_effort : BestEffortScorer
        Scores workers for best-effort tasks.
    set_aside : iterable of WorkerState
        Workers of the pool that were set aside, for steps without another
        worker.
    held : iterable of WorkerState
        Workers of the pool that late trials hold, for steps that have waited
        and fit on no other worker.
    near : NearWaits or None
        Decides which tasks wait for the rack of their data; None if none do.
    """

    def __init__(
        self,
        workers: Iterable[WorkerState],
        best_effort: BestEffortScorer,
        set_aside: Iterable[WorkerState] = (),
        near: NearWaits | None = None,
        held: Iterable[WorkerState] = (),
    ) -> None:
        self._near = near
        self._held = list(held)
        self._workers = list(workers)
        self._set_aside = list(set_aside)
        self._best_effort = best_effort

    def workers_for(
        self,
        step: StepRecord,
        starved: bool,
        failed_workers: set[str],
        overdue: bool = False,
        last_resort: bool = False,
    ) -> Iterator[WorkerState]:
        """Yield a worker for each task of a step.

        The caller must reserve the resources of the task on the yielded
        worker before it requests the next one.

        Parameters
        ----------
        step : StepRecord
            A ready step.
        starved : bool
            Whether its tasks may start on held workers, and best-effort ones
            where they will be throttled.
        failed_workers : set of str
            Workers on which tasks of the step failed; chosen last.
        overdue : bool
            Whether workers that were set aside may be chosen, after all
            others.
        last_resort : bool
            Whether they may be chosen if no other worker can ever take a
            task of the step.
        """
        spec = step.spec
        groups = [self._workers + (self._set_aside if overdue else [])]
        if last_resort and not any(
            can_ever_take(worker, step) for worker in self._workers
        ):
            groups.append(self._set_aside)
        if overdue or starved:
            groups.append(self._held)
        heap: list[tuple[float, int, WorkerState]] = []
        for workers in groups:
            for position, worker in enumerate(workers):
                score = self.score_worker(
                    step, worker, starved, failed_workers, overdue
                )
                if score is not None:
                    heap.append((-score, position, worker))
            if heap:
                break
        if self._near is not None and spec.gang:
            kept = set(
                map(
                    id,
                    self._near.gang_workers(step, [item[2] for item in heap]),
                )
            )
            heap = [item for item in heap if id(item[2]) in kept]
        heapq.heapify(heap)
        tasks_left = len(step.waiting)
        while heap:
            if (
                spec.long_running
                and not overdue
                and self._free_slots(spec, heap) < FREE_SLOTS_MIN
            ):
                return
            _, position, worker = heapq.heappop(heap)
            if spec.uses_leftover_processors:
                # An earlier task of the step may have changed the score.
                score = self.score_worker(
                    step, worker, starved, failed_workers, overdue
                )
                if score is None:
                    continue
                self._best_effort.record_start(spec, worker)
            if self._near is not None and self._near.awaits_near(
                step, worker, tasks_left, failed_workers
            ):
                return
            tasks_left -= 1
            yield worker
            score = self.score_worker(
                step, worker, starved, failed_workers, overdue
            )
            if score is not None:
                heapq.heappush(heap, (-score, position, worker))

    def _free_slots(
        self,
        spec: StepSpec,
        heap: list[tuple[float, int, WorkerState]],
    ) -> int:
        """Return how many tasks of the step fit, up to `FREE_SLOTS_MIN`."""
        task_millicores = max(1, spec.processors_millicores)
        slots = 0
        for _, _, worker in heap:
            slots += worker.free_millicores // task_millicores
            if slots >= FREE_SLOTS_MIN:
                break
        return slots

    def score_worker(
        self,
        step: StepRecord,
        worker: WorkerState,
        starved: bool,
        failed_workers: set[str],
        overdue: bool = False,
    ) -> float | None:
        """Return a worker's score for the next task, None if unsuitable."""
        spec = step.spec
        if not worker.fits(spec) or (
            worker.on_probation and not overdue and has_finite_run(worker)
        ):
            return None
        labels = worker.description.labels
        if spec.required_label and spec.required_label not in labels:
            return None
        tasks_max = spec.tasks_per_worker_max
        if tasks_max and tasks_of_step(worker, step) >= tasks_max:
            return None
        capacity_millicores = max(1, worker.description.processors_millicores)
        score: float
        if spec.uses_leftover_processors:
            best_effort_score = self._best_effort.score_worker(
                spec, worker, starved
            )
            if best_effort_score is None:
                return None
            score = best_effort_score
        elif spec.tail_latency_target_ms:
            score = self._serving_score(step, worker, capacity_millicores)
        else:
            score = worker.free_millicores / capacity_millicores
        if spec.data_rack and spec.data_rack not in labels:
            score -= REMOTE_DATA_PENALTY
        if worker.worker_id in failed_workers:
            score -= FAILED_WORKER_PENALTY
        if worker.on_probation and overdue:
            score -= LAST_RESORT_PENALTY
        return score

    def _serving_score(
        self, step: StepRecord, worker: WorkerState, capacity_millicores: int
    ) -> float:
        spec = step.spec
        # Prefers the fullest worker, which reduces fragmentation.
        score = -worker.free_millicores / capacity_millicores
        for image in worker.serving_images:
            if image == spec.image:
                score += SAME_IMAGE_BONUS
            else:
                dissimilarity = self._best_effort.dissimilarity(
                    image, spec.image
                )
                score -= (
                    OTHER_IMAGE_PENALTY
                    + DISSIMILAR_IMAGE_PENALTY * dissimilarity
                )
        jobs = {
            run.step.workflow.job_id
            for run in worker.runs.values()
            if run.step is not None and run.step.spec.tail_latency_target_ms
        }
        if step.workflow.job_id in jobs:
            return score + SAME_JOB_BONUS
        return score - OTHER_JOB_PENALTY * len(jobs)


def tasks_of_step(worker: WorkerState, step: StepRecord) -> int:
    """Return the number of runs of a step on a worker."""
    return sum(run.step is step for run in worker.runs.values())


def has_finite_run(worker: WorkerState) -> bool:
    """Return whether a worker has a run that is not long-running."""
    return any(
        run.step is not None and not run.step.spec.long_running
        for run in worker.runs.values()
    )
