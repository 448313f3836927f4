"""Figures of a replica for metrics and state dumps."""

import dataclasses
import enum


class Role(enum.Enum):
    """Part that a replica plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """One replica at one instant.

    `leader` is an identity or "". `lease_deadline_boot_ms` is 0 unless the
    replica is a leader with a lease. `formed` is false while the replica
    has no configuration.
    """

    identity: str
    formed: bool
    role: Role
    term: int
    leader: str
    commit_index: int
    applied_index: int
    first_log_index: int
    last_log_index: int
    snapshot_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    lease_deadline_boot_ms: int
