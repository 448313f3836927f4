"""Small files whose content is protected by a checksum."""

import pathlib
import struct

import xxhash

from sardinespool.storage.files import replace_file

_HEADER = struct.Struct("<4sQQ")
_MAGIC = b"SpF1"


def write_checked(path: pathlib.Path, content: bytes) -> None:
    """Replace a file durably by checksum and content."""
    digest = xxhash.xxh64_intdigest(content)
    header = _HEADER.pack(_MAGIC, len(content), digest)
    replace_file(path, header + content)


def read_checked(path: pathlib.Path) -> bytes | None:
    """Return the content, or None if the checksum does not match."""
    data = path.read_bytes()
    if len(data) < _HEADER.size:
        return None
    magic, length, checksum = _HEADER.unpack_from(data)
    content = data[_HEADER.size :]
    if (
        magic != _MAGIC
        or length != len(content)
        or checksum != xxhash.xxh64_intdigest(content)
    ):
        return None
    return content
