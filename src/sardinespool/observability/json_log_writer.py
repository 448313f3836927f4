"""Structured log lines, written asynchronously with bounded memory.

A thread writes the lines from a bounded queue, so that an output without a
reader neither blocks the process nor uses more memory than the bound. The
number of lines of each event and level per second is limited; a log line
reports how many were dropped. A write contains whole lines unless one line is
longer than a write.
"""

import collections
import errno
import os
import select
import threading
import time
from typing import Any

import msgspec

QUEUE_LINES_MAX = 5_000
"""Maximum number of queued lines; about 1 MB."""
EVENT_LINES_PER_S_MAX = 300
"""Maximum number of lines of one event and level in a second; the largest
deployment starts 680 tasks per second at peak and 120 on average. Warnings
have their own limit, so that expected events do not displace them."""
WRITE_BYTES_MAX = select.PIPE_BUF
"""Maximum size of a write. A pipe keeps writes of this size in one piece, and
readers that take each write as a message often have small buffers."""
RETRY_INTERVAL_MS = 100
"""Interval between attempts to write to an output that refuses data."""

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class JsonLogWriter:
    """Encodes events as JSON and writes them in a separate thread.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output.
    process : str
        Name of the process, part of each line.
    """

    def __init__(self, descriptor: int, process: str) -> None:
        self._descriptor = descriptor
        self._process = process
        self._queue: collections.deque[bytes] = collections.deque()
        self._available_lines = threading.Semaphore(0)
        self._current_second = 0
        self._event_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._dropped_lines = 0
        self._closed = False
        self._writer_thread = threading.Thread(
            target=self._write_lines, daemon=True
        )
        self._writer_thread.start()

    def emit(
        self, level: str, part: str, event: str, fields: dict[str, Any]
    ) -> None:
        """Queue one event; drop it if its limit or the queue is exceeded."""
        now_ms = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
        second = now_ms // 1_000
        if second != self._current_second:
            self._report_dropped(now_ms)
            self._current_second = second
        self._event_counts[event, level] += 1
        if self._event_counts[event, level] <= EVENT_LINES_PER_S_MAX:
            self._enqueue(now_ms, level, part, event, fields)

    def close(self, timeout_s: float = 0.5) -> None:
        """Write the queued lines; give up after `timeout_s`."""
        self._report_dropped(
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
        )
        self._closed = True
        self._available_lines.release()
        self._writer_thread.join(timeout_s)

    def _report_dropped(self, now_ms: int) -> None:
        for (event, level), count in self._event_counts.items():
            if count > EVENT_LINES_PER_S_MAX:
                self._enqueue(
                    now_ms,
                    "warning",
                    "logs",
                    "log lines dropped",
                    {
                        "of": event,
                        "of_level": level,
                        "count": count - EVENT_LINES_PER_S_MAX,
                    },
                )
        self._event_counts.clear()
        if self._dropped_lines:
            count, self._dropped_lines = self._dropped_lines, 0
            self._enqueue(
                now_ms,
                "warning",
                "logs",
                "log lines dropped",
                {"of": "all events", "count": count},
            )

    def _enqueue(
        self,
        now_ms: int,
        level: str,
        part: str,
        event: str,
        fields: dict[str, Any],
    ) -> None:
        if len(self._queue) >= QUEUE_LINES_MAX:
            self._dropped_lines += 1
            return
        line = {
            "boot_ms": now_ms,
            "unix_ms": time.time_ns() // 1_000_000,
            "level": level,
            "process": self._process,
            "part": part,
            "event": event,
            **fields,
        }
        self._queue.append(_ENCODER.encode(line) + b"\n")
        self._available_lines.release()

    def _write_lines(self) -> None:
        while True:
            self._available_lines.acquire()
            if not self._write(self._next_batch()):
                return
            if self._closed and not self._queue:
                return

    def _next_batch(self) -> bytes:
        """Remove and return the queued lines that fit into one write."""
        batch: list[bytes] = []
        size_bytes = 0
        while self._queue:
            size_bytes += len(self._queue[0])
            if batch and size_bytes > WRITE_BYTES_MAX:
                break
            batch.append(self._queue.popleft())
        return b"".join(batch)

    def _write(self, unwritten: bytes) -> bool:
        """Write all bytes; return False if the output has no reader left."""
        while unwritten:
            try:
                written = os.write(
                    self._descriptor, unwritten[:WRITE_BYTES_MAX]
                )
            except BlockingIOError:
                self._wait_until_writable()
            except OSError as error:
                if error.errno in (errno.EPIPE, errno.EBADF):
                    # The error can't be logged either.
                    return False
                # A full disk, for example, may accept data again.
                time.sleep(RETRY_INTERVAL_MS / 1_000)
            else:
                unwritten = unwritten[written:]
        return True

    def _wait_until_writable(self) -> None:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        poll.poll(RETRY_INTERVAL_MS)
