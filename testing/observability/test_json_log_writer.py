"""Tests of structured log lines under load and without a reader."""

import json
import os
import threading
import time

from sardinespool.observability.json_log_writer import EVENT_LINES_PER_S_MAX
from sardinespool.observability.json_log_writer import JsonLogWriter
from sardinespool.observability.json_log_writer import QUEUE_LINES_MAX


def read_lines(descriptor: int) -> list[dict[str, object]]:
    """Read the lines of a pipe whose write end is closed."""
    with os.fdopen(descriptor, "rb") as stream:
        return [json.loads(line) for line in stream]


def test_lines_are_json_with_the_given_fields() -> None:
    """Guards against lines that can't be parsed."""
    read_descriptor, write_descriptor = os.pipe()
    lines = JsonLogWriter(write_descriptor, "core-1")
    lines.emit("info", "dispatch", "assigned", {"task": "j\n.0", "run": 2})
    lines.close()
    os.close(write_descriptor)
    (line,) = read_lines(read_descriptor)
    assert line["process"] == "core-1"
    assert (line["part"], line["event"]) == ("dispatch", "assigned")
    assert (line["task"], line["run"]) == ("j\n.0", 2)
    assert isinstance(line["boot_ms"], int)


def test_lines_over_the_event_limit_are_counted() -> None:
    """Guards against unbounded log volume under load."""
    read_descriptor, write_descriptor = os.pipe()
    parsed_lines: list[dict[str, object]] = []
    reader_thread = threading.Thread(
        target=lambda: parsed_lines.extend(read_lines(read_descriptor))
    )
    reader_thread.start()
    lines = JsonLogWriter(write_descriptor, "core-1")
    emitted = 3 * EVENT_LINES_PER_S_MAX
    for number in range(emitted):
        lines.emit("info", "dispatch", "assigned", {"number": number})
    lines.close(timeout_s=30.0)
    os.close(write_descriptor)
    reader_thread.join()
    written = sum(line["event"] == "assigned" for line in parsed_lines)
    dropped = sum(
        int(str(line["count"]))
        for line in parsed_lines
        if line["event"] == "log lines dropped"
    )
    assert written + dropped == emitted
    assert dropped > 0


def test_output_without_reader_does_not_block() -> None:
    """Guards against a process that blocks on its log output."""
    read_descriptor, write_descriptor = os.pipe()
    lines = JsonLogWriter(write_descriptor, "core-1")
    for number in range(QUEUE_LINES_MAX + 2_000):
        # Distinct events, so that only the queue limit applies.
        lines.emit("info", "part", f"event {number}", {"text": "x" * 100})
    assert len(lines._queue) <= QUEUE_LINES_MAX
    os.close(read_descriptor)
    time.sleep(0)
