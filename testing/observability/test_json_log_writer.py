"""Tests of structured log lines under load and without a reader."""

import errno
import json
import os
import select
import socket
import threading
import time

import pytest

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


def test_warnings_are_not_displaced_by_expected_events() -> None:
    """Guards against failed runs that are missing in the log of a busy core.

    The ends of other runs had used up the limit of the event.
    """
    read_descriptor, write_descriptor = os.pipe()
    parsed_lines: list[dict[str, object]] = []
    reader_thread = threading.Thread(
        target=lambda: parsed_lines.extend(read_lines(read_descriptor))
    )
    reader_thread.start()
    lines = JsonLogWriter(write_descriptor, "core-1")
    for number in range(2 * EVENT_LINES_PER_S_MAX):
        lines.emit("info", "dispatch", "run ended", {"number": number})
    for number in range(EVENT_LINES_PER_S_MAX):
        lines.emit("warning", "dispatch", "run ended", {"number": number})
    lines.close(timeout_s=30.0)
    os.close(write_descriptor)
    reader_thread.join()
    assert [
        line["number"]
        for line in parsed_lines
        if (line["event"], line["level"]) == ("run ended", "warning")
    ] == list(range(EVENT_LINES_PER_S_MAX))


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


def emit_numbered(lines: JsonLogWriter, count: int, text_bytes: int) -> None:
    """Emit events of distinct names, so that no limit of events applies."""
    for number in range(count):
        lines.emit(
            "info", "part", f"event {number}", {"text": "x" * text_bytes}
        )


def event_names(data: bytes) -> list[object]:
    """Return the events of written lines."""
    return [json.loads(line)["event"] for line in data.splitlines()]


@pytest.mark.parametrize(
    "text_bytes",
    [
        pytest.param(100, id="short lines"),
        pytest.param(1_500, id="two lines fill a write"),
        pytest.param(select.PIPE_BUF, id="lines longer than a write"),
    ],
)
def test_lines_are_not_cut_by_a_reader_of_8_kib_messages(
    text_bytes: int,
) -> None:
    """Guards against writes that a reader with a small buffer truncates."""
    reader, writer = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    lines = JsonLogWriter(writer.fileno(), "core-1")
    # More than the socket holds, so that lines are queued and batched.
    count = 4_000 if text_bytes == 100 else 400
    emit_numbered(lines, count, text_bytes)
    messages: list[bytes] = []

    def read_messages() -> None:
        while message := reader.recv(8_192):
            messages.append(message)

    reader_thread = threading.Thread(target=read_messages)
    reader_thread.start()
    lines.close(timeout_s=30.0)
    writer.close()
    reader_thread.join()
    reader.close()
    assert event_names(b"".join(messages)) == [
        f"event {number}" for number in range(count)
    ]


def test_writes_contain_whole_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against lines that other writers of the output can cut."""
    read_descriptor, write_descriptor = os.pipe()
    writes: list[bytes] = []
    first_write_may_end = threading.Event()
    real_write = os.write

    def record_write(descriptor: int, data: bytes) -> int:
        if descriptor != write_descriptor:
            return real_write(descriptor, data)
        first_write_may_end.wait()
        writes.append(data)
        return len(data)

    monkeypatch.setattr(os, "write", record_write)
    lines = JsonLogWriter(write_descriptor, "core-1")
    emit_numbered(lines, 1_000, 100)
    first_write_may_end.set()
    lines.close(timeout_s=30.0)
    os.close(read_descriptor)
    os.close(write_descriptor)
    assert len(event_names(b"".join(writes))) == 1_000
    assert all(data.endswith(b"\n") for data in writes)
    assert max(map(len, writes)) <= select.PIPE_BUF
    # The number of system calls stays well below the number of lines.
    assert len(writes) < 1_000 / 10


def test_non_blocking_output_gets_all_lines() -> None:
    """Guards against a log that ends when a non-blocking pipe is full once."""
    read_descriptor, write_descriptor = os.pipe()
    os.set_blocking(write_descriptor, False)
    lines = JsonLogWriter(write_descriptor, "core-1")
    emit_numbered(lines, 2_000, 100)
    parsed_lines: list[dict[str, object]] = []
    reader_thread = threading.Thread(
        target=lambda: parsed_lines.extend(read_lines(read_descriptor))
    )
    reader_thread.start()
    lines.close(timeout_s=30.0)
    os.close(write_descriptor)
    reader_thread.join()
    assert [line["event"] for line in parsed_lines] == [
        f"event {number}" for number in range(2_000)
    ]


@pytest.mark.parametrize(
    ("error_number", "goes_on"),
    [
        (errno.EAGAIN, True),
        (errno.EINTR, True),
        (errno.ENOSPC, True),
        (errno.EIO, True),
        (errno.EPIPE, False),
        (errno.EBADF, False),
    ],
)
def test_log_goes_on_after_an_error_in_the_middle_of_a_line(
    error_number: int, goes_on: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a writer that ends or cuts a line at a brief error."""
    read_descriptor, write_descriptor = os.pipe()
    written = bytearray()
    calls = 0
    real_write = os.write

    def fail_second_write(descriptor: int, data: bytes) -> int:
        nonlocal calls
        if descriptor != write_descriptor:
            return real_write(descriptor, data)
        calls += 1
        if calls == 2:
            raise OSError(error_number, os.strerror(error_number))
        # A partial write.
        written.extend(data[:20])
        return len(data[:20])

    monkeypatch.setattr(os, "write", fail_second_write)
    lines = JsonLogWriter(write_descriptor, "core-1")
    emit_numbered(lines, 3, 100)
    lines.close(timeout_s=30.0)
    os.close(read_descriptor)
    os.close(write_descriptor)
    if goes_on:
        assert event_names(bytes(written)) == ["event 0", "event 1", "event 2"]
    else:
        assert len(written) == 20
    assert not lines._writer_thread.is_alive()
