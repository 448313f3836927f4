"""Critical path of a job."""

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
