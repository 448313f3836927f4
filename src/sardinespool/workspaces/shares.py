"""Order of the workspaces when not all ready steps find room.

Load pattern: one workspace sends several times its quota for seconds or all
day, and its jobs would take the room of all others. Each start goes to the
workspace with the least weighted dominant share, so that shares nobody asks
for are lent, and come back as tasks end. Jobs above the quota of their
workspace come after all others: they are owed nothing.
"""

import enum
import heapq
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import TypeVar

from sardinespool.workspaces.usage import Resources

QUOTA_WINDOW_MS = 5_000
"""Time over which a workspace may use its quota unevenly; the settings of the
deployments measure quotas over this window."""
QUOTA_SLACK_JOBS = 20
"""Jobs above it that count as within the quota after a pause, `quota_slack`
of the deployments: arrivals at a rate below the quota come in clusters."""

Entry = TypeVar("Entry")


class Rank(enum.IntEnum):
    """Rank of a job before the shares are compared."""

    BEGUN = 0
    NEW = 1
    IN_EXCESS = 2


Group = tuple[Rank, str]
"""Rank of the jobs and the name of their workspace. Jobs that have begun form
one group while their workspaces are within their fair shares: the shares
decide which jobs begin, as a job has a value only as a whole."""


class JobQuotas:
    """Token buckets of `weight` jobs a second, one for each workspace.

    A bucket is stored as the time at which it is full again. It is part of
    the replicated state, so that each leader finds the same jobs in excess.

    Attributes
    ----------
    full_unix_us : dict of str to int
        When each bucket is full, in microseconds since 1970.
    """

    def __init__(self) -> None:
        self.full_unix_us: dict[str, int] = {}

    def exceeds(self, workspace: str, weight: int, now_unix_ms: int) -> bool:
        """Count a new job; return whether it exceeds the quota.

        A job in excess takes no token.
        """
        now_unix_us = now_unix_ms * 1_000
        # Rounded up, as a weight above 1,000,000 would cost nothing.
        token_us = -(-1_000_000 // max(1, weight))
        empty_unix_us = (
            now_unix_us + QUOTA_WINDOW_MS * 1_000 + QUOTA_SLACK_JOBS * token_us
        )
        # A bucket is never more than empty: an earlier leader's wall clock may
        # have been ahead, and the weight lower.
        full_unix_us = min(
            max(now_unix_us, self.full_unix_us.get(workspace, 0)),
            empty_unix_us,
        )
        # Stored also for a job in excess, so that tokens come back from now.
        self.full_unix_us[workspace] = full_unix_us
        full_unix_us += token_us
        if full_unix_us > empty_unix_us:
            return True
        self.full_unix_us[workspace] = full_unix_us
        return False

    def retain(self, workspaces: Iterable[str]) -> None:
        """Forget the workspaces that are not in a new manifest."""
        for name in self.full_unix_us.keys() - set(workspaces):
            del self.full_unix_us[name]


def weighted_share(
    in_use: Resources, capacity: Resources, weight: float
) -> float:
    """Return the dominant share of a workspace, divided by its weight."""
    share = 0.0
    for used, most in zip(in_use, capacity, strict=True):
        if most and used > share * most:
            share = used / most
    return share / max(weight, 1e-9)


def exceed(
    needs: Mapping[str, Resources],
    rooms: Mapping[str, Resources],
    free: Resources,
) -> bool:
    """Return whether the needs of the workspaces exceed the free capacity.

    Parameters
    ----------
    needs : mapping of str to Resources
        Need of the ready tasks by workspace.
    rooms : mapping of str to Resources
        What the limit of a workspace leaves; of the other workspaces all of
        the need competes for the capacity.
    free : Resources
        Free capacity.
    """
    total = Resources()
    for name, need in needs.items():
        room = rooms.get(name)
        if room is not None:
            need = Resources(*map(min, need, room))
        total = total.plus(need)
    return any(need > most for need, most in zip(total, free, strict=True))


def fair_level(demands: Iterable[tuple[float, float]]) -> float:
    """Return the weighted share up to which each workspace is served.

    It is the largest one at which the workspaces together, each with at most
    what it demands, need no more than the capacity.

    Parameters
    ----------
    demands : iterable of (float, float)
        Weighted share that a workspace would have with all its tasks, and
        its weight.
    """
    left = 1.0
    pending = sorted(demands)
    weights = sum(weight for _, weight in pending)
    for demand, weight in pending:
        if demand * weights > left:
            return left / weights
        left -= demand * weight
        weights -= weight
    return math.inf


def fair_order(
    entries: Mapping[Group, Iterator[Entry]], share_of: Callable[[str], float]
) -> Iterator[Entry]:
    """Yield the entries of the workspace with the least share first.

    Groups of a lower rank come first. The order within a group is kept.

    Parameters
    ----------
    entries : mapping of Group to iterator
        Entries of each group in their order.
    share_of : callable
        Returns the present weighted share of a workspace; an entry that was
        yielded may have raised it.
    """
    heap = [(rank, share_of(name), name, False) for rank, name in entries]
    heapq.heapify(heap)
    while heap:
        rank, share, name, is_present = heapq.heappop(heap)
        # Only entries of a lower rank raise a share without a new push.
        if not is_present and (present := share_of(name)) > share:
            heapq.heappush(heap, (rank, present, name, True))
            continue
        for entry in entries[rank, name]:
            yield entry
            heapq.heappush(heap, (rank, share_of(name), name, True))
            break
