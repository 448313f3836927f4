"""Entries of the replicated log."""

import enum

import msgspec

ENTRY_OVERHEAD_BYTES = 128
"""What an entry takes beside its payload, in memory; less in a file."""


class EntryKind(enum.IntEnum):
    """Type of the payload of an entry."""

    COMMAND = 1
    """Opaque bytes for the application's state machine."""
    NO_OP = 2
    """Empty payload; the first entry that a leader appends in its term."""
    CONFIGURATION = 3
    """An encoded `Configuration`."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry; indexes start at 1 and have no gaps."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes

    @property
    def size_bytes(self) -> int:
        """Size of the entry in memory; in a file it is smaller."""
        return len(self.payload) + ENTRY_OVERHEAD_BYTES
