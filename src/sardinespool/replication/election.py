"""Pre-votes, votes and election timeouts."""

from sardinespool.clock import Instant
from sardinespool.replication.core import Core
from sardinespool.replication.messages import PreVoteReply
from sardinespool.replication.messages import PreVoteRequest
from sardinespool.replication.messages import VoteReply
from sardinespool.replication.messages import VoteRequest
from sardinespool.replication.status import Role


class Election:
    """Candidate's and voter's side of elections."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._granted: set[str] = set()

    def tick(self, now: Instant) -> bool:
        """Start an election if it is due; return whether it is won."""
        core = self._core
        if not core.is_voter:
            return False
        assert core.configuration is not None
        if core.configuration.voters == (core.identity,):
            return self.campaign(now, transfer=False)
        if now.boot_ms >= core.election_deadline_boot_ms:
            self._ask_pre_votes(now)
        return False

    def campaign(self, now: Instant, transfer: bool) -> bool:
        """Ask for votes in the next term; return whether it is won."""
        core = self._core
        if not core.is_voter:
            return False
        core.role = Role.CANDIDATE
        core.leader = ""
        core.set_term(core.term + 1, core.identity)
        core.reset_election_timer(now)
        self._granted = {core.identity}
        for voter in self._other_voters():
            core.send(
                voter,
                VoteRequest(
                    header=core.header(voter),
                    last_index=core.log.last_index,
                    last_term=core.log.last_term,
                    configuration_index=core.log.configuration_index,
                    transfer=transfer,
                ),
            )
        return self._has_majority()

    def on_pre_vote_request(
        self, request: PreVoteRequest, leader_is_alive: bool
    ) -> None:
        """Answer without changing term or vote."""
        core = self._core
        granted = (
            request.proposed_term > core.term
            and not leader_is_alive
            and self._is_current(request.last_index, request.last_term)
        )
        sender = request.header.sender
        core.send(
            sender,
            PreVoteReply(
                header=core.header(sender),
                proposed_term=request.proposed_term,
                granted=granted,
            ),
        )

    def on_pre_vote_reply(self, reply: PreVoteReply, now: Instant) -> bool:
        """Count a pre-vote; return whether the election is won."""
        core = self._core
        if (
            core.role is not Role.PRE_CANDIDATE
            or not reply.granted
            or reply.proposed_term != core.term + 1
        ):
            return False
        self._granted.add(reply.header.sender)
        return self._has_majority() and self.campaign(now, transfer=False)

    def on_vote_request(
        self, request: VoteRequest, now: Instant, leader_is_alive: bool
    ) -> None:
        """Grant at most one vote in a term."""
        core = self._core
        sender = request.header.sender
        granted = False
        # While a leader may hold a lease, the request changes nothing here.
        if request.transfer or not leader_is_alive:
            if request.header.term > core.term:
                core.become_follower(request.header.term, "", now)
            granted = (
                request.header.term == core.term
                and core.vote in ("", sender)
                and self._is_current(request.last_index, request.last_term)
            )
        if granted:
            core.become_follower(core.term, "", now)
            if not core.vote:
                core.set_term(core.term, sender)
            core.reset_election_timer(now)
        core.send(
            sender, VoteReply(header=core.header(sender), granted=granted)
        )

    def on_vote_reply(self, reply: VoteReply) -> bool:
        """Count a vote; return whether the election is won."""
        core = self._core
        if (
            core.role is not Role.CANDIDATE
            or not reply.granted
            or reply.header.term != core.term
        ):
            return False
        self._granted.add(reply.header.sender)
        return self._has_majority()

    def _ask_pre_votes(self, now: Instant) -> None:
        core = self._core
        core.role = Role.PRE_CANDIDATE
        core.leader = ""
        core.reset_election_timer(now)
        self._granted = {core.identity}
        for voter in self._other_voters():
            core.send(
                voter,
                PreVoteRequest(
                    header=core.header(voter),
                    proposed_term=core.term + 1,
                    last_index=core.log.last_index,
                    last_term=core.log.last_term,
                    configuration_index=core.log.configuration_index,
                ),
            )

    def _other_voters(self) -> list[str]:
        configuration = self._core.configuration
        assert configuration is not None
        return [
            voter
            for voter in configuration.voters
            if voter != self._core.identity
        ]

    def _has_majority(self) -> bool:
        configuration = self._core.configuration
        assert configuration is not None
        granted = self._granted.intersection(configuration.voters)
        return len(granted) >= configuration.majority

    def _is_current(self, last_index: int, last_term: int) -> bool:
        log = self._core.log
        return (last_term, last_index) >= (log.last_term, log.last_index)
