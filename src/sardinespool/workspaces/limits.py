"""Decision whether a task or gang of a workspace may start.

Load pattern: the ready tasks of a workspace need more than its limit, while
some that it may have running are out of the leader's sight.
"""

from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.workspaces.usage import Resources


def limit_of(workspace: WorkspaceSpec) -> Resources:
    """Return the limit of a workspace; 0 stands for no limit."""
    return Resources(
        workspace.processors_millicores_max,
        workspace.memory_mb_max,
        workspace.accelerators_max,
    )


def may_start(
    in_use: Resources, need: Resources, limit: Resources, gang_size: int = 0
) -> bool:
    """Return whether a start keeps a workspace within its limit.

    Parameters
    ----------
    in_use : Resources
        All that may run. What ended but may not have ended counts.
    need : Resources
        Need of one task.
    limit : Resources
        Limit of the workspace; 0 stands for no limit.
    gang_size : int
        Number of tasks of a gang, which must all fit; 0 for a single task. A
        single task also starts while less than half of the limit is in use,
        so that one larger than the limit can start alone.
    """
    count = gang_size or 1
    for used, one, most in zip(in_use, need, limit, strict=True):
        if (
            most
            and used + count * one > most
            and (gang_size or 2 * used >= most)
        ):
            return False
    return True


def is_exceeded(in_use: Resources, limit: Resources) -> bool:
    """Return whether more is in use than a limit."""
    return any(
        most and used > most for used, most in zip(in_use, limit, strict=True)
    )


def can_ever_fit(need: Resources, limit: Resources, gang_size: int) -> bool:
    """Return whether a task or gang may start while nothing else runs."""
    return may_start(Resources(), need, limit, gang_size)
