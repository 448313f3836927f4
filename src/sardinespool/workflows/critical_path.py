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


def remaining_paths_ms(spec: WorkflowSpec) -> tuple[int, ...]:
    """Return the expected run time of the longest path from each step on.

    Parameters
    ----------
    spec : WorkflowSpec
        Steps in topological order, as each depends on earlier ones only.
    """
    remaining_ms = [step.expected_run_ms for step in spec.steps]
    for position in range(len(spec.steps) - 1, -1, -1):
        # All later steps have added their paths to this one by now.
        for predecessor in spec.steps[position].after:
            remaining_ms[predecessor] = max(
                remaining_ms[predecessor],
                spec.steps[predecessor].expected_run_ms
                + remaining_ms[position],
            )
    return tuple(remaining_ms)


def successors_of(spec: WorkflowSpec) -> tuple[tuple[int, ...], ...]:
    """Return the positions of the steps that wait for each step."""
    successors: list[list[int]] = [[] for _ in spec.steps]
    for position, step in enumerate(spec.steps):
        for predecessor in set(step.after):
            successors[predecessor].append(position)
    return tuple(tuple(positions) for positions in successors)
