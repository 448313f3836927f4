"""Records of log segments.

A record is a 33-byte header and a payload. The header holds, little-endian:
4 bytes of magic, payload length, xxh64 of all that follows it and of the
length, index, term and kind.
"""

import dataclasses
import enum
import struct
from collections.abc import Iterator

import xxhash

from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind

MAGIC = b"\xa7Sp1"
"""Not valid UTF-8, so text payloads never contain it."""

PAYLOAD_LIMIT_BYTES = 64 * 1024 * 1024
"""Larger lengths are taken as damage; frames are limited to 8 MiB."""

_PREFIX = struct.Struct("<4sIQ")
_CHECKED = struct.Struct("<QQB")
_LENGTH = struct.Struct("<I")
HEADER_BYTES = _PREFIX.size + _CHECKED.size


class RecordKind(enum.IntEnum):
    """Kinds of records; the first three are those of entries."""

    COMMAND = EntryKind.COMMAND
    NO_OP = EntryKind.NO_OP
    CONFIGURATION = EntryKind.CONFIGURATION
    TRUNCATE = 4
    """The entries from the record's index on are dropped."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record and where it starts and ends in its segment."""

    index: int
    term: int
    kind: RecordKind
    payload: bytes
    offset: int
    end: int

    def entry(self) -> Entry:
        """Return the entry; the kind must not be `TRUNCATE`."""
        return Entry(self.index, self.term, EntryKind(self.kind), self.payload)


def encode_record(
    index: int, term: int, kind: int, payload: bytes = b""
) -> bytes:
    """Return header and payload."""
    checked = _CHECKED.pack(index, term, kind) + payload
    checksum = _checksum(len(payload), checked)
    return _PREFIX.pack(MAGIC, len(payload), checksum) + checked


def read_record(data: bytes, offset: int) -> Record | None:
    """Return the record at `offset`, or None if it is not valid."""
    if len(data) - offset < HEADER_BYTES:
        return None
    magic, length, checksum = _PREFIX.unpack_from(data, offset)
    start = offset + _PREFIX.size
    end = start + _CHECKED.size + length
    if magic != MAGIC or length > PAYLOAD_LIMIT_BYTES or end > len(data):
        return None
    if _checksum(length, memoryview(data)[start:end]) != checksum:
        return None
    index, term, kind = _CHECKED.unpack_from(data, start)
    if kind not in RecordKind.__members__.values():
        return None
    payload = data[offset + HEADER_BYTES : end]
    return Record(index, term, RecordKind(kind), payload, offset, end)


def read_records(data: bytes) -> Iterator[Record]:
    """Yield the valid records from the start, up to the first bad one."""
    offset = 0
    while (record := read_record(data, offset)) is not None:
        yield record
        offset = record.end


def has_record_after(data: bytes, offset: int) -> bool:
    """Return whether a valid record starts after `offset`."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if read_record(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _checksum(length: int, checked: bytes | memoryview) -> int:
    digest = xxhash.xxh64(_LENGTH.pack(length))
    digest.update(checked)
    return digest.intdigest()
