"""Effects that a replica asks its owner to execute.

The owner executes the effects of one batch in this order: all `Persist` and
`PersistSnapshot` with one sync, then all `Send`, then the others in the
order of the batch.
"""

import dataclasses

from sardinespool.replication.entries import Entry
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.state import HardState
from sardinespool.replication.state import Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Store the hard state, drop entries from `truncate_from`, append."""

    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    truncate_from: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Store a snapshot.

    Stored entries after it are kept only if the stored entry at its index
    has its term, or if the log starts right after it.
    """

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the member with the configured name `to`."""

    to: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries; only `EntryKind.COMMAND` has a command."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the state machine; `index` is the last entry it contains."""

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """The leader or the term changed; `leader` is an identity or "".

    `is_leader` is true once this replica's first entry of its term has been
    applied.
    """

    is_leader: bool
    term: int
    leader: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalAccepted:
    """The payloads are entries `first_index` onwards of `term`.

    A proposal is committed when `Apply` has an entry of its index and term;
    it is lost when an entry of another term is applied at its index.
    """

    first_index: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalRefused:
    """Nothing was appended; `leader` is an identity or ""."""

    leader: str


Effect = (
    Persist
    | PersistSnapshot
    | Send
    | Apply
    | InstallSnapshot
    | LeadershipChanged
    | ProposalAccepted
    | ProposalRefused
)
