"""When the bytes that a process reads can have arrived.

A process that was suspended, or blocked for long, reads bytes on waking that
arrived long before; the socket does not tell when.
"""

import asyncio
import collections
from collections.abc import Callable

from tornado.iostream import BaseIOStream

from sardinespool.clock import Instant

WATCH_INTERVAL_MS = 50
"""Interval of the watch; the bound of an arrival is at most three of these
earlier than the arrival in a process that is not held up."""


class LoopWatch:
    """Bounds the arrival of what the event loop reads.

    The loop polls all sockets once in each pass. What it reads in a pass was
    not there at the poll of the pass before, which came after all callbacks
    of the second last pass.

    Parameters
    ----------
    clock : callable
        Returns the current instant.
    """

    def __init__(self, clock: Callable[[], Instant]) -> None:
        self._clock = clock
        self._handle: asyncio.TimerHandle | None = None
        # The last three callbacks, each in another pass of the loop.
        self._boot_ms = collections.deque([clock().boot_ms] * 3, maxlen=3)

    @property
    def earliest_arrival_boot_ms(self) -> int:
        """Time after which the bytes that are read now have arrived."""
        return self._boot_ms[0]

    def start(self) -> None:
        """Watch the running event loop until `stop`."""
        self._record_pass()

    def stop(self) -> None:
        """Stop watching."""
        if self._handle is not None:
            self._handle.cancel()

    def _record_pass(self) -> None:
        self._boot_ms.append(self._clock().boot_ms)
        self._handle = asyncio.get_running_loop().call_later(
            WATCH_INTERVAL_MS / 1000, self._record_pass
        )


class ArrivalRecorder:
    """Records when the first byte of the request on a stream arrived.

    Parameters
    ----------
    stream : BaseIOStream
        Stream of a connection, not read yet.
    watch : LoopWatch
        Watch of the event loop.
    """

    def __init__(self, stream: BaseIOStream, watch: LoopWatch) -> None:
        self._stream = stream
        self._watch = watch
        self._first_boot_ms: int | None = None
        # The server creates its streams itself and takes no class for them.
        self._read_from_fd = stream.read_from_fd
        setattr(stream, "read_from_fd", self._read)  # noqa: B010

    @property
    def earliest_arrival_boot_ms(self) -> int:
        """Time after which the first byte of the request has arrived."""
        if self._first_boot_ms is None:
            return self._watch.earliest_arrival_boot_ms
        return self._first_boot_ms

    def expect_request(self) -> None:
        """Wait for the first byte of the next request.

        Bytes that were read ahead belong to it.
        """
        if not self._stream._read_buffer_size:
            self._first_boot_ms = None

    def _read(self, buffer: bytearray | memoryview) -> int | None:
        count = self._read_from_fd(buffer)
        if count and self._first_boot_ms is None:
            self._first_boot_ms = self._watch.earliest_arrival_boot_ms
        return count
