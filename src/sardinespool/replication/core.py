"""State shared by the parts of a replica."""

import random

from sardinespool.clock import Instant
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import formation_of
from sardinespool.replication.effects import InstallSnapshot
from sardinespool.replication.effects import Send
from sardinespool.replication.entries import Entry
from sardinespool.replication.identity import make_identity
from sardinespool.replication.identity import name_of
from sardinespool.replication.log import Log
from sardinespool.replication.messages import Header
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.outbox import Outbox
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.replication.state import HardState
from sardinespool.replication.state import PersistedState
from sardinespool.replication.state import Snapshot
from sardinespool.replication.status import Role


class Core:
    """Term, role, log and timers of a replica.

    Attributes
    ----------
    leader : str
        Identity of the leader of `term`, or "".
    leader_heard_boot_ms : int
        When a leader was last heard from. A restarted member may have
        acknowledged a leader just before it stopped, so it starts with the
        time of the restart.
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
        # Entries and hard state are separate files, so a crash between the
        # two writes can leave entries of a term above the stored one.
        self.term = max(state.hard_state.term, self.log.last_term)
        self.vote = (
            state.hard_state.vote if self.term == state.hard_state.term else ""
        )
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = state.snapshot.index if state.snapshot else 0
        self.leader_heard_boot_ms = now.boot_ms
        self.election_deadline_boot_ms = 0
        self.out = Outbox()
        self._random = random.Random(seed)
        self.reset_election_timer(now)

    @property
    def configuration(self) -> Configuration | None:
        """Latest configuration, or None before the group is formed."""
        return self.log.configuration

    @property
    def formation(self) -> str:
        """Identifier of the group's formation, or ""."""
        configuration = self.configuration
        if configuration is None:
            return ""
        return formation_of(configuration.initial_members)

    @property
    def is_voter(self) -> bool:
        """Whether this identity may start elections."""
        configuration = self.configuration
        return (
            configuration is not None and self.identity in configuration.voters
        )

    def send(self, recipient: str, message: PeerMessage) -> None:
        """Queue a message for an identity."""
        self.out.sends.append(Send(name_of(recipient), message))

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
        """Change term and vote; both are persisted before any message."""
        self.term = term
        self.vote = vote
        self.out.hard_state = HardState(self.incarnation, term, vote)

    def become_follower(self, term: int, leader: str, now: Instant) -> None:
        """Follow `leader`, or nobody if it is ""."""
        if term > self.term:
            self.set_term(term, "")
        if self.role is not Role.FOLLOWER:
            self.reset_election_timer(now)
        self.role = Role.FOLLOWER
        self.leader = leader

    def hear_leader(self, leader: str, term: int, now: Instant) -> None:
        """Follow a leader that just sent a message."""
        self.become_follower(term, leader, now)
        self.leader_heard_boot_ms = now.boot_ms
        self.reset_election_timer(now)

    def reset_election_timer(self, now: Instant) -> None:
        """Draw the next election timeout."""
        self.election_deadline_boot_ms = now.boot_ms + self._random.randint(
            self.settings.election_timeout_min_ms,
            self.settings.election_timeout_max_ms,
        )

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries to the log and persist them."""
        self.log.append(entries)
        self.out.entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Drop uncommitted entries that differ from the leader's."""
        self.log.truncate_from(index)
        self.out.truncate_from = index

    def commit_to(self, index: int) -> None:
        """Apply the entries up to `index`."""
        if index > self.commit_index:
            self.out.applied += self.log.between(self.commit_index + 1, index)
            self.commit_index = index

    def install(self, snapshot: Snapshot) -> None:
        """Replace log and state machine by a leader's snapshot."""
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self.out.snapshot = snapshot
        self.out.install = InstallSnapshot(snapshot.index, snapshot.data)

    def take_snapshot(self, index: int, data: bytes) -> None:
        """Record the owner's snapshot of applied entries."""
        current = self.log.snapshot.index if self.log.snapshot else 0
        configuration = self.log.configuration_at(index)
        term = self.log.term_at(index)
        if (
            index <= current
            or index > self.commit_index
            or configuration is None
            or term is None
        ):
            return
        snapshot = Snapshot(index, term, configuration, data)
        self.log.compact(snapshot, self.settings.retained_entries)
        self.out.snapshot = snapshot
