"""Raft state shared by the components of a replica."""

import random

from sardinespool.clock import Instant
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import formation_id
from sardinespool.replication.effect_buffer import EffectBuffer
from sardinespool.replication.effects import InstallSnapshot
from sardinespool.replication.effects import Send
from sardinespool.replication.entries import Entry
from sardinespool.replication.identity import make_identity
from sardinespool.replication.identity import member_name
from sardinespool.replication.log import Log
from sardinespool.replication.messages import Header
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.replication.state import HardState
from sardinespool.replication.state import PersistedState
from sardinespool.replication.state import Snapshot
from sardinespool.replication.status import Role

ELECTION_HEARTBEATS = 4
"""Heartbeat intervals that an election is given before another one starts."""


class RaftState:
    """Term, vote, role, log and timers of a replica.

    Attributes
    ----------
    leader : str
        Identity of the leader of `term`, or "".
    leader_contact_boot_ms : int
        Time of the last message from a leader. Its initial value is the
        start time, since the replica may have acknowledged a leader, and so
        extended that leader's lease, just before a restart.
    effects : EffectBuffer
        Effects of the event that is being handled.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        state: PersistedState,
        seed: int,
        now: Instant,
    ) -> None:
        self.settings = settings
        self.incarnation = state.hard_state.incarnation
        self.identity = make_identity(settings.name, self.incarnation)
        self.log = Log(state.snapshot, state.entries)
        # Hard state and entries are separate files. A crash between the two
        # writes can leave entries whose term is above the stored term.
        self.term = max(state.hard_state.term, self.log.last_term)
        self.vote = (
            state.hard_state.vote if self.term == state.hard_state.term else ""
        )
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = state.snapshot.index if state.snapshot else 0
        self.leader_contact_boot_ms = now.boot_ms
        self.election_deadline_boot_ms = 0
        self.effects = EffectBuffer()
        self._random = random.Random(seed)
        self.reset_election_timer(now)

    @property
    def configuration(self) -> Configuration | None:
        """Latest configuration, or None before the group is formed."""
        return self.log.configuration

    @property
    def formation(self) -> str:
        """Hash of the initial members, or "" before the group is formed."""
        configuration = self.configuration
        if configuration is None:
            return ""
        return formation_id(configuration.initial_members)

    @property
    def is_voter(self) -> bool:
        """Whether this identity votes and may start elections."""
        configuration = self.configuration
        return (
            configuration is not None and self.identity in configuration.voters
        )

    def send(self, recipient: str, message: PeerMessage) -> None:
        """Queue a message to an identity."""
        self.effects.sends.append(Send(member_name(recipient), message))

    def header(self, recipient: str) -> Header:
        """Return the header of a message to an identity."""
        return Header(
            self.settings.group,
            self.identity,
            recipient,
            self.term,
            self.formation,
        )

    def set_term(self, term: int, vote: str) -> None:
        """Set term and vote, which are persisted before messages are sent."""
        self.term = term
        self.vote = vote
        self.effects.hard_state = HardState(self.incarnation, term, vote)

    def become_follower(self, term: int, leader: str, now: Instant) -> None:
        """Become a follower of `leader`, which is "" if unknown."""
        if term > self.term:
            self.set_term(term, "")
        if self.role is not Role.FOLLOWER:
            self.reset_election_timer(now)
        self.role = Role.FOLLOWER
        self.leader = leader

    def record_leader_contact(
        self, leader: str, term: int, now: Instant
    ) -> None:
        """Follow the leader that sent a message and reset the timer."""
        self.become_follower(term, leader, now)
        self.leader_contact_boot_ms = now.boot_ms
        self.reset_election_timer(now)

    def reset_election_timer(self, now: Instant) -> None:
        """Choose a new random election timeout."""
        self.election_deadline_boot_ms = now.boot_ms + self._random.randint(
            self.settings.election_timeout_min_ms,
            self.settings.election_timeout_max_ms,
        )

    def postpone_election(self, now: Instant) -> None:
        """Leave another candidate some round trips, also with lost packets."""
        self.election_deadline_boot_ms = max(
            self.election_deadline_boot_ms,
            now.boot_ms
            + ELECTION_HEARTBEATS * self.settings.heartbeat_interval_ms,
        )

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries to the log and persist them."""
        self.log.append(entries)
        self.effects.entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove uncommitted entries that conflict with the leader's log."""
        self.log.truncate_from(index)
        self.effects.truncate_from = index

    def advance_commit_index(self, index: int) -> None:
        """Raise the commit index and queue the new entries for `Apply`."""
        if index > self.commit_index:
            self.effects.committed_entries += self.log.entries_between(
                self.commit_index + 1, index
            )
            self.commit_index = index

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log and the state machine with a leader's snapshot."""
        self.log.install_snapshot(snapshot)
        self.commit_index = snapshot.index
        self.effects.snapshot = snapshot
        self.effects.install_snapshot = InstallSnapshot(
            snapshot.index, snapshot.data
        )

    def record_snapshot(self, index: int, data: bytes) -> None:
        """Record the application's snapshot and compact the log.

        Ignored if it is not newer than the current snapshot or contains
        entries that this replica has not committed.
        """
        current_index = self.log.snapshot.index if self.log.snapshot else 0
        configuration = self.log.configuration_at(index)
        term = self.log.term_at(index)
        if (
            index <= current_index
            or index > self.commit_index
            or configuration is None
            or term is None
        ):
            return
        snapshot = Snapshot(index, term, configuration, data)
        self.log.compact(
            snapshot,
            self.settings.retained_entries,
            self.settings.retained_limit_bytes,
        )
        self.effects.snapshot = snapshot
