"""Choice of the member that takes the next heartbeats of a worker.

Load: on a large fleet, or when all workers return at once, the leader holds
three connections per worker: for orders, for lease renewals and for the
worker's heartbeats. Without a bound it runs out of descriptors. Heartbeats
that are not acknowledged in time are sent again to other members over new
connections, which adds to the load. The other members can take the heartbeats,
as they forward them to the leader over the connection that they have anyway.
"""

import zlib
from collections.abc import Sequence

CONNECTIONS_PER_WORKER = 3
"""Connections of the leader per worker that sends its heartbeats to it."""
DESCRIPTOR_SHARE_MAX = 0.5
"""Share of the descriptors up to which the leader takes all heartbeats. The
rest is needed while workers reconnect, when the earlier connections of many of
them are still open."""


def spreads_heartbeats(workers: int, descriptors: int) -> bool:
    """Return whether members other than the leader take heartbeats.

    Parameters
    ----------
    workers : int
        Number of known workers.
    descriptors : int
        Limit of open descriptors of a member.
    """
    return workers * CONNECTIONS_PER_WORKER > (
        DESCRIPTOR_SHARE_MAX * descriptors
    )


def heartbeat_target(
    own: str,
    leader: str,
    members: Sequence[str],
    worker_id: str,
    sequence: int,
    spread: bool,
) -> str:
    """Return the address of the member for a worker's next heartbeats.

    Parameters
    ----------
    own : str
        Address of the member that has taken this heartbeat.
    leader : str
        Address of the leader, or "" if none is known.
    members : sequence of str
        Addresses of all members.
    worker_id : str
        Id of the worker.
    sequence : int
        Number of this heartbeat.
    spread : bool
        Result of `spreads_heartbeats`.

    Returns
    -------
    str
        "" if the worker chooses itself.
    """
    if not spread or not leader:
        return leader
    if own != leader:
        # This member could reach the leader just now.
        return own
    others = sorted(member for member in members if member != leader)
    if not others:
        return leader
    # With the sequence number, a worker whose target turns out to be down gets
    # another one from the leader next time.
    return others[(zlib.crc32(worker_id.encode()) + sequence) % len(others)]
