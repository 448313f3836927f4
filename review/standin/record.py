"""Record of what was sent, answered and run."""

import pathlib
import time
from typing import Any


class Record:
    """Writes one line for each event to ``record.txt`` of a case.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._start_s = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    @property
    def now_s(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._start_s

    def line(self, event: str, **fields: Any) -> None:
        """Write an event with its fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s:9.3f} {event} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
