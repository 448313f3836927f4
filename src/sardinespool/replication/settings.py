"""Settings of one replica."""

import dataclasses

VOTERS_MIN = 3
"""Minimum number of voters to keep; three tolerate one failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Group, member names and timing of one replica.

    `peers` are the configured names of the other members. `lease_ms` must
    be shorter than `election_timeout_min_ms`; the difference tolerates clock
    drift between members.

    With `open_membership`, `peers` are only seeds for discovery: names are
    addresses, and members that the settings don't list may join. A voter
    that is silent for `dead_voter_ms` is removed from an even number of
    voters if at least `VOTERS_MIN` respond; it joins again when it returns.
    An election and this time together are shorter than the 4 s within which a
    successor replaces a removed member.
    """

    group: str
    name: str
    peers: tuple[str, ...] = ()
    bootstrap: bool = False
    open_membership: bool = False
    dead_voter_ms: int = 1_500
    heartbeat_interval_ms: int = 150
    lease_ms: int = 900
    election_timeout_min_ms: int = 1200
    election_timeout_max_ms: int = 2400
    join_interval_ms: int = 500
    append_limit_bytes: int = 262_144
    appends_in_flight: int = 8
    in_flight_limit_bytes: int = 2_097_152
    """Size of the appends in flight to a member; one may exceed it alone."""
    retained_entries: int = 2_000
    """Entries kept in memory below a snapshot for slow followers."""
    retained_limit_bytes: int = 8_388_608
    """Size of the entries kept below a snapshot. With as many as there are
    between two snapshots, a snapshot can be transferred while the next one is
    taken, and the member continues with entries."""
    uncommitted_limit_bytes: int = 8_388_608
    """Size of the uncommitted entries above which a leader rejects further
    commands. One of any size is accepted below half of it."""
