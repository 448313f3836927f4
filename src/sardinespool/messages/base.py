"""Base class of every message between processes."""

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Frozen data class that is encoded with its class name as tag.

    Unknown fields are ignored on decoding, so that a newer process can talk
    to an older one during a rolling upgrade.
    """


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Frozen data class that is a field of a message or of stored state."""
