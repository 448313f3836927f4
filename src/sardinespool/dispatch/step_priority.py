"""Order of the ready steps when not all of their tasks find a worker.

Load pattern: more jobs arrive than can end within their objectives, for
seconds or all day. By the time left alone, each job starts just before it is
late, its tasks compete with those of all others, and most jobs end late. A job
has a value only as a whole, so jobs that can still end in time come first, and
among these the ones that have least of their work left. While a queue is
congested, jobs that have not begun start newest first: those that have waited
long end late in either order, and would make the later ones late as well.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sardinespool.messages.manifest import QueueSpec
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.work_share import STEPS_PER_CHANGE
from sardinespool.workflows.work_share import WorkShare

EXPIRY_OBJECTIVES = 3
"""Multiple of the completion objective after which a result has no value."""
RESERVED_SLOWDOWN = 1.15
"""Expected run time of a step on reserved processors, as a multiple of that of
one of its tasks: the last of many tasks ends later than the average one."""
BEST_EFFORT_SLOWDOWN = 1.5
"""The same on leftover processors, which other tasks take at times."""
RUNNING_TASK_WORK = 0.5
"""Share of the work that an assigned task has left on average."""
CONGESTED_OBJECTIVE_SHARE = 0.8
"""Share of the objective that a waiting job may be expected to need before its
queue counts as congested."""


class StepPriority(NamedTuple):
    """Sort key of a step; steps with a smaller one are placed first.

    Attributes
    ----------
    awaits : bool
        Whether the step is not overdue. Overdue steps take room only once.
    queue_priority : int
        Priority of the queue.
    yields_to_short : bool
        Whether the step is long-running; it can wait until short tasks have
        ended.
    round_ : int
        Placement round: half of a long-running step is placed before any
        other gets the rest.
    image : str
        Image of a long-running step; serving images stay on separate workers.
    lateness : int
        0 if the job can end within its objective, 1 if it can end before it
        expires, 2 otherwise.
    work_left : float
        Share of the job's work that is left, in hundredths; long-running
        steps have none.
    order_ms : int
        Negated age of the job, which puts the oldest first; the age of a job
        that has not begun in a congested queue.
    job_id : str
        Id of the job.
    position : int
        Position of the step in the job.
    """

    awaits: bool
    queue_priority: int
    yields_to_short: bool
    round_: int
    image: str
    lateness: int
    work_left: float
    order_ms: int
    job_id: str
    position: int


def step_priority(
    step: StepRecord,
    queue: QueueSpec,
    now_unix_ms: int,
    round_: int,
    overdue: bool,
    congested: bool,
) -> StepPriority:
    """Return the sort key of a ready step.

    Parameters
    ----------
    step : StepRecord
        A ready step.
    queue : QueueSpec
        Queue of its job in the active manifest.
    now_unix_ms : int
        Current time in milliseconds since 1970.
    round_ : int
        Placement round, 0 or 1.
    overdue : bool
        Whether a long-running step has waited too long.
    congested : bool
        Whether the queue is congested, see `congested_queues`.
    """
    workflow = step.workflow
    spec = step.spec
    objective_ms = objective_of(step, queue)
    age_ms = now_unix_ms - workflow.accepted_unix_ms
    newest_first = (
        congested and not workflow.is_in_progress and not spec.long_running
    )
    return StepPriority(
        awaits=not overdue,
        queue_priority=queue.priority,
        yields_to_short=spec.long_running,
        round_=round_,
        image=spec.image if spec.long_running else "",
        lateness=0
        if spec.long_running
        else lateness(step, objective_ms, age_ms),
        work_left=0.0 if spec.long_running else work_left(step),
        order_ms=age_ms if newest_first else -age_ms,
        job_id=workflow.job_id,
        position=step.position,
    )


def congested_queues(
    steps: Iterable[tuple[StepRecord, QueueSpec]], now_unix_ms: int
) -> set[str]:
    """Return the names of the queues whose jobs wait too long to begin.

    Parameters
    ----------
    steps : iterable of (StepRecord, QueueSpec)
        Ready steps with the queues of their jobs.
    now_unix_ms : int
        Current time in milliseconds since 1970.
    """
    names: set[str] = set()
    for step, queue in steps:
        if (
            queue.name in names
            or step.spec.long_running
            or step.workflow.is_in_progress
        ):
            continue
        age_ms = now_unix_ms - step.workflow.accepted_unix_ms
        if age_ms + remaining_path_ms(
            step
        ) > CONGESTED_OBJECTIVE_SHARE * objective_of(step, queue):
            names.add(queue.name)
    return names


def objective_of(step: StepRecord, queue: QueueSpec) -> int:
    """Return the completion objective of a step's job in milliseconds."""
    predicted = step.workflow.predicted
    path_ms = (
        step.workflow.critical_path_ms
        if predicted is None
        else predicted.critical_ms
    )
    return queue.latency_objective_ms + int(queue.stretch * path_ms)


def remaining_path_ms(step: StepRecord) -> float:
    """Return the predicted, else the declared time from a step on."""
    predicted = step.workflow.predicted
    if predicted is None:
        return step.remaining_path_ms
    return predicted.remaining_ms[step.position]


def lateness(step: StepRecord, objective_ms: int, age_ms: int) -> int:
    """Return 0, 1 or 2 for a job expected in time, late or too late."""
    slowdown = 1.0
    # Predicted times contain the last of the tasks, and throttling.
    if step.workflow.predicted is None:
        slowdown = (
            BEST_EFFORT_SLOWDOWN
            if step.spec.uses_leftover_processors
            else RESERVED_SLOWDOWN
        )
    end_age_ms = age_ms + slowdown * remaining_path_ms(step)
    return (end_age_ms > objective_ms) + (
        end_age_ms > EXPIRY_OBJECTIVES * objective_ms
    )


def work_left(step: StepRecord) -> float:
    """Return the share of the work of a step's occurrence that is left.

    For a job of many steps the share is determined anew after some changes
    only, as each of them changes it by little.
    """
    workflow = step.workflow
    known = workflow.work_shares.get(step.occurrence)
    if (
        known is None
        or known.predicted is not workflow.predicted
        or workflow.changes - known.changes
        > len(workflow.spec.steps) // STEPS_PER_CHANGE
    ):
        known = workflow.work_shares[step.occurrence] = WorkShare(
            _share_left(workflow.occurrences[step.occurrence]),
            workflow.changes,
            workflow.predicted,
        )
    return known.share


def _share_left(steps: Iterable[StepRecord]) -> float:
    total = left = 0.0
    for step in steps:
        spec = step.spec
        predicted = step.workflow.predicted
        task_ms = (
            spec.expected_run_ms
            if predicted is None
            else predicted.steps_ms[step.position]
        )
        task_work = max(1, task_ms) * max(1, spec.processors_millicores)
        total += task_work * spec.count
        left += task_work * (
            len(step.waiting) + RUNNING_TASK_WORK * step.assigned_count
        )
    return round(left / total, 2)


def first_round_size(step: StepRecord) -> int:
    """Return how many tasks of a step are placed in the first round."""
    count = step.spec.count
    if step.spec.long_running and not step.spec.gang:
        return (count + 1) // 2
    return count
