"""Peer messages between the members of a group."""

import msgspec

from sardinespool.messages.base import Message
from sardinespool.messages.decoding import decode
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.entries import Entry


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Header of every peer message.

    `sender` and `recipient` are identities; the recipient of a join request
    is "". `formation` is a hash of the initial members of the sender's group
    and is "" if the sender has no configuration.
    """

    group: str
    sender: str
    recipient: str
    term: int
    formation: str


class PreVoteRequest(Message, frozen=True, kw_only=True):
    """Request that asks whether a vote for `proposed_term` would succeed."""

    header: Header
    proposed_term: int
    last_index: int
    last_term: int
    configuration_index: int


class PreVoteReply(Message, frozen=True, kw_only=True):
    """Reply to a `PreVoteRequest`; the voter's state doesn't change."""

    header: Header
    proposed_term: int
    granted: bool


class VoteRequest(Message, frozen=True, kw_only=True):
    """Request for a vote in the header's term.

    `transfer` is set when the leader of the previous term gave up its lease
    in favor of this candidate.
    """

    header: Header
    last_index: int
    last_term: int
    configuration_index: int
    transfer: bool = False


class VoteReply(Message, frozen=True, kw_only=True):
    """Reply to a `VoteRequest` in the header's term."""

    header: Header
    granted: bool


class AppendEntries(Message, frozen=True, kw_only=True):
    """Entries after `previous_index`; a heartbeat if there are none.

    `sent_boot_ms` is the leader's boot clock; the reply returns it.
    """

    header: Header
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_boot_ms: int


class AppendReply(Message, frozen=True, kw_only=True):
    """Reply to `AppendEntries`.

    If `success`, the log matches the leader's up to `match_index`. Otherwise
    `conflict_index` is the index to retry from and `conflict_term` is the
    term of the follower's entry at `previous_index`, or 0 if it has none.
    """

    header: Header
    success: bool
    previous_index: int
    match_index: int
    conflict_index: int
    conflict_term: int
    sent_boot_ms: int


class SnapshotChunk(Message, frozen=True, kw_only=True):
    """Part of a snapshot that starts at `offset_bytes`."""

    header: Header
    snapshot_index: int
    snapshot_term: int
    configuration: Configuration
    total_bytes: int
    offset_bytes: int
    data: bytes
    sent_boot_ms: int


class SnapshotReply(Message, frozen=True, kw_only=True):
    """Reply to a `SnapshotChunk`.

    `next_offset_bytes` is the number of bytes received. `done` is set if the
    follower has all state up to the snapshot's index.
    """

    header: Header
    snapshot_index: int
    next_offset_bytes: int
    done: bool
    sent_boot_ms: int


class TimeoutNow(Message, frozen=True, kw_only=True):
    """Leadership transfer: the recipient starts an election at once.

    The sender has given up its lease.
    """

    header: Header


class JoinRequest(Message, frozen=True, kw_only=True):
    """Request of a member to find and join its group."""

    header: Header
    bootstrap: bool


class JoinReply(Message, frozen=True, kw_only=True):
    """Reply to a `JoinRequest`.

    `initial_members` and `members` are empty if the sender has no
    configuration. `bootstrap` is the sender's setting.
    """

    header: Header
    bootstrap: bool
    initial_members: tuple[str, ...]
    members: tuple[str, ...] = ()


PeerMessage = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendEntries
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
    | JoinRequest
    | JoinReply
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
    PeerMessage
)


def encode_peer_message(message: PeerMessage) -> bytes:
    """Encode a message with its tag."""
    return _ENCODER.encode(message)


def decode_peer_message(data: bytes) -> PeerMessage:
    """Decode a message; raise `InvalidMessageError` if it is malformed."""
    return decode(_DECODER, data)
