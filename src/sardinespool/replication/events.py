"""Input events of a replica."""

import dataclasses

from sardinespool.replication.messages import PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the caller sends one at least every 50 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another member; `sender` is its configured name."""

    sender: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """A request to append commands to the log in this order."""

    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The application encoded its state after applying entry `index`."""

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TransferLeadership:
    """A request to hand leadership to another voter before a shutdown.

    The transfer is complete when `LeadershipChanged` reports another leader.
    It is ignored if no other voter responds.
    """


Event = (
    Tick | PeerMessageReceived | Propose | SnapshotTaken | TransferLeadership
)
