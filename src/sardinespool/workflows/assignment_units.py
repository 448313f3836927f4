"""Assignments that are accepted together or not at all."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import Assignment
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import TaskRecord
from sardinespool.workspaces.limits import limit_of
from sardinespool.workspaces.limits import may_start
from sardinespool.workspaces.usage import task_need
from sardinespool.workspaces.usage import WorkspaceUsage


def units_of(
    assignments: Sequence[Assignment],
    task_of: Callable[[str], TaskRecord | None],
    workspaces: Mapping[str, WorkspaceSpec],
) -> list[list[int]]:
    """Return the positions of each unit of a command.

    The members of a gang form one unit if the manifest names its workspace.
    Every other assignment is a unit of its own, as in earlier builds, so that
    their log is applied with the same result.
    """
    units: dict[tuple[str, int, int] | int, list[int]] = {}
    for position, assignment in enumerate(assignments):
        task = task_of(assignment.task)
        unit: tuple[str, int, int] | int = position
        if (
            task is not None
            and task.step.spec.gang
            and task.step.workflow.workspace in workspaces
        ):
            unit = task.step.key
        units.setdefault(unit, []).append(position)
    return list(units.values())


def has_room(
    step: StepRecord,
    usage: WorkspaceUsage,
    workspaces: Mapping[str, WorkspaceSpec],
) -> bool:
    """Return whether a task, or a whole gang, fits the workspace's limit."""
    workspace = workspaces.get(step.workflow.workspace)
    return workspace is None or may_start(
        usage.of(workspace.name),
        task_need(step.spec),
        limit_of(workspace),
        step.spec.count if step.spec.gang else 0,
    )


def is_whole(tasks: Sequence[TaskRecord]) -> bool:
    """Return whether the tasks are one task or all members of a gang."""
    step = tasks[0].step
    return (
        not step.spec.gang
        or len({task.index for task in tasks}) == step.spec.count
    )
