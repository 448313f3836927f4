"""Record of what was sent, answered and run."""

import pathlib
import threading
import time


class Record:
    """Lines with the time since the start, in a file and on the screen."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def add(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            line = f"{self.now():8.3f} {text}"
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)
