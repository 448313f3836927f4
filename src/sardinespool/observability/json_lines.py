"""Structured log lines on standard output; bounded and never blocking.

A writer thread takes lines from a bounded queue, so that an output that
nobody reads costs memory up to the bound and no time. Events that repeat
are capped for each second, and a line says how many were left out.
"""

import collections
import os
import threading
import time
from typing import Any

import msgspec

QUEUE_LINES_MAX = 5_000
"""Lines that wait for the output; about 1 MB."""
EVENT_LINES_PER_S = 300
"""Lines of one event in a second; the largest deployment so far starts 680
tasks a second at its peak and 120 on average."""
BATCH_LINES = 200
"""Lines that one write takes."""

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class JsonLines:
    """Encodes events and writes them from a thread of its own.

    Parameters
    ----------
    descriptor : int
        File descriptor of the output.
    process : str
        Name of the process, in every line.
    """

    def __init__(self, descriptor: int, process: str) -> None:
        self._descriptor = descriptor
        self._process = process
        self._lines: collections.deque[bytes] = collections.deque()
        self._wake = threading.Semaphore(0)
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._left_out = 0
        self._closed = False
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def emit(
        self, level: str, part: str, event: str, ids: dict[str, Any]
    ) -> None:
        """Queue one event; drop it if its cap or the queue is full."""
        now_ms = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
        second = now_ms // 1_000
        if second != self._second:
            self._end_second(now_ms)
            self._second = second
        self._counts[event] += 1
        if self._counts[event] <= EVENT_LINES_PER_S:
            self._put(now_ms, level, part, event, ids)

    def close(self, timeout_s: float = 0.5) -> None:
        """Write what is queued, if the output takes it in time."""
        self._end_second(
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
        )
        self._closed = True
        self._wake.release()
        self._thread.join(timeout_s)

    def _end_second(self, now_ms: int) -> None:
        for event, count in self._counts.items():
            if count > EVENT_LINES_PER_S:
                self._put(
                    now_ms,
                    "warning",
                    "logs",
                    "lines left out",
                    {"of": event, "count": count - EVENT_LINES_PER_S},
                )
        self._counts.clear()
        if self._left_out:
            count, self._left_out = self._left_out, 0
            self._put(
                now_ms,
                "warning",
                "logs",
                "lines left out",
                {"of": "all events", "count": count},
            )

    def _put(
        self,
        now_ms: int,
        level: str,
        part: str,
        event: str,
        ids: dict[str, Any],
    ) -> None:
        if len(self._lines) >= QUEUE_LINES_MAX:
            self._left_out += 1
            return
        line = {
            "boot_ms": now_ms,
            "unix_ms": time.time_ns() // 1_000_000,
            "level": level,
            "process": self._process,
            "part": part,
            "event": event,
            **ids,
        }
        self._lines.append(_ENCODER.encode(line) + b"\n")
        self._wake.release()

    def _write(self) -> None:
        while True:
            self._wake.acquire()
            batch: list[bytes] = []
            while self._lines and len(batch) < BATCH_LINES:
                batch.append(self._lines.popleft())
            data = b"".join(batch)
            while data:
                try:
                    data = data[os.write(self._descriptor, data) :]
                except OSError:
                    # Nobody reads any more; there is nowhere to report it.
                    return
            if self._closed and not self._lines:
                return
