"""Replica of a group as a state machine that performs no I/O."""

from sardinespool.clock import Instant
from sardinespool.replication.bootstrap import Bootstrap
from sardinespool.replication.effects import Effect
from sardinespool.replication.effects import LeadershipChanged
from sardinespool.replication.effects import ProposalAccepted
from sardinespool.replication.effects import ProposalRejected
from sardinespool.replication.election import Election
from sardinespool.replication.events import Event
from sardinespool.replication.events import PeerMessageReceived
from sardinespool.replication.events import Propose
from sardinespool.replication.events import SnapshotTaken
from sardinespool.replication.events import Tick
from sardinespool.replication.events import TransferLeadership
from sardinespool.replication.identity import member_name
from sardinespool.replication.leadership import Leadership
from sardinespool.replication.log_receiver import LogReceiver
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
from sardinespool.replication.raft_state import RaftState
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.replication.state import PersistedState
from sardinespool.replication.status import ReplicaStatus
from sardinespool.replication.status import Role


class Replica:
    """Deterministic state machine that maps events to effects.

    Parameters
    ----------
    settings : ReplicaSettings
        Group, member names and timing.
    state : PersistedState
        State loaded from the data folder; the incarnation in its hard state
        must not be empty.
    seed : int
        Seed of the random election timeouts; must differ between members.
    now : Instant
        Current time.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        state: PersistedState,
        seed: int,
        now: Instant,
    ) -> None:
        self._raft = RaftState(settings, state, seed, now)
        self._election = Election(self._raft)
        self._log_receiver = LogReceiver(self._raft)
        self._bootstrap = Bootstrap(self._raft, now)
        self._leadership: Leadership | None = None
        self._last_reported_leadership = LeadershipChanged(
            False, self._raft.term, ""
        )

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process one event.

        The returned effects must be executed, in the order given in
        `replication.effects`, before those of a later event. Once this
        method returns, the replica treats its own entries as persisted.
        """
        self._step_down_without_quorum(now)
        match event:
            case Tick():
                self._tick(now)
            case PeerMessageReceived(sender, message):
                if self._accepts_message(sender, message):
                    self._receive(message, now)
            case Propose(payloads):
                self._propose(payloads, now)
            case SnapshotTaken(index, data):
                previous = self._raft.log.snapshot
                self._raft.record_snapshot(index, data)
                if previous is not None and self._leadership is not None:
                    self._leadership.on_snapshot_taken(previous.index)
            case TransferLeadership():
                if self._leadership is not None:
                    self._leadership.start_transfer(now)
        if self._raft.role is not Role.LEADER:
            self._leadership = None
        self._report_leadership()
        return self._raft.effects.drain()

    def is_leader(self, now: Instant) -> bool:
        """Return whether this replica leads and holds a valid lease.

        It may then act as leader and serve reads.
        """
        return self._leadership is not None and self._leadership.has_lease(now)

    def status(self) -> ReplicaStatus:
        """Return the status for metrics and state dumps."""
        raft = self._raft
        configuration = raft.configuration
        log = raft.log
        return ReplicaStatus(
            identity=raft.identity,
            formed=configuration is not None,
            role=raft.role,
            term=raft.term,
            leader=raft.leader,
            commit_index=raft.commit_index,
            applied_index=raft.commit_index,
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
        if self._raft.configuration is None:
            self._bootstrap.tick(now)
            return
        if self._raft.settings.open_membership:
            self._bootstrap.request_rejoin(now)
        if self._leadership is not None:
            self._leadership.tick(now)
            self._admit_requesters(now)
        elif self._election.tick(now):
            self._become_leader(now)

    def _admit_requesters(self, now: Instant) -> None:
        if self._leadership is None:
            return
        for identity in self._bootstrap.recent_requesters(now):
            self._leadership.consider_join_request(identity, now)

    def _propose(self, payloads: tuple[bytes, ...], now: Instant) -> None:
        raft = self._raft
        index = None
        log_full = False
        if self._leadership is not None:
            log_full = not self._leadership.has_room(payloads)
            if not log_full:
                index = self._leadership.propose(payloads, now)
        raft.effects.proposal_results.append(
            ProposalRejected(raft.leader, log_full)
            if index is None
            else ProposalAccepted(index, raft.term)
        )

    def _accepts_message(self, sender: str, message: PeerMessage) -> bool:
        """Return whether the message is valid for this identity and group."""
        raft = self._raft
        header = message.header
        if (
            header.group != raft.settings.group
            or member_name(header.sender) != sender
            or header.sender == raft.identity
            or not (
                raft.settings.open_membership or sender in raft.settings.peers
            )
        ):
            return False
        if isinstance(message, JoinRequest):
            return True
        formation = raft.formation
        if header.recipient != raft.identity or (
            formation and header.formation and header.formation != formation
        ):
            return False
        match message:
            case AppendEntries() | SnapshotChunk() | TimeoutNow():
                # Only a leader whose configuration contains this identity
                # sends these messages.
                return True
            case JoinReply():
                return True
            case PreVoteRequest() | VoteRequest():
                # The candidate may have been added by an entry that this
                # member has not received yet.
                configuration = raft.configuration
                return configuration is not None and (
                    header.sender in configuration.members
                    or message.configuration_index
                    > raft.log.configuration_index
                )
            case _:
                configuration = raft.configuration
                return (
                    configuration is not None
                    and header.sender in configuration.members
                )

    def _receive(self, message: PeerMessage, now: Instant) -> None:
        raft = self._raft
        match message:
            case JoinRequest():
                self._bootstrap.on_request(message, now)
                self._admit_requesters(now)
            case JoinReply():
                self._bootstrap.on_reply(message, now)
            case PreVoteRequest():
                self._election.on_pre_vote_request(
                    message, now, self._is_leader_alive(now)
                )
            case VoteRequest():
                self._election.on_vote_request(
                    message, now, self._is_leader_alive(now)
                )
            case AppendEntries():
                self._log_receiver.on_append(message, now)
            case SnapshotChunk():
                self._log_receiver.on_chunk(message, now)
            case TimeoutNow():
                if message.header.term == raft.term:
                    if self._election.campaign(now, transfer=True):
                        self._become_leader(now)
            case _:
                self._receive_reply(message, now)

    def _receive_reply(
        self,
        reply: PreVoteReply | VoteReply | AppendReply | SnapshotReply,
        now: Instant,
    ) -> None:
        raft = self._raft
        if reply.header.term > raft.term:
            raft.become_follower(reply.header.term, "", now)
            return
        match reply:
            case PreVoteReply():
                if self._election.on_pre_vote_reply(reply, now):
                    self._become_leader(now)
            case VoteReply():
                if self._election.on_vote_reply(reply):
                    self._become_leader(now)
            case AppendReply():
                if self._leadership and reply.header.term == raft.term:
                    self._leadership.on_append_reply(reply, now)
            case SnapshotReply():
                if self._leadership and reply.header.term == raft.term:
                    self._leadership.on_snapshot_reply(reply, now)

    def _become_leader(self, now: Instant) -> None:
        self._leadership = Leadership(self._raft, now)
        self._leadership.tick(now)

    def _is_leader_alive(self, now: Instant) -> bool:
        """Return whether a current leader may hold a lease."""
        raft = self._raft
        if self._leadership is not None:
            return self._leadership.has_quorum_contact(now)
        return now.boot_ms < (
            raft.leader_contact_boot_ms + raft.settings.election_timeout_min_ms
        )

    def _step_down_without_quorum(self, now: Instant) -> None:
        if (
            self._leadership is not None
            and not self._leadership.has_quorum_contact(now)
        ):
            self._raft.become_follower(self._raft.term, "", now)
            self._leadership = None

    def _report_leadership(self) -> None:
        raft = self._raft
        report = LeadershipChanged(
            self._leadership is not None
            and self._leadership.has_committed_in_term,
            raft.term,
            raft.leader,
        )
        if report != self._last_reported_leadership:
            self._last_reported_leadership = report
            raft.effects.leadership_change = report
