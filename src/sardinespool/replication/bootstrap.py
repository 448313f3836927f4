"""Forms a group or finds the one to join.

A member without a configuration asks all configured peers. Only if all of
them answer that they have none either, and are set to bootstrap, the member
with the smallest name forms the group. The others, and initial members that
missed it, learn the initial members from any member that knows them.
"""

from sardinespool.clock import Instant
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import encode_configuration
from sardinespool.replication.core import Core
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.identity import name_of
from sardinespool.replication.messages import JoinReply
from sardinespool.replication.messages import JoinRequest
from sardinespool.replication.status import Role

FORMATION_TERM = 1
"""Term of the first entry, which all initial members write themselves."""

ANSWER_AGE_INTERVALS = 3
"""Join intervals for which an answer counts; a peer may lose its disk."""


class Bootstrap:
    """State before the first configuration is known."""

    def __init__(self, core: Core, now: Instant) -> None:
        self._core = core
        self._request_due_boot_ms = now.boot_ms
        self._answers: dict[str, tuple[str, int]] = {}
        self._known: dict[str, str] = {}
        self._other_members: set[str] = set()
        self._group_exists = False

    def tick(self, now: Instant) -> None:
        """Ask the peers, or form a group of one."""
        core = self._core
        if core.settings.bootstrap and not core.settings.peers:
            self._form((core.identity,), now)
            return
        if now.boot_ms < self._request_due_boot_ms:
            return
        self._request_due_boot_ms = (
            now.boot_ms + core.settings.join_interval_ms
        )
        if core.leader and (
            now.boot_ms
            < core.leader_heard_boot_ms + core.settings.election_timeout_min_ms
        ):
            return
        self._ask()

    def rejoin(self, now: Instant) -> None:
        """Ask to join again if no leader was heard from for long.

        A voter that was silent for long may have been removed meanwhile.
        """
        core = self._core
        if (
            core.role is Role.LEADER
            or now.boot_ms < self._request_due_boot_ms
            or now.boot_ms
            < core.leader_heard_boot_ms + core.settings.election_timeout_max_ms
        ):
            return
        self._request_due_boot_ms = (
            now.boot_ms + core.settings.join_interval_ms
        )
        self._ask()

    def _ask(self) -> None:
        core = self._core
        peers = set(core.settings.peers) | self._other_members
        if core.configuration is not None:
            peers.update(map(name_of, core.configuration.members))
        peers.discard(core.settings.name)
        for peer in sorted(peers):
            core.send(
                peer,
                JoinRequest(
                    header=core.header(""), bootstrap=core.settings.bootstrap
                ),
            )

    def on_request(self, request: JoinRequest) -> None:
        """Tell the sender what this member knows."""
        core = self._core
        sender = request.header.sender
        self._known[name_of(sender)] = sender
        configuration = core.configuration
        core.send(
            sender,
            JoinReply(
                header=core.header(sender),
                bootstrap=core.settings.bootstrap,
                initial_members=(
                    configuration.initial_members if configuration else ()
                ),
                members=configuration.members if configuration else (),
            ),
        )

    def on_reply(self, reply: JoinReply, now: Instant) -> None:
        """Adopt or form the group if the answers allow it."""
        core = self._core
        sender = reply.header.sender
        name = name_of(sender)
        if core.settings.open_membership:
            self._other_members.update(map(name_of, reply.members))
        if core.configuration is not None:
            return
        # A delayed answer of an identity whose disk was lost since.
        if self._known.get(name, sender) != sender:
            return
        if reply.initial_members:
            self._group_exists = True
            if core.identity in reply.initial_members:
                self._form(reply.initial_members, now)
            return
        if not reply.bootstrap:
            self._answers.pop(name, None)
            return
        self._answers[name] = (sender, now.boot_ms)
        self._form_if_agreed(now)

    def _form_if_agreed(self, now: Instant) -> None:
        core = self._core
        settings = core.settings
        # A member that stored entries or a term has been part of a group.
        if (
            not settings.bootstrap
            or self._group_exists
            or core.term
            or core.log.last_index
            or min(settings.peers) < settings.name
        ):
            return
        oldest_ms = now.boot_ms - (
            ANSWER_AGE_INTERVALS * settings.join_interval_ms
        )
        identities = [core.identity]
        for peer in settings.peers:
            answer = self._answers.get(peer)
            if answer is None or answer[1] < oldest_ms:
                return
            identities.append(answer[0])
        self._form(tuple(sorted(identities)), now)
        for identity in identities[1:]:
            core.send(
                identity,
                JoinReply(
                    header=core.header(identity),
                    bootstrap=True,
                    initial_members=tuple(sorted(identities)),
                ),
            )
        # The others are known to be up, so an early election wins at once.
        core.election_deadline_boot_ms = (
            now.boot_ms + 2 * settings.heartbeat_interval_ms
        )

    def _form(self, initial_members: tuple[str, ...], now: Instant) -> None:
        core = self._core
        if core.log.last_index:
            return
        configuration = Configuration(initial_members, initial_members)
        if core.term < FORMATION_TERM:
            core.set_term(FORMATION_TERM, "")
            # Without a term, this identity never acknowledged a leader.
            core.leader_heard_boot_ms = (
                now.boot_ms - core.settings.election_timeout_max_ms
            )
        core.append(
            (
                Entry(
                    1,
                    FORMATION_TERM,
                    EntryKind.CONFIGURATION,
                    encode_configuration(configuration),
                ),
            )
        )
        # All initial members hold this entry, so it is committed.
        core.commit_to(1)
        core.reset_election_timer(now)
