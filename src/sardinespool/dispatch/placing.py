"""Choice of a worker for each ready task."""

import math
from collections.abc import Iterable

from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord

FILL_SHARE_MIN = 0.5
"""Share of its processors that a filling task must be expected to find.

Below half its speed a run takes longer than a run that waits for the end of
another one.
"""
TAIL_LIMIT = math.log(0.8)
"""Expected tail over target, as a logarithm, up to which tasks may fill."""
TAIL_PENALTY = 1.5
"""Share of a worker that a unit of logarithm of the tail costs."""
SAME_IMAGE_BONUS = 0.5
OTHER_IMAGE_PENALTY = 0.4
"""Serving images are kept apart, so that each filling image finds workers
whose serving images it does not press on."""
VERSATILE_PENALTY = 0.1
"""Share of a worker by which a filling task avoids, for each unit of press
that it lacks there, workers on which all images may fill."""
SHORT_RESERVE = 0.06
"""Share of a worker that long-running tasks leave to short ones.

Short tasks of equal priority use 4% of the processors on the users' sheets
and come in bursts; a long-running task would keep them out for minutes.
"""
HARMLESS_PRESS = 0.03
"""Part of a logarithm that a task may add to a tail unheeded."""
REMOTE_PENALTY = 1.0
"""Share of a worker by which tasks avoid racks without their data."""
SHUNNED_PENALTY = 10.0
"""Above all other terms: a worker where the task failed is the last choice."""


def choose_worker(
    step: StepRecord,
    workers: Iterable[WorkerState],
    shunned: set[str],
    model: TailModel,
) -> WorkerState | None:
    """Return the worker for the next task of a step, or None.

    Parameters
    ----------
    step : StepRecord
        A ready step.
    workers : iterable of WorkerState
        Workers of the step's pool that take starts.
    shunned : set of str
        Workers on which a run of the task failed; used only if no other
        has room.
    model : TailModel
        Press of filling images on serving ones.
    """
    spec = step.spec
    best: WorkerState | None = None
    best_score = 0.0
    limit = spec.tasks_per_worker_max
    label = spec.required_label
    for worker in workers:
        if not worker.fits(spec):
            continue
        if label and label not in worker.description.labels:
            continue
        if limit and tasks_of_step(worker, step) >= limit:
            continue
        score = _score(spec, worker, model)
        if score is None:
            continue
        if worker.worker_id in shunned:
            score -= SHUNNED_PENALTY
        if best is None or score > best_score:
            best = worker
            best_score = score
    return best


def tasks_of_step(worker: WorkerState, step: StepRecord) -> int:
    """Return the runs of a step's tasks on a worker."""
    return sum(run.step is step for run in worker.runs.values())


def _score(
    spec: StepSpec, worker: WorkerState, model: TailModel
) -> float | None:
    whole = max(1, worker.description.processors_millicores)
    if spec.uses_leftover_processors:
        score = _fill_score(spec, worker, whole, model)
        if score is None:
            return None
    elif spec.tail_latency_target_ms:
        left = worker.free_millicores - spec.processors_millicores
        if left < SHORT_RESERVE * whole:
            return None
        score = worker.free_millicores / whole
        for image in worker.serving_images:
            if image == spec.image:
                score += SAME_IMAGE_BONUS
            else:
                score -= OTHER_IMAGE_PENALTY
    else:
        score = worker.free_millicores / whole
    if spec.data_rack and spec.data_rack not in worker.description.labels:
        score -= REMOTE_PENALTY
    return score


def _fill_score(
    spec: StepSpec, worker: WorkerState, whole: int, model: TailModel
) -> float | None:
    free = worker.leftover_millicores
    if free < FILL_SHARE_MIN * spec.processors_millicores:
        return None
    share = spec.processors_millicores / whole
    tail = TAIL_LIMIT
    hostility = 0.0
    for image in worker.serving_images:
        added = model.press(image, spec.image) * share
        expected = model.predict(image, worker.filling_declared) + added
        if expected > TAIL_LIMIT and added > HARMLESS_PRESS:
            return None
        tail = max(tail, expected)
        hostility = max(hostility, model.mean_press(image))
    return (
        free / whole
        - TAIL_PENALTY * (tail - TAIL_LIMIT)
        + VERSATILE_PENALTY * hostility
    )
