"""State of a replica that survives a restart."""

import dataclasses

import msgspec

from sardinespool.replication.configuration import Configuration
from sardinespool.replication.entries import Entry


class HardState(msgspec.Struct, frozen=True):
    """Term, vote and incarnation of one data folder.

    `vote` is the identity that got this member's vote in `term`, or "".
    """

    incarnation: str
    term: int = 0
    vote: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """State machine after entry `index`, with the members at that entry."""

    index: int
    term: int
    configuration: Configuration
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PersistedState:
    """What a data folder holds; `entries` follow the snapshot."""

    hard_state: HardState
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()
