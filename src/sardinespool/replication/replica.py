"""One member of a replicated group, without sockets, clock or files."""

from sardinespool.clock import Instant
from sardinespool.replication.bootstrap import Bootstrap
from sardinespool.replication.core import Core
from sardinespool.replication.effects import Effect
from sardinespool.replication.effects import LeadershipChanged
from sardinespool.replication.effects import ProposalAccepted
from sardinespool.replication.effects import ProposalRefused
from sardinespool.replication.election import Election
from sardinespool.replication.events import Event
from sardinespool.replication.events import PeerMessageReceived
from sardinespool.replication.events import Propose
from sardinespool.replication.events import SnapshotTaken
from sardinespool.replication.events import Tick
from sardinespool.replication.events import TransferLeadership
from sardinespool.replication.following import Following
from sardinespool.replication.identity import name_of
from sardinespool.replication.leadership import Leadership
from sardinespool.replication.messages import AppendEntries
from sardinespool.replication.messages import AppendReply
from sardinespool.replication.messages import JoinReply
from sardinespool.replication.messages import JoinRequest
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.messages import PreVoteReply
from sardinespool.replication.messages import PreVoteRequest
from sardinespool.replication.messages import SnapshotChunk
from sardinespool.replication.messages import SnapshotReply
from sardinespool.replication.messages import TimeoutNow
from sardinespool.replication.messages import VoteReply
from sardinespool.replication.messages import VoteRequest
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.replication.state import PersistedState
from sardinespool.replication.status import ReplicaStatus
from sardinespool.replication.status import Role


