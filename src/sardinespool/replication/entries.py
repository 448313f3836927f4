"""Entries of the replicated log."""

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """What the payload of an entry is."""

    COMMAND = 1
    """Opaque bytes of the owner."""
    NO_OP = 2
    """Empty; a leader's first entry of its term."""
    CONFIGURATION = 3
    """An encoded `Configuration`."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry; indexes start at 1 and have no gaps."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes
