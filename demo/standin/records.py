"""What a stand-in worker did, one JSON object a line."""

import pathlib
import time
from collections.abc import Iterator
from typing import Any

import msgspec


def unix_ms() -> int:
    """Return the wall clock in milliseconds."""
    return time.time_ns() // 1_000_000


class RecordFile:
    """Appends events to a file; each line is flushed at once.

    A worker that is killed leaves whole lines of what it had done.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("ab", buffering=0)

    def append(self, event: str, **values: Any) -> None:
        """Write one event with the present time."""
        line = {"unix_ms": unix_ms(), "event": event, **values}
        self._file.write(msgspec.json.encode(line) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read_records(path: pathlib.Path) -> Iterator[dict[str, Any]]:
    """Yield the whole lines of a record file."""
    if path.exists():
        for line in path.read_bytes().split(b"\n")[:-1]:
            yield msgspec.json.decode(line)