class Replica:
    """A pure state machine: events in, effects out.

    Parameters
    ----------
    settings : ReplicaSettings
        Group, names and timing.
    state : PersistedState
        What the data folder holds; the incarnation in its hard state must
        not be empty.
    seed : int
        Seed of the election timeouts; differs between members.
    now : Instant
        Time of the start.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        state: PersistedState,
        seed: int,
        now: Instant,
    ) -> None:
        self._core = Core(settings, state, seed, now)
        self._election = Election(self._core)
        self._following = Following(self._core)
        self._bootstrap = Bootstrap(self._core, now)
        self._leadership: Leadership | None = None
        self._reported = LeadershipChanged(False, self._core.term, "")

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process one event.

        The returned effects must be executed, in the order that
        `replication.effects` states, before those of a later event. The
        replica counts its own entries as persisted from the return on.
        """
        self._step_down_if_alone(now)
        match event:
            case Tick():
                self._tick(now)
            case PeerMessageReceived(sender, message):
                if self._is_admissible(sender, message):
                    self._receive(message, now)
            case Propose(payloads):
                self._propose(payloads, now)
            case SnapshotTaken(index, data):
                self._core.take_snapshot(index, data)
            case TransferLeadership():
                if self._leadership is not None:
                    self._leadership.transfer(now)
        if self._core.role is not Role.LEADER:
            self._leadership = None
        self._report_leadership()
        return self._core.out.drain()

    def is_leader(self, now: Instant) -> bool:
        """Return whether this replica may act and answer reads now."""
        return self._leadership is not None and self._leadership.has_lease(now)

    def status(self) -> ReplicaStatus:
        """Return figures for metrics and state dumps."""
        core = self._core
        configuration = core.configuration
        log = core.log
        return ReplicaStatus(
            identity=core.identity,
            formed=configuration is not None,
            role=core.role,
            term=core.term,
            leader=core.leader,
            commit_index=core.commit_index,
            applied_index=core.commit_index,
            first_log_index=log.base_index + 1,
            last_log_index=log.last_index,
            snapshot_index=log.snapshot.index if log.snapshot else 0,
            voters=configuration.voters if configuration else (),
            learners=(
                tuple(item.identity for item in configuration.learners)
                if configuration
                else ()
            ),
            lease_deadline_boot_ms=(
                self._leadership.last_lease_deadline_boot_ms
                if self._leadership
                else 0
            ),
        )

    def _tick(self, now: Instant) -> None:
        if self._core.configuration is None:
            self._bootstrap.tick(now)
            return
        if self._core.settings.open_membership:
            self._bootstrap.rejoin(now)
        if self._leadership is not None:
            self._leadership.tick(now)
        elif self._election.tick(now):
            self._lead(now)

    def _propose(self, payloads: tuple[bytes, ...], now: Instant) -> None:
        core = self._core
        index = None
        if self._leadership is not None:
            index = self._leadership.propose(payloads, now)
        core.out.answers.append(
            ProposalRefused(core.leader)
            if index is None
            else ProposalAccepted(index, core.term)
        )

    def _is_admissible(self, sender: str, message: PeerMessage) -> bool:
        """Return whether a message is for this identity and may count."""
        core = self._core
        header = message.header
        if (
            header.group != core.settings.group
            or name_of(header.sender) != sender
            or header.sender == core.identity
            or not (
                core.settings.open_membership or sender in core.settings.peers
            )
        ):
            return False
        if isinstance(message, JoinRequest):
            return True
        formation = core.formation
        if header.recipient != core.identity or (
            formation and header.formation and header.formation != formation
        ):
            return False
        match message:
            case AppendEntries() | SnapshotChunk() | TimeoutNow():
                # Only a leader whose configuration lists this identity
                # sends these.
                return True
            case JoinReply():
                return True
            case PreVoteRequest() | VoteRequest():
                # A candidate may have been admitted after the last entry
                # that this member holds.
                configuration = core.configuration
                return configuration is not None and (
                    header.sender in configuration.members
                    or message.configuration_index
                    > core.log.configuration_index
                )
            case _:
                configuration = core.configuration
                return (
                    configuration is not None
                    and header.sender in configuration.members
                )

    def _receive(self, message: PeerMessage, now: Instant) -> None:
        core = self._core
        match message:
            case JoinRequest():
                self._bootstrap.on_request(message)
                if self._leadership is not None:
                    self._leadership.admit(message.header.sender, now)
            case JoinReply():
                self._bootstrap.on_reply(message, now)
            case PreVoteRequest():
                self._election.on_pre_vote_request(
                    message, self._leader_is_alive(now)
                )
            case VoteRequest():
                self._election.on_vote_request(
                    message, now, self._leader_is_alive(now)
                )
            case AppendEntries():
                self._following.on_append(message, now)
            case SnapshotChunk():
                self._following.on_chunk(message, now)
            case TimeoutNow():
                if message.header.term == core.term:
                    if self._election.campaign(now, transfer=True):
                        self._lead(now)
            case _:
                self._receive_reply(message, now)

    def _receive_reply(
        self,
        reply: PreVoteReply | VoteReply | AppendReply | SnapshotReply,
        now: Instant,
    ) -> None:
        core = self._core
        if reply.header.term > core.term:
            core.become_follower(reply.header.term, "", now)
            return
        match reply:
            case PreVoteReply():
                if self._election.on_pre_vote_reply(reply, now):
                    self._lead(now)
            case VoteReply():
                if self._election.on_vote_reply(reply):
                    self._lead(now)
            case AppendReply():
                if self._leadership and reply.header.term == core.term:
                    self._leadership.on_append_reply(reply, now)
            case SnapshotReply():
                if self._leadership and reply.header.term == core.term:
                    self._leadership.on_snapshot_reply(reply, now)

    def _lead(self, now: Instant) -> None:
        self._leadership = Leadership(self._core, now)
        self._leadership.tick(now)

    def _leader_is_alive(self, now: Instant) -> bool:
        """Return whether a leader that this member follows may act."""
        core = self._core
        if self._leadership is not None:
            return self._leadership.is_alive(now)
        return now.boot_ms < (
            core.leader_heard_boot_ms + core.settings.election_timeout_min_ms
        )

    def _step_down_if_alone(self, now: Instant) -> None:
        if self._leadership is not None and not self._leadership.is_alive(now):
            self._core.become_follower(self._core.term, "", now)
            self._leadership = None

    def _report_leadership(self) -> None:
        core = self._core
        report = LeadershipChanged(
            self._leadership is not None and self._leadership.active,
            core.term,
            core.leader,
        )
        if report != self._reported:
            self._reported = report
            core.out.leadership = report
