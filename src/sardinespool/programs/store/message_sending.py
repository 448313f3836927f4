"""Order of sending a batch's messages relative to its sync."""

from collections.abc import Callable
from collections.abc import Iterable

from sardinespool.replication.effects import Effect
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.effects import Send
from sardinespool.replication.messages import AppendEntries
from sardinespool.replication.messages import PeerMessage

DiskEffects = list[Persist | PersistSnapshot]
"""Effects that are persisted with one sync."""
SendMessage = Callable[[str, PeerMessage], None]


def can_send_before_sync(durable_effects: DiskEffects) -> bool:
    """Return whether `AppendEntries` may be sent before the sync.

    Followers then sync in parallel with the leader, which counts its own
    copy from the next batch on. A new term or vote must be synced first.
    """
    return not any(
        isinstance(effect, Persist) and effect.hard_state
        for effect in durable_effects
    )


def send_entries(effects: Iterable[Effect], send: SendMessage) -> None:
    """Send `AppendEntries` messages, which include heartbeats."""
    for effect in effects:
        if isinstance(effect, Send) and isinstance(
            effect.message, AppendEntries
        ):
            send(effect.recipient, effect.message)


def send_other_messages(effects: Iterable[Effect], send: SendMessage) -> None:
    """Send votes, replies and snapshots, which must follow the sync."""
    for effect in effects:
        if isinstance(effect, Send) and not isinstance(
            effect.message, AppendEntries
        ):
            send(effect.recipient, effect.message)
