"""Structured log lines under load and without a reader."""

import json
import os
import threading
import time

from sardinespool.observability.json_lines import EVENT_LINES_PER_S
from sardinespool.observability.json_lines import JsonLines
from sardinespool.observability.json_lines import QUEUE_LINES_MAX


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Return the lines of a pipe whose writing end is closed."""
    with os.fdopen(descriptor, "rb") as stream:
        return [json.loads(line) for line in stream]


def test_lines_parse_and_keep_their_ids() -> None:
    """Guards against lines that a program can't read."""
    reading, writing = os.pipe()
    lines = JsonLines(writing, "core-1")
    lines.emit("info", "dispatch", "assigned", {"task": "j\n.0", "run": 2})
    lines.close()
    os.close(writing)
    (line,) = read_lines(reading)
    assert line["process"] == "core-1"
    assert (line["part"], line["event"]) == ("dispatch", "assigned")
    assert (line["task"], line["run"]) == ("j\n.0", 2)
    assert isinstance(line["boot_ms"], int)


def test_repeated_event_is_capped_and_counted() -> None:
    """Guards against a volume that grows without bound under load."""
    reading, writing = os.pipe()
    result: list[dict[str, object]] = []
    reader = threading.Thread(
        target=lambda: result.extend(read_lines(reading))
    )
    reader.start()
    lines = JsonLines(writing, "core-1")
    emitted = 3 * EVENT_LINES_PER_S
    for number in range(emitted):
        lines.emit("info", "dispatch", "assigned", {"number": number})
    lines.close(timeout_s=30.0)
    os.close(writing)
    reader.join()
    written = sum(line["event"] == "assigned" for line in result)
    left_out = sum(
        int(str(line["count"]))
        for line in result
        if line["event"] == "lines left out"
    )
    assert written + left_out == emitted
    assert left_out > 0


def test_output_that_nobody_reads_blocks_nobody() -> None:
    """Guards against a process that waits for its log."""
    reading, writing = os.pipe()
    lines = JsonLines(writing, "core-1")
    for number in range(QUEUE_LINES_MAX + 2_000):
        # Distinct events, so that only the queue bounds them.
        lines.emit("info", "part", f"event {number}", {"text": "x" * 100})
    assert len(lines._lines) <= QUEUE_LINES_MAX
    os.close(reading)
    time.sleep(0)
