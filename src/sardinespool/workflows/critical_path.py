"""Critical path of a job, and its part from a step on."""

import dataclasses
from collections.abc import Sequence

from sardinespool.messages.workflows import WorkflowSpec


@dataclasses.dataclass(frozen=True, slots=True)
class PathTimes:
    """Predicted times of one occurrence of a job, by position of the step.

    Attributes
    ----------
    critical_ms : float
        Time of the critical path.
    remaining_ms : tuple of float
        Time of the longest path from each step on.
    steps_ms : tuple of float
        Time from the start of all tasks of a step to the end of the last.
    tasks_ms : tuple of float
        Mean run time of a task of each step.
    """

    critical_ms: float
    remaining_ms: tuple[float, ...]
    steps_ms: tuple[float, ...]
    tasks_ms: tuple[float, ...]


def path_times(
    spec: WorkflowSpec, steps_ms: Sequence[float], tasks_ms: Sequence[float]
) -> PathTimes:
    """Return the times of all paths, given those of steps and tasks."""
    remaining_ms = list(steps_ms)
    for position in range(len(steps_ms) - 1, -1, -1):
        for predecessor in spec.steps[position].after:
            remaining_ms[predecessor] = max(
                remaining_ms[predecessor],
                steps_ms[predecessor] + remaining_ms[position],
            )
    return PathTimes(
        max(remaining_ms, default=0.0),
        tuple(remaining_ms),
        tuple(steps_ms),
        tuple(tasks_ms),
    )


def critical_path_ms(spec: WorkflowSpec) -> int:
    """Return the expected run time of the critical path.

    Parameters
    ----------
    spec : WorkflowSpec
        Steps in topological order, as each depends on earlier ones only.
    """
    finish_ms: list[int] = []
    for step in spec.steps:
        start_ms = max(
            (finish_ms[predecessor] for predecessor in step.after), default=0
        )
        finish_ms.append(start_ms + step.expected_run_ms)
    return max(finish_ms, default=0)


def remaining_path_ms(spec: WorkflowSpec, position: int) -> int:
    """Return the expected run time of the longest path from a step on.

    Parameters
    ----------
    spec : WorkflowSpec
        Steps in topological order, as each depends on earlier ones only.
    position : int
        Position of the step, which is part of the path.
    """
    finish_ms = {position: spec.steps[position].expected_run_ms}
    for later in range(position + 1, len(spec.steps)):
        step = spec.steps[later]
        starts_ms = [finish_ms[i] for i in step.after if i in finish_ms]
        if starts_ms:
            finish_ms[later] = max(starts_ms) + step.expected_run_ms
    return max(finish_ms.values())
