"""Tests of a single replica that is driven by messages."""

import msgspec
import pytest

from sardinespool.clock import Instant
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import encode_configuration
from sardinespool.replication.configuration import formation_id
from sardinespool.replication.effects import Apply
from sardinespool.replication.effects import Effect
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import ProposalAccepted
from sardinespool.replication.effects import ProposalRejected
from sardinespool.replication.effects import Send
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.events import Event
from sardinespool.replication.events import PeerMessageReceived
from sardinespool.replication.events import Propose
from sardinespool.replication.events import Tick
from sardinespool.replication.events import TransferLeadership
from sardinespool.replication.messages import AppendEntries
from sardinespool.replication.messages import AppendReply
from sardinespool.replication.messages import Header
from sardinespool.replication.messages import JoinReply
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.messages import PreVoteReply
from sardinespool.replication.messages import TimeoutNow
from sardinespool.replication.messages import VoteReply
from sardinespool.replication.messages import VoteRequest
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.replication.state import HardState
from sardinespool.replication.state import PersistedState

MEMBERS = ("a#1", "b#1", "c#1")
FORMATION = formation_id(MEMBERS)
FORMATION_ENTRY = Entry(
    1,
    1,
    EntryKind.CONFIGURATION,
    encode_configuration(Configuration(MEMBERS, MEMBERS)),
)
COMMAND_ENTRY = Entry(2, 2, EntryKind.COMMAND, b"old")
START_MS = 50_000
LATER_MS = START_MS + 5_000


def header(
    sender: str = "b#1", term: int = 3, recipient: str = "a#1"
) -> Header:
    return Header("g", sender, recipient, term, FORMATION)


class ReplicaDriver:
    """Replica "a" of three, with one command of term 2 in its log."""

    def __init__(self, state: PersistedState | None = None) -> None:
        settings = ReplicaSettings("g", "a", ("b", "c"), True)
        self.state = state or PersistedState(
            HardState("1", 2), None, (FORMATION_ENTRY, COMMAND_ENTRY)
        )
        self.replica = Replica(
            settings, self.state, 1, Instant(START_MS, START_MS)
        )

    def handle(self, event: Event, at_ms: int = LATER_MS) -> list[Effect]:
        return self.replica.handle(event, Instant(at_ms, at_ms))

    def receive(
        self, message: PeerMessage, at_ms: int = LATER_MS
    ) -> list[Effect]:
        sender = message.header.sender.partition("#")[0]
        return self.handle(PeerMessageReceived(sender, message), at_ms)

    def lead(self) -> None:
        """Win the election of term 3, which appends a no-op as entry 3."""
        self.handle(Tick())
        self.receive(
            PreVoteReply(header=header(term=2), proposed_term=3, granted=True)
        )
        self.receive(VoteReply(header=header(), granted=True))

    def acknowledge(
        self, match_index: int, sent_ms: int = LATER_MS, at_ms: int = LATER_MS
    ) -> list[Effect]:
        return self.receive(
            AppendReply(
                header=header(),
                success=True,
                previous_index=0,
                match_index=match_index,
                conflict_index=0,
                conflict_term=0,
                sent_boot_ms=sent_ms,
            ),
            at_ms,
        )

    def is_leader(self, at_ms: int) -> bool:
        return self.replica.is_leader(Instant(at_ms, at_ms))


def vote_request(sender: str, term: int, index: int = 2) -> VoteRequest:
    return VoteRequest(
        header=header(sender, term),
        last_index=index,
        last_term=2,
        configuration_index=1,
    )


def granted(effects: list[Effect]) -> bool:
    return any(
        isinstance(effect, Send)
        and isinstance(effect.message, VoteReply)
        and effect.message.granted
        for effect in effects
    )


def test_entry_of_earlier_term_is_committed_with_current_term() -> None:
    """A majority alone doesn't commit an entry of an earlier term.

    A later leader could still replace such an entry.
    """
    driver = ReplicaDriver()
    driver.lead()
    assert not any(isinstance(e, Apply) for e in driver.acknowledge(2))
    (apply,) = (e for e in driver.acknowledge(3) if isinstance(e, Apply))
    assert [e.index for e in apply.entries] == [1, 2, 3]


def test_vote_is_kept_across_restart() -> None:
    """A restarted member doesn't vote for a second candidate in a term."""
    driver = ReplicaDriver()
    effects = driver.receive(vote_request("b#1", 5))
    assert granted(effects)
    (persist,) = (e for e in effects if isinstance(e, Persist))
    assert persist.hard_state is not None
    restarted = ReplicaDriver(
        PersistedState(persist.hard_state, None, driver.state.entries)
    )
    assert not granted(restarted.receive(vote_request("c#1", 5)))
    assert granted(restarted.receive(vote_request("b#1", 5)))


@pytest.mark.parametrize(
    ("at_ms", "index", "expected"),
    [(START_MS + 1199, 2, False), (LATER_MS, 1, False), (LATER_MS, 2, True)],
)
def test_vote_needs_expired_lease_and_current_log(
    at_ms: int, index: int, expected: bool
) -> None:
    """No vote is granted during a lease or if the candidate's log lags."""
    driver = ReplicaDriver()
    assert granted(driver.receive(vote_request("b#1", 5, index), at_ms)) is (
        expected
    )


def test_lease_starts_at_send_time() -> None:
    """A delayed reply doesn't extend the lease."""
    driver = ReplicaDriver()
    driver.lead()
    driver.acknowledge(3, sent_ms=LATER_MS, at_ms=LATER_MS + 800)
    assert driver.is_leader(LATER_MS + 899)
    assert not driver.is_leader(LATER_MS + 900)
    effects = driver.handle(Propose((b"x",)), LATER_MS + 900)
    assert ProposalRejected("a#1") in effects


