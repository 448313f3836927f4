"""Critical path of a job, and its part from a step on."""

from sardinespool.messages.workflows import WorkflowSpec


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
