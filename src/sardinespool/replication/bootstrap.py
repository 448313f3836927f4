"""Group formation and discovery of an existing group.

A member without a configuration sends join requests to all configured peers.
If every peer replies that it has no configuration either and that it is set
to bootstrap, the member with the smallest name forms the group. The others,
and initial members that missed the formation, learn the initial members from
any member that has a configuration.
"""

from sardinespool.clock import Instant
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import encode_configuration
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.identity import member_name
from sardinespool.replication.messages import JoinReply
from sardinespool.replication.messages import JoinRequest
from sardinespool.replication.raft_state import RaftState
from sardinespool.replication.status import Role

FORMATION_TERM = 1
"""Term of the first entry, which every initial member appends locally."""

REPLY_VALIDITY_INTERVALS = 3
"""Join intervals for which a reply is valid.

The peer may lose its disk after it has replied.
"""


class Bootstrap:
    """Discovery state of a member that may not belong to a group yet."""

    def __init__(self, raft: RaftState, now: Instant) -> None:
        self._raft = raft
        self._next_request_boot_ms = now.boot_ms
        self._bootstrap_replies: dict[str, tuple[str, int]] = {}
        self._known_identities: dict[str, str] = {}
        self._requested_boot_ms: dict[str, int] = {}
        self._discovered_peers: set[str] = set()
        self._group_exists = False

    def tick(self, now: Instant) -> None:
        """Send join requests when due, or form a single-member group."""
        raft = self._raft
        if raft.settings.bootstrap and not raft.settings.peers:
            self._form_group((raft.identity,), now)
            return
        if now.boot_ms < self._next_request_boot_ms:
            return
        self._next_request_boot_ms = (
            now.boot_ms + raft.settings.join_interval_ms
        )
        if raft.leader and (
            now.boot_ms
            < raft.leader_contact_boot_ms
            + raft.settings.election_timeout_min_ms
        ):
            return
        self._send_join_requests()

    def request_rejoin(self, now: Instant) -> None:
        """Send join requests if no leader has been in contact recently.

        A voter that was unreachable may have been removed in the meantime.
        """
        raft = self._raft
        if (
            raft.role is Role.LEADER
            or now.boot_ms < self._next_request_boot_ms
            or now.boot_ms
            < raft.leader_contact_boot_ms
            + raft.settings.election_timeout_max_ms
        ):
            return
        self._next_request_boot_ms = (
            now.boot_ms + raft.settings.join_interval_ms
        )
        self._send_join_requests()

    def _send_join_requests(self) -> None:
        raft = self._raft
        peers = set(raft.settings.peers) | self._discovered_peers
        if raft.configuration is not None:
            peers.update(map(member_name, raft.configuration.members))
        peers.discard(raft.settings.name)
        for peer in sorted(peers):
            raft.send(
                peer,
                JoinRequest(
                    header=raft.header(""), bootstrap=raft.settings.bootstrap
                ),
            )

    def recent_requesters(self, now: Instant) -> list[str]:
        """Return the identities that send join requests now.

        A new leader needs not wait for their next requests.
        """
        interval_ms = self._raft.settings.join_interval_ms
        return [
            self._known_identities[name]
            for name, requested_boot_ms in self._requested_boot_ms.items()
            if now.boot_ms < requested_boot_ms + 2 * interval_ms
        ]

    def on_request(self, request: JoinRequest, now: Instant) -> None:
        """Reply with the members known to this replica."""
        raft = self._raft
        sender = request.header.sender
        self._requested_boot_ms[member_name(sender)] = now.boot_ms
        self._known_identities[member_name(sender)] = sender
        configuration = raft.configuration
        raft.send(
            sender,
            JoinReply(
                header=raft.header(sender),
                bootstrap=raft.settings.bootstrap,
                initial_members=(
                    configuration.initial_members if configuration else ()
                ),
                members=configuration.members if configuration else (),
            ),
        )

    def on_reply(self, reply: JoinReply, now: Instant) -> None:
        """Join an existing group or form one if the replies allow it."""
        raft = self._raft
        sender = reply.header.sender
        name = member_name(sender)
        if raft.settings.open_membership:
            self._discovered_peers.update(map(member_name, reply.members))
        if raft.configuration is not None:
            return
        # Ignore a delayed reply from an identity whose disk has been lost.
        if self._known_identities.get(name, sender) != sender:
            return
        if reply.initial_members:
            self._group_exists = True
            if raft.identity in reply.initial_members:
                self._form_group(reply.initial_members, now)
            return
        if not reply.bootstrap:
            self._bootstrap_replies.pop(name, None)
            return
        self._bootstrap_replies[name] = (sender, now.boot_ms)
        self._form_group_if_agreed(now)

    def _form_group_if_agreed(self, now: Instant) -> None:
        raft = self._raft
        settings = raft.settings
        # A replica with a stored term or entries has been in a group before.
        if (
            not settings.bootstrap
            or self._group_exists
            or raft.term
            or raft.log.last_index
            or min(settings.peers) < settings.name
        ):
            return
        oldest_valid_boot_ms = now.boot_ms - (
            REPLY_VALIDITY_INTERVALS * settings.join_interval_ms
        )
        identities = [raft.identity]
        for peer in settings.peers:
            known_reply = self._bootstrap_replies.get(peer)
            if known_reply is None or known_reply[1] < oldest_valid_boot_ms:
                return
            identities.append(known_reply[0])
        self._form_group(tuple(sorted(identities)), now)
        for identity in identities[1:]:
            raft.send(
                identity,
                JoinReply(
                    header=raft.header(identity),
                    bootstrap=True,
                    initial_members=tuple(sorted(identities)),
                ),
            )
        # All other members have just replied, so an early election succeeds.
        raft.election_deadline_boot_ms = (
            now.boot_ms + 2 * settings.heartbeat_interval_ms
        )

    def _form_group(
        self, initial_members: tuple[str, ...], now: Instant
    ) -> None:
        raft = self._raft
        if raft.log.last_index:
            return
        configuration = Configuration(initial_members, initial_members)
        if raft.term < FORMATION_TERM:
            raft.set_term(FORMATION_TERM, "")
            # An identity without a term has never acknowledged a leader, so
            # it need not wait for a lease to expire.
            raft.leader_contact_boot_ms = (
                now.boot_ms - raft.settings.election_timeout_max_ms
            )
        raft.append(
            (
                Entry(
                    1,
                    FORMATION_TERM,
                    EntryKind.CONFIGURATION,
                    encode_configuration(configuration),
                ),
            )
        )
        # Every initial member appends this entry, so it is committed.
        raft.advance_commit_index(1)
        raft.reset_election_timer(now)
