"""Encoding of the records in log segments.

A record is a 33-byte header and a payload. The header contains, in
little-endian order, 4 bytes of magic, the payload length, a checksum, the
index, the term and the kind. The checksum is xxh64 of the length and of
everything that follows the checksum.
"""

import dataclasses
import enum
import struct
from collections.abc import Iterator

import xxhash

from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind

MAGIC = b"\xa7Sp1"
"""Start of a record; not valid UTF-8, so text payloads can't contain it."""

PAYLOAD_LIMIT_BYTES = 64 * 1024 * 1024
"""Longer records are treated as damaged; frames are limited to 8 MiB."""

_PREFIX = struct.Struct("<4sIQ")
_ENTRY_FIELDS = struct.Struct("<QQB")
_LENGTH = struct.Struct("<I")
HEADER_BYTES = _PREFIX.size + _ENTRY_FIELDS.size


class RecordKind(enum.IntEnum):
    """Kind of a record; the first three are the kinds of log entries."""

    COMMAND = EntryKind.COMMAND
    NO_OP = EntryKind.NO_OP
    CONFIGURATION = EntryKind.CONFIGURATION
    TRUNCATE = 4
    """Removes the entries from the record's index on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Decoded record with its start and end offsets in the segment."""

    index: int
    term: int
    kind: RecordKind
    payload: bytes
    offset: int
    end: int

    def entry(self) -> Entry:
        """Return the log entry; the kind must not be `TRUNCATE`."""
        return Entry(self.index, self.term, EntryKind(self.kind), self.payload)


def encode_record(
    index: int, term: int, kind: int, payload: bytes = b""
) -> bytes:
    """Return the encoded header and payload."""
    checksummed = _ENTRY_FIELDS.pack(index, term, kind) + payload
    checksum = _checksum(len(payload), checksummed)
    return _PREFIX.pack(MAGIC, len(payload), checksum) + checksummed


def read_record(data: bytes, offset: int) -> Record | None:
    """Return the record at `offset`, or None if it is invalid."""
    if len(data) - offset < HEADER_BYTES:
        return None
    magic, length, checksum = _PREFIX.unpack_from(data, offset)
    checksummed_start = offset + _PREFIX.size
    end = checksummed_start + _ENTRY_FIELDS.size + length
    if magic != MAGIC or length > PAYLOAD_LIMIT_BYTES or end > len(data):
        return None
    if _checksum(length, memoryview(data)[checksummed_start:end]) != checksum:
        return None
    index, term, kind = _ENTRY_FIELDS.unpack_from(data, checksummed_start)
    if kind not in RecordKind.__members__.values():
        return None
    payload = data[offset + HEADER_BYTES : end]
    return Record(index, term, RecordKind(kind), payload, offset, end)


def read_records(data: bytes) -> Iterator[Record]:
    """Yield records from the start until the first invalid one."""
    offset = 0
    while (record := read_record(data, offset)) is not None:
        yield record
        offset = record.end


def has_record_after(data: bytes, offset: int) -> bool:
    """Return whether a valid record starts after `offset`."""
    candidate = data.find(MAGIC, offset + 1)
    while candidate >= 0:
        if read_record(data, candidate) is not None:
            return True
        candidate = data.find(MAGIC, candidate + 1)
    return False


def _checksum(length: int, checksummed: bytes | memoryview) -> int:
    digest = xxhash.xxh64(_LENGTH.pack(length))
    digest.update(checksummed)
    return digest.intdigest()
