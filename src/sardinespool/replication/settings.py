"""Settings of one replica."""

import dataclasses

VOTERS_MIN = 3
"""Voters that stay in an open group; three bear the loss of one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Group, names and timing of one replica.

    `peers` are the configured names of the other members. `lease_ms` must
    be shorter than `election_timeout_min_ms`: the difference absorbs clocks
    that run at different rates.

    With `open_membership`, `peers` are only the members to ask at the start:
    names are addresses, and members that the settings don't name may join.
    A voter that is silent for `dead_voter_ms` is then removed while at least
    `VOTERS_MIN` others respond; it joins again when it returns.
    """

    group: str
    name: str
    peers: tuple[str, ...] = ()
    bootstrap: bool = False
    open_membership: bool = False
    dead_voter_ms: int = 2_500
    heartbeat_interval_ms: int = 150
    lease_ms: int = 900
    election_timeout_min_ms: int = 1200
    election_timeout_max_ms: int = 2400
    join_interval_ms: int = 500
    append_limit_bytes: int = 262_144
    appends_in_flight: int = 8
    retained_entries: int = 500
    """Entries kept in memory below a snapshot, for followers that lag."""
