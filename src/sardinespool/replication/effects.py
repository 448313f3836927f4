"""Effects that a replica returns for its caller to execute.

The caller executes the effects of one batch in this order: all `Persist` and
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
    """Store the hard state, truncate the log, then append entries.

    A field that is None changes nothing. Truncation removes the entries
    with index `truncate_from` and above.
    """

    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    truncate_from: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Store a snapshot.

    The entries after it are kept only if the stored entry at the snapshot's
    index has the snapshot's term, or if the log starts right after it.
    """

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the member with the configured name `recipient`."""

    recipient: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries; only `EntryKind.COMMAND` holds a command."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the state machine by a snapshot that ends at `index`."""

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """The leader or the term changed; `leader` is an identity or "".

    `is_leader` is true once this replica, as leader, has applied the first
    entry of its term.
    """

    is_leader: bool
    term: int
    leader: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalAccepted:
    """The payloads were appended at `first_index` and above in `term`.

    A proposal is committed when `Apply` contains an entry with its index and
    term. It is lost when an entry of another term is applied at its index.
    """

    first_index: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalRejected:
    """No payload was appended; `leader` is an identity or "".

    `log_full` is true if this replica leads, but its uncommitted entries
    leave no room for the payloads.
    """

    leader: str
    log_full: bool = False


Effect = (
    Persist
    | PersistSnapshot
    | Send
    | Apply
    | InstallSnapshot
    | LeadershipChanged
    | ProposalAccepted
    | ProposalRejected
)
