"""Replica status for metrics and state dumps."""

import dataclasses
import enum


class Role(enum.Enum):
    """Raft role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Status of a replica at one point in time.

    `leader` is an identity or "". `lease_deadline_boot_ms` is 0 unless the
    replica is a leader that has held a lease. `formed` is false until the
    replica has a configuration.
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
