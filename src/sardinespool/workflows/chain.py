"""Longest chain of work of a job."""

from sardinespool.messages.workflows import WorkflowSpec


def longest_chain_ms(spec: WorkflowSpec) -> int:
    """Return the expected run time of the longest chain of steps.

    Parameters
    ----------
    spec : WorkflowSpec
        Steps follow earlier steps only, so one pass is enough.
    """
    ends: list[int] = []
    for step in spec.steps:
        begin = max((ends[before] for before in step.after), default=0)
        ends.append(begin + step.expected_run_ms)
    return max(ends, default=0)
