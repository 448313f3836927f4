"""Events that drive a replica."""

import dataclasses

from sardinespool.replication.messages import PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due at least every 50 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message of another member; `sender` is its configured name."""

    sender: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Append commands to the log, in this order."""

    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The owner encoded its state after applying entry `index`."""

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Let another voter lead, before a graceful stop.

    The transfer is complete when `LeadershipChanged` reports another leader.
    Without a voter that answers, nothing happens.
    """


Event = (
    Tick | PeerMessageReceived | Propose | SnapshotTaken | TransferLeadership
)
