"""Base classes of messages between processes and of their fields."""

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Frozen data class that is encoded with its class name as its tag.

    Unknown fields are ignored on decoding, so that processes of different
    versions can communicate during a rolling upgrade.
    """


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Frozen data class nested in a message or in stored state."""
