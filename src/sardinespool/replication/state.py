"""Persistent state of a replica."""

import dataclasses

import msgspec

from sardinespool.replication.configuration import Configuration
from sardinespool.replication.entries import Entry


class HardState(msgspec.Struct, frozen=True):
    """Term, vote and incarnation of a replica.

    `vote` is the identity that this replica voted for in `term`, or "".
    """

    incarnation: str
    term: int = 0
    vote: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """State machine and configuration after applying entry `index`."""

    index: int
    term: int
    configuration: Configuration
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PersistedState:
    """State loaded from a data folder; `entries` follow the snapshot."""

    hard_state: HardState
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
