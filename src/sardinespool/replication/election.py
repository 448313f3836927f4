"""Leader election: pre-votes, votes and election timeouts."""

from sardinespool.clock import Instant
from sardinespool.replication.messages import PreVoteReply
from sardinespool.replication.messages import PreVoteRequest
from sardinespool.replication.messages import VoteReply
from sardinespool.replication.messages import VoteRequest
from sardinespool.replication.raft_state import RaftState
from sardinespool.replication.status import Role


class Election:
    """Election logic of a candidate and of a voter."""

    def __init__(self, raft: RaftState) -> None:
        self._raft = raft
        self._granted_by: set[str] = set()
        self._transfer = False
        self._repeat_due_boot_ms = 0

    def tick(self, now: Instant) -> bool:
        """Start an election on timeout; return whether it is won."""
        raft = self._raft
        if not raft.is_voter:
            return False
        assert raft.configuration is not None
        if raft.configuration.voters == (raft.identity,):
            return self.campaign(now, transfer=False)
        if now.boot_ms >= raft.election_deadline_boot_ms:
            self._request_pre_votes(now)
        elif (
            raft.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
            and now.boot_ms >= self._repeat_due_boot_ms
        ):
            # On a link that loses packets, a lost request or reply is sent
            # again sooner if others follow it.
            self._send_requests(now)
        return False

    def campaign(self, now: Instant, transfer: bool) -> bool:
        """Request votes in the next term; return whether it is won.

        `transfer` is set when the leader requested the election, so that
        voters ignore its lease.
        """
        raft = self._raft
        if not raft.is_voter:
            return False
        raft.role = Role.CANDIDATE
        raft.leader = ""
        raft.set_term(raft.term + 1, raft.identity)
        raft.reset_election_timer(now)
        self._granted_by = {raft.identity}
        self._transfer = transfer
        self._send_requests(now)
        return self._has_majority()

    def on_pre_vote_request(
        self, request: PreVoteRequest, now: Instant, leader_is_alive: bool
    ) -> None:
        """Reply to a pre-vote request; term and vote stay unchanged.

        Who grants one leaves the sender some time to be elected. Of two that
        request pre-votes at once, only one goes on: with one voter of three
        lost, neither could win against the other.
        """
        raft = self._raft
        sender = request.header.sender
        granted = (
            request.proposed_term > raft.term
            and not leader_is_alive
            and self._is_log_up_to_date(request.last_index, request.last_term)
            and (
                raft.role is not Role.PRE_CANDIDATE
                or self._precedes(request, sender)
            )
        )
        if granted:
            if raft.role is Role.PRE_CANDIDATE:
                raft.become_follower(raft.term, "", now)
            raft.postpone_election(now)
        raft.send(
            sender,
            PreVoteReply(
                header=raft.header(sender),
                proposed_term=request.proposed_term,
                granted=granted,
            ),
        )

    def on_pre_vote_reply(self, reply: PreVoteReply, now: Instant) -> bool:
        """Count a pre-vote; return whether the election is won."""
        raft = self._raft
        if (
            raft.role is not Role.PRE_CANDIDATE
            or not reply.granted
            or reply.proposed_term != raft.term + 1
        ):
            return False
        self._granted_by.add(reply.header.sender)
        return self._has_majority() and self.campaign(now, transfer=False)

    def on_vote_request(
        self, request: VoteRequest, now: Instant, leader_is_alive: bool
    ) -> None:
        """Reply to a vote request; grant at most one vote per term."""
        raft = self._raft
        sender = request.header.sender
        granted = False
        # While a leader may hold a lease, a request changes neither the term
        # nor the vote.
        if request.transfer or not leader_is_alive:
            if request.header.term > raft.term:
                raft.become_follower(request.header.term, "", now)
            granted = (
                request.header.term == raft.term
                and raft.vote in ("", sender)
                and self._is_log_up_to_date(
                    request.last_index, request.last_term
                )
            )
        if granted:
            raft.become_follower(raft.term, "", now)
            if not raft.vote:
                raft.set_term(raft.term, sender)
            raft.reset_election_timer(now)
        raft.send(
            sender, VoteReply(header=raft.header(sender), granted=granted)
        )

    def on_vote_reply(self, reply: VoteReply) -> bool:
        """Count a vote; return whether the election is won."""
        raft = self._raft
        if (
            raft.role is not Role.CANDIDATE
            or not reply.granted
            or reply.header.term != raft.term
        ):
            return False
        self._granted_by.add(reply.header.sender)
        return self._has_majority()

    def _request_pre_votes(self, now: Instant) -> None:
        raft = self._raft
        raft.role = Role.PRE_CANDIDATE
        raft.leader = ""
        raft.reset_election_timer(now)
        self._granted_by = {raft.identity}
        self._send_requests(now)

    def _send_requests(self, now: Instant) -> None:
        """Send the requests of this election that are not granted yet."""
        raft = self._raft
        self._repeat_due_boot_ms = (
            now.boot_ms + raft.settings.heartbeat_interval_ms
        )
        for voter in self._other_voters():
            if voter in self._granted_by:
                continue
            if raft.role is Role.CANDIDATE:
                raft.send(
                    voter,
                    VoteRequest(
                        header=raft.header(voter),
                        last_index=raft.log.last_index,
                        last_term=raft.log.last_term,
                        configuration_index=raft.log.configuration_index,
                        transfer=self._transfer,
                    ),
                )
            else:
                raft.send(
                    voter,
                    PreVoteRequest(
                        header=raft.header(voter),
                        proposed_term=raft.term + 1,
                        last_index=raft.log.last_index,
                        last_term=raft.log.last_term,
                        configuration_index=raft.log.configuration_index,
                    ),
                )

    def _precedes(self, request: PreVoteRequest, sender: str) -> bool:
        """Return whether the sender goes first of two pre-candidates."""
        raft = self._raft
        return (request.last_term, request.last_index, sender) > (
            raft.log.last_term,
            raft.log.last_index,
            raft.identity,
        )

    def _other_voters(self) -> list[str]:
        configuration = self._raft.configuration
        assert configuration is not None
        return [
            voter
            for voter in configuration.voters
            if voter != self._raft.identity
        ]

    def _has_majority(self) -> bool:
        configuration = self._raft.configuration
        assert configuration is not None
        granted = self._granted_by.intersection(configuration.voters)
        return len(granted) >= configuration.majority

    def _is_log_up_to_date(self, last_index: int, last_term: int) -> bool:
        log = self._raft.log
        return (last_term, last_index) >= (log.last_term, log.last_index)
