"""Record files: actions of a stand-in worker as JSON lines."""

import pathlib
import time
from collections.abc import Iterator
from typing import Any

import msgspec


def unix_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class RecordFile:
    """Appends events to a file, one unbuffered write per event.

    A worker that is killed leaves complete records of its earlier actions.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("ab", buffering=0)

    def append(self, event: str, **values: Any) -> None:
        """Append an event with the current time."""
        record = {"unix_ms": unix_ms(), "event": event, **values}
        self._file.write(msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Close the record file."""
        self._file.close()


def read_records(path: pathlib.Path) -> Iterator[dict[str, Any]]:
    """Yield the complete records of a file; none if it does not exist."""
    if path.exists():
        for line in path.read_bytes().split(b"\n")[:-1]:
            yield msgspec.json.decode(line)
