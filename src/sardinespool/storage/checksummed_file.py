"""Small files whose content is verified by a checksum."""

import pathlib
import struct

import xxhash

from sardinespool.storage.files import replace_file_atomically

_HEADER = struct.Struct("<4sQQ")
_MAGIC = b"SpF1"


def write_checksummed(path: pathlib.Path, content: bytes) -> None:
    """Durably replace a file by a header with a checksum and the content."""
    content_checksum = xxhash.xxh64_intdigest(content)
    header = _HEADER.pack(_MAGIC, len(content), content_checksum)
    replace_file_atomically(path, header, content)


def read_checksummed(path: pathlib.Path) -> memoryview | None:
    """Return the content, or None if the header or checksum is invalid."""
    data = path.read_bytes()
    if len(data) < _HEADER.size:
        return None
    magic, length, checksum = _HEADER.unpack_from(data)
    content = memoryview(data)[_HEADER.size :]
    if (
        magic != _MAGIC
        or length != len(content)
        or checksum != xxhash.xxh64_intdigest(content)
    ):
        return None
    return content
