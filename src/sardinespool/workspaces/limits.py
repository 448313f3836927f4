"""Decision whether a task or gang of a workspace or team may start.

Load pattern: the ready tasks of a workspace need more than its limit, while
some that it may have running are out of the leader's sight.
"""

from collections.abc import Sequence

from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.workspaces.usage import Resources

Limit = Sequence[int | None]
"""Limit of each resource, in the order of the use; None for no limit."""


def limit_of(workspace: WorkspaceSpec) -> Limit:
    """Return the limit of a workspace, in the order of `Resources`."""
    return (
        workspace.processors_millicores_max or None,
        workspace.memory_mb_max or None,
        workspace.accelerators_max or None,
    )


def may_start(
    in_use: Sequence[int],
    need: Sequence[int],
    limit: Limit,
    gang_size: int = 0,
) -> bool:
    """Return whether a start keeps a workspace or team within its limit.

    Parameters
    ----------
    in_use : sequence of int
        All that may run, by resource.
    need : sequence of int
        Need of one task.
    limit : Limit
        Limit of the workspace or team.
    gang_size : int
        Number of tasks of a gang, which must all fit; 0 for a single task. A
        single task also starts while less than half of the limit is in use,
        so that one larger than the limit can start alone. The tasks of teams
        have no such rule: each counts as a gang of 1.
    """
    count = gang_size or 1
    for used, one, most in zip(in_use, need, limit, strict=True):
        if (
            most is not None
            and used + count * one > most
            and (gang_size or 2 * used >= most)
        ):
            return False
    return True


def is_exceeded(in_use: Sequence[int], limit: Limit) -> bool:
    """Return whether more is in use than a limit."""
    return any(
        most is not None and used > most
        for used, most in zip(in_use, limit, strict=True)
    )


def can_ever_fit(need: Resources, limit: Limit, gang_size: int) -> bool:
    """Return whether a task or gang may start while nothing else runs."""
    return may_start(Resources(), need, limit, gang_size)
