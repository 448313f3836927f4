"""Encoding of the records in log segments.

A record is a 33-byte header and a payload. The header contains, in
little-endian order, 4 bytes of magic, the payload length, a checksum, the
index, the term and the kind. The checksum is xxh64 of the length and of
everything that follows the checksum.
"""

import dataclasses
import enum
import io
import struct
from collections.abc import Iterator
from typing import BinaryIO

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
    """Decoded record."""

    index: int
    term: int
    kind: RecordKind
    payload: bytes

    @property
    def size_bytes(self) -> int:
        """Size of the encoded record."""
        return HEADER_BYTES + len(self.payload)

    def entry(self) -> Entry:
        """Return the log entry; the kind must not be `TRUNCATE`."""
        return Entry(self.index, self.term, EntryKind(self.kind), self.payload)


def encode_record(
    index: int, term: int, kind: int, payload: bytes = b""
) -> bytes:
    """Return the encoded header and payload."""
    fields = _ENTRY_FIELDS.pack(index, term, kind)
    checksum = _checksum(fields, payload)
    return _PREFIX.pack(MAGIC, len(payload), checksum) + fields + payload


def read_record(file: BinaryIO) -> Record | None:
    """Return the record at the position of `file`, or None if invalid."""
    header = file.read(HEADER_BYTES)
    if len(header) < HEADER_BYTES:
        return None
    magic, length, checksum = _PREFIX.unpack_from(header)
    if magic != MAGIC or length > PAYLOAD_LIMIT_BYTES:
        return None
    payload = file.read(length)
    fields = header[_PREFIX.size :]
    if len(payload) < length or _checksum(fields, payload) != checksum:
        return None
    index, term, kind = _ENTRY_FIELDS.unpack(fields)
    if kind not in RecordKind.__members__.values():
        return None
    return Record(index, term, RecordKind(kind), payload)


def read_records(file: BinaryIO) -> Iterator[Record]:
    """Yield records from the start of `file` until the first invalid one."""
    while (record := read_record(file)) is not None:
        yield record


def has_record_after(data: bytes, offset: int) -> bool:
    """Return whether a valid record starts after `offset`."""
    file = io.BytesIO(data)
    candidate = data.find(MAGIC, offset + 1)
    while candidate >= 0:
        file.seek(candidate)
        if read_record(file) is not None:
            return True
        candidate = data.find(MAGIC, candidate + 1)
    return False


def _checksum(fields: bytes, payload: bytes) -> int:
    digest = xxhash.xxh64(_LENGTH.pack(len(payload)))
    digest.update(fields)
    digest.update(payload)
    return digest.intdigest()
