"""Choice of a worker for each ready task."""

from collections.abc import Iterable

from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord

FILL_SHARE_MIN = 0.5
"""Share of its processors that a filling task must be expected to find.

Below half its speed a run takes longer than a run that waits for the end of
another one.
"""
SERVING_PENALTY = 0.2
"""Share of a worker by which filling tasks avoid workers that serve."""
REMOTE_PENALTY = 1.0
"""Share of a worker by which tasks avoid racks without their data."""


def choose_worker(
    step: StepRecord, workers: Iterable[WorkerState], shunned: set[str]
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
        score = _score(spec, worker)
        if score is None:
            continue
        if worker.worker_id in shunned:
            score -= 10.0
        if best is None or score > best_score:
            best = worker
            best_score = score
    return best


def tasks_of_step(worker: WorkerState, step: StepRecord) -> int:
    """Return the runs of a step's tasks on a worker."""
    return sum(run.step is step for run in worker.runs.values())


def _score(spec: StepSpec, worker: WorkerState) -> float | None:
    whole = max(1, worker.description.processors_millicores)
    if spec.uses_leftover_processors:
        free = worker.leftover_millicores
        if free < FILL_SHARE_MIN * spec.processors_millicores:
            return None
        score = free / whole
        if worker.serving_runs:
            score -= SERVING_PENALTY
    else:
        score = worker.free_millicores / whole
    if spec.data_rack and spec.data_rack not in worker.description.labels:
        score -= REMOTE_PENALTY
    return score
