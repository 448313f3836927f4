"""Tests of the history of one id from the logs of several processes."""

import json

import pytest

from sardinespool.observability.history import parse_logs
from sardinespool.observability.history import select_history


def json_log_line(
    process: str, boot_ms: int, unix_ms: int, event: str, **fields: object
) -> str:
    """Return a log line in the format of `JsonLogWriter`."""
    return json.dumps(
        {
            "boot_ms": boot_ms,
            "unix_ms": unix_ms,
            "level": "info",
            "process": process,
            "part": "dispatch",
            "event": event,
            **fields,
        }
    )


def events(identifier: str, *raw_lines: str) -> list[str]:
    return [
        log_line.event
        for log_line in select_history(identifier, parse_logs(raw_lines).lines)
    ]


def test_job_id_selects_its_tasks_and_requests() -> None:
    """Guards against a history that misses lines of the id."""
    found = events(
        "ab12",
        json_log_line("core", 10, 1_010, "job accepted", job="ab12"),
        json_log_line(
            "core", 20, 1_020, "assigned", task="ab12.0.0.1", worker="w"
        ),
        json_log_line("front", 5, 1_030, "refused", path="/q/ab12"),
        json_log_line(
            "core", 40, 1_040, "assigned", task="ab123.0.0.1", worker="v"
        ),
    )
    assert found == ["job accepted", "assigned", "refused"]


def test_wall_clock_jump_does_not_change_the_order() -> None:
    """Guards against effects before their causes after a clock jump."""
    raw_lines = [
        json_log_line(
            "core", boot_ms, 1_000_000 + boot_ms, "heartbeat", host="h"
        )
        for boot_ms in range(0, 500, 100)
    ]
    found = events(
        "ab12",
        *raw_lines,
        json_log_line(
            "core", 600, 1_000_600 - 90_000, "job accepted", job="ab12"
        ),
        json_log_line("core", 700, 1_000_700, "job ended", job="ab12"),
        json_log_line("front", 3, 1_000_650, "refused", path="/q/ab12"),
        json_log_line("front", 4, 1_000_651, "started"),
    )
    assert found == ["job accepted", "refused", "job ended"]


def test_lines_after_a_reboot_follow_earlier_lines() -> None:
    """Guards against lines after a reboot sorted before earlier lines."""
    found = events(
        "ab12",
        json_log_line("core", 900_000, 1_000_000, "job accepted", job="ab12"),
        json_log_line("core", 900_100, 1_000_100, "stopping"),
        json_log_line("core", 50, 1_020_000, "assigned", task="ab12.0.0.0"),
        json_log_line("core", 60, 1_020_010, "job ended", job="ab12"),
    )
    assert found == ["job accepted", "assigned", "job ended"]


def test_worker_and_leader_events_are_context() -> None:
    """Guards against a history of a late job without its lost worker."""
    raw_lines = (
        json_log_line("core", 10, 1_010, "job accepted", job="ab12"),
        json_log_line(
            "core", 20, 1_020, "assigned", task="ab12.0.0.1", worker="w"
        ),
        json_log_line("core", 30, 1_030, "worker does not answer", worker="w"),
        json_log_line(
            "core", 31, 1_031, "worker does not answer", worker="other"
        ),
        json_log_line(
            "core", 32, 1_032, "assigned", task="ff.0.0.1", worker="w"
        ),
        json_log_line("core", 33, 1_033, "serving", term=3),
        json_log_line(
            "core", 40, 1_040, "run ended", task="ab12.0.0.1", worker="w"
        ),
        json_log_line("core", 99, 1_099, "no longer serving", term=3),
    )
    history = select_history("ab12", parse_logs(raw_lines).lines)
    assert [(log_line.event, log_line.is_context) for log_line in history] == [
        ("job accepted", False),
        ("assigned", False),
        ("worker does not answer", True),
        ("serving", True),
        ("run ended", False),
    ]


@pytest.mark.parametrize(
    "event",
    [
        "serving",
        "no longer serving",
        "leadership changed",
        "dispatch begins",
        "result of an unknown planning command",
    ],
)
def test_changes_of_leader_are_context(event: str) -> None:
    """Guards against failed jobs explained without what their leader did."""
    raw_lines = (
        json_log_line("core", 10, 1_010, "job accepted", job="ab12"),
        json_log_line("core", 20, 1_020, event),
        json_log_line("core", 30, 1_030, "job ended", job="ab12"),
    )
    history = select_history("ab12", parse_logs(raw_lines).lines)
    assert [line.event for line in history if line.is_context] == [event]


def test_unreadable_lines_are_counted_and_prefixes_ignored() -> None:
    """Guards against a malformed line that prevents parsing the rest."""
    parsed = parse_logs(
        [
            "  1.25 core-1 "
            + json_log_line("core", 10, 1_010, "a", job="ab12"),
            "Traceback (most recent call last):",
            '{"event": "cut',
            '{"event": 3, "boot_ms": 1, "unix_ms": 2}',
            '{"event": "no clocks"}',
            "",
        ]
    )
    assert parsed.unreadable == 4
    assert [log_line.event for log_line in parsed.lines] == ["a"]


def test_holds_of_the_workspace_are_context() -> None:
    """Guards against a history that hides why a job waited."""
    held = "workspace held back"
    found = events(
        "ab12",
        json_log_line("core", 20, 1_020, held, workspace="a", reason="limit"),
        json_log_line("core", 25, 1_025, held, workspace="b", reason="share"),
        json_log_line("core", 30, 1_030, "job begun", job="cd", workspace="a"),
        json_log_line(
            "core", 40, 1_040, "job begun", job="ab12", workspace="a"
        ),
    )
    assert found == [held, "job begun"]
