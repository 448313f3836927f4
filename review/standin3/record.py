"""Record of what was sent, answered and run in a case."""

import pathlib
import time
from types import TracebackType


class Record:
    """Writes one line an event, with the time since the start.

    Parameters
    ----------
    path : pathlib.Path
        File that is written.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def __enter__(self) -> "Record":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._file.close()

    def now_ms(self) -> int:
        """Return the milliseconds since the start of the case."""
        return int((time.monotonic() - self._started) * 1000)

    def write(self, actor: str, text: str) -> None:
        """Add a line."""
        line = f"{self.now_ms() / 1000:8.3f} s  {actor:<10} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)