def test_leader_does_not_resume_after_transfer() -> None:
    """A late reply doesn't restore leadership after a transfer.

    Otherwise the old and the new leader could both hold a lease.
    """
    driver = ReplicaDriver()
    driver.lead()
    driver.acknowledge(3)
    effects = driver.handle(TransferLeadership())
    assert any(
        isinstance(e, Send) and isinstance(e.message, TimeoutNow)
        for e in effects
    )
    driver.acknowledge(3, LATER_MS + 10, LATER_MS + 10)
    assert not driver.is_leader(LATER_MS + 10)


def test_timeout_now_of_earlier_term_is_ignored() -> None:
    """A stale `TimeoutNow` doesn't bypass the lease of a later leader."""
    driver = ReplicaDriver()
    assert driver.receive(TimeoutNow(header=header(term=1))) == []


def test_proposals_are_appended_in_order() -> None:
    """Payloads get consecutive indexes, so results match their requests."""
    driver = ReplicaDriver()
    driver.lead()
    driver.acknowledge(3)
    effects = driver.handle(Propose((b"x", b"y")))
    assert ProposalAccepted(4, 3) in effects
    (persist,) = (e for e in effects if isinstance(e, Persist))
    assert [e.payload for e in persist.entries] == [b"x", b"y"]


@pytest.mark.parametrize(
    ("uncommitted", "added", "accepted"),
    [
        pytest.param(0.0, [2.0], True, id="large one alone"),
        pytest.param(0.4, [2.0], True, id="large one beside few"),
        pytest.param(0.6, [2.0], False, id="large one beside many"),
        pytest.param(0.4, [0.4, 0.4], False, id="batch above the limit"),
        pytest.param(0.6, [0.3], True, id="small one beside many"),
        pytest.param(0.9, [0.3], False, id="small one above the limit"),
    ],
)
def test_leader_limits_uncommitted_bytes(
    uncommitted: float, added: list[float], accepted: bool
) -> None:
    """Guards against a log without bound, and a command that never fits."""
    limit_bytes = ReplicaSettings("g", "a").uncommitted_limit_bytes
    driver = ReplicaDriver()
    driver.lead()
    driver.acknowledge(3)
    if uncommitted:
        driver.handle(Propose((bytes(int(uncommitted * limit_bytes)),)))
    payloads = tuple(bytes(int(share * limit_bytes)) for share in added)
    effects = driver.handle(Propose(payloads))
    rejected = ProposalRejected("a#1", log_full=True) in effects
    assert rejected is not accepted
    assert accepted is any(isinstance(e, ProposalAccepted) for e in effects)


def test_append_message_size_is_limited() -> None:
    """Entries are split so that a message stays below the frame limit."""
    driver = ReplicaDriver()
    driver.lead()
    driver.acknowledge(3)
    effects = driver.handle(Propose((bytes(100_000),) * 6))
    sizes = [
        sum(len(entry.payload) for entry in e.message.entries)
        for e in effects
        if isinstance(e, Send) and isinstance(e.message, AppendEntries)
    ]
    assert sizes == [200_000] * 3


def test_heartbeats_of_a_silent_member_repeat_no_entries() -> None:
    """Guards against probes that fill a slow link with copies of entries."""
    driver = ReplicaDriver()
    driver.lead()
    driver.acknowledge(3)
    driver.handle(Propose((bytes(100_000),) * 2))
    effects: list[Effect] = []
    for at_ms in range(LATER_MS, LATER_MS + 2_000, 50):
        effects += driver.acknowledge(5, at_ms, at_ms)
        effects += driver.handle(Tick(), at_ms)
    appends = [
        effect.message
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, AppendEntries)
        and effect.message.header.recipient == "c#1"
    ]
    assert len(appends) > 10
    assert [len(append.entries) for append in appends if append.entries] == []


@pytest.mark.parametrize(
    "changed",
    [
        {"group": "other"},
        {"recipient": "a#2"},
        {"sender": "b#2"},
        {"sender": "d#1"},
        {"formation": "other"},
    ],
)
def test_message_with_wrong_header_is_dropped(changed: dict[str, str]) -> None:
    """Messages of other groups and of replaced identities are ignored."""
    driver = ReplicaDriver()
    request = vote_request("b#1", 5)
    altered = msgspec.structs.replace(
        request, header=msgspec.structs.replace(request.header, **changed)
    )
    assert driver.receive(altered) == []
    assert granted(driver.receive(request))


@pytest.mark.parametrize(
    ("replies", "formed"),
    [
        ((("b#1", ()), ("c#1", ())), True),
        # b found a group that contains an earlier identity of a.
        ((("b#1", ()), ("b#1", ("a#0", "b#1", "c#1")), ("c#1", ())), False),
        ((("b#1", ()),), False),
    ],
)
def test_group_forms_only_after_all_peers_reply(
    replies: tuple[tuple[str, tuple[str, ...]], ...], formed: bool
) -> None:
    """A second group must not form while another one may exist."""
    driver = ReplicaDriver(PersistedState(HardState("1")))
    for sender, initial_members in replies:
        reply_header = header(sender, term=0)
        reply = JoinReply(
            header=msgspec.structs.replace(reply_header, formation=""),
            bootstrap=True,
            initial_members=initial_members,
        )
        driver.receive(reply)
    assert driver.replica.status().formed is formed
