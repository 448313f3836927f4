"""Validation of submitted jobs."""

from sardinespool.errors.tasks import GangTooLargeError
from sardinespool.errors.tasks import InvalidJobError
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.workspaces.limits import can_ever_fit
from sardinespool.workspaces.limits import limit_of
from sardinespool.workspaces.usage import task_need

TASKS_MAX = 20_000
"""Limit of the tasks of a job; bounds the memory of one submission."""


def check_spec(spec: WorkflowSpec) -> None:
    """Raise `InvalidJobError` if a job can't be executed.

    Parameters
    ----------
    spec : WorkflowSpec
        Submitted job.
    """
    if not spec.steps:
        raise InvalidJobError("The job has no steps.")
    if spec.repetitions < 0 or spec.interval_ms < 0:
        raise InvalidJobError("Repetitions and interval can't be negative.")
    total = sum(step.count for step in spec.steps)
    if total * max(1, spec.repetitions) > TASKS_MAX:
        raise InvalidJobError("The job has too many tasks.", maximum=TASKS_MAX)
    for position, step in enumerate(spec.steps):
        _check_step(step, position)


def check_gangs(spec: WorkflowSpec, workspace: WorkspaceSpec) -> None:
    """Raise `GangTooLargeError` if a gang can never fit its workspace's limit.

    Parameters
    ----------
    spec : WorkflowSpec
        Submitted job.
    workspace : WorkspaceSpec
        Its workspace.
    """
    for position, step in enumerate(spec.steps):
        if step.gang and not can_ever_fit(
            task_need(step), limit_of(workspace), step.count
        ):
            raise GangTooLargeError(
                "A gang is larger than the limit of its workspace.",
                step=position,
                workspace=workspace.name,
            )


def _check_step(step: StepSpec, position: int) -> None:
    sizes = (
        step.processors_millicores,
        step.memory_mb,
        step.accelerators,
        step.tasks_per_worker_max,
        step.unavailable_max,
    )
    if step.count < 1 or min(sizes) < 0:
        raise InvalidJobError("A step has a size out of range.", step=position)
    if not all(0 <= predecessor < position for predecessor in step.after):
        raise InvalidJobError(
            "A step can only follow earlier steps.", step=position
        )
