"""Sending of a batch's messages, entries apart from all others."""

from collections.abc import Callable
from collections.abc import Iterable

from sardinespool.replication.effects import Effect
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.effects import Send
from sardinespool.replication.messages import AppendEntries
from sardinespool.replication.messages import PeerMessage

Durable = list[Persist | PersistSnapshot]
"""Effects that share one sync."""
SendMessage = Callable[[str, PeerMessage], None]


def may_precede_sync(durable: Durable) -> bool:
    """Return whether a leader's entries may leave before its own sync.

    Followers then sync meanwhile; the leader counts itself only from the
    next batch on. A new term or vote must be durable first.
    """
    return not any(
        isinstance(effect, Persist) and effect.hard_state for effect in durable
    )


def send_entries(effects: Iterable[Effect], send: SendMessage) -> None:
    """Send a leader's entries and heartbeats."""
    for effect in effects:
        if isinstance(effect, Send) and isinstance(
            effect.message, AppendEntries
        ):
            send(effect.to, effect.message)


def send_others(effects: Iterable[Effect], send: SendMessage) -> None:
    """Send votes, replies and snapshots, which need a sync before."""
    for effect in effects:
        if isinstance(effect, Send) and not isinstance(
            effect.message, AppendEntries
        ):
            send(effect.to, effect.message)
