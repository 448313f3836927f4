"""Virtual time with ordered callbacks."""

import heapq
import itertools
from collections.abc import Callable

from sardinespool.clock import Instant

_START_UNIX_MS = 1_700_000_000_000
_START_BOOT_MS = 1_000_000


class VirtualLoop:
    """Runs callbacks in the order of their virtual times (ms)."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, time_ms: float, callback: Callable[[], None]) -> None:
        """Call `callback` at `time_ms`."""
        heapq.heappush(self._heap, (time_ms, next(self._numbers), callback))

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call `callback` in `delay_ms`."""
        self.at(self.now_ms + delay_ms, callback)

    def run(self, until_ms: float) -> None:
        """Run all callbacks up to `until_ms`."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_ms = until_ms

    def instant(self) -> Instant:
        """Return the present time, rounded down to milliseconds."""
        elapsed_ms = int(self.now_ms)
        return Instant(
            _START_BOOT_MS + elapsed_ms, _START_UNIX_MS + elapsed_ms
        )


def elapsed_of(unix_ms: int) -> float:
    """Return the virtual time of a wall clock reading."""
    return float(unix_ms - _START_UNIX_MS)


def unix_of(time_ms: float) -> int:
    """Return the wall clock reading at a virtual time."""
    return _START_UNIX_MS + int(time_ms)
