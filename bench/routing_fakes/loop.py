"""Event loop in virtual time."""

import heapq
import itertools
from collections.abc import Callable

from sardinespool.clock import Instant

_START_UNIX_MS = 1_700_000_000_000
_START_BOOT_MS = 1_000_000


class VirtualLoop:
    """Runs callbacks in the order of their virtual times in ms."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_at(self, time_ms: float, callback: Callable[[], None]) -> None:
        """Schedule `callback` at `time_ms`."""
        heapq.heappush(self._heap, (time_ms, next(self._sequence), callback))

    def call_later(
        self, delay_ms: float, callback: Callable[[], None]
    ) -> None:
        """Schedule `callback` after `delay_ms`."""
        self.call_at(self.now_ms + delay_ms, callback)

    def run(self, until_ms: float) -> None:
        """Run all callbacks up to `until_ms`."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_ms = until_ms

    def instant(self) -> Instant:
        """Return the current time, rounded down to milliseconds."""
        elapsed_ms = int(self.now_ms)
        return Instant(
            _START_BOOT_MS + elapsed_ms, _START_UNIX_MS + elapsed_ms
        )


def virtual_ms(unix_ms: int) -> float:
    """Return the virtual time of a wall-clock time."""
    return float(unix_ms - _START_UNIX_MS)


def wall_clock_ms(time_ms: float) -> int:
    """Return the wall-clock time of a virtual time."""
    return _START_UNIX_MS + int(time_ms)
