"""History of one id from the logs of several processes."""

import json

from sardinespool.observability.history import history_of
from sardinespool.observability.history import parse_logs


def line(
    process: str, boot_ms: int, unix_ms: int, event: str, **ids: object
) -> str:
    """Return a line as a process writes it."""
    return json.dumps(
        {
            "boot_ms": boot_ms,
            "unix_ms": unix_ms,
            "level": "info",
            "process": process,
            "part": "dispatch",
            "event": event,
            **ids,
        }
    )


def events(identifier: str, *texts: str) -> list[str]:
    return [
        item.event for item in history_of(identifier, parse_logs(texts).lines)
    ]


def test_id_selects_job_tasks_and_requests() -> None:
    """Guards against a complaint whose id leads to a part of its lines."""
    found = events(
        "ab12",
        line("core", 10, 1_010, "job accepted", job="ab12"),
        line("core", 20, 1_020, "assigned", task="ab12.0.0.1", worker="w"),
        line("front", 5, 1_030, "refused", path="/q/ab12"),
        line("core", 40, 1_040, "assigned", task="ab123.0.0.1", worker="v"),
    )
    assert found == ["job accepted", "assigned", "refused"]


def test_clock_that_jumps_does_not_change_the_order() -> None:
    """Guards against causes behind their effects after a step of a clock."""
    texts = [
        line("core", boot_ms, 1_000_000 + boot_ms, "heartbeat", host="h")
        for boot_ms in range(0, 500, 100)
    ]
    found = events(
        "ab12",
        *texts,
        line("core", 600, 1_000_600 - 90_000, "job accepted", job="ab12"),
        line("core", 700, 1_000_700, "job ended", job="ab12"),
        line("front", 3, 1_000_650, "refused", path="/q/ab12"),
        line("front", 4, 1_000_651, "started"),
    )
    assert found == ["job accepted", "refused", "job ended"]


def test_machine_that_was_started_again_has_a_clock_of_its_own() -> None:
    """Guards against lines of a second run of a machine before the first."""
    found = events(
        "ab12",
        line("core", 900_000, 1_000_000, "job accepted", job="ab12"),
        line("core", 900_100, 1_000_100, "stopping"),
        line("core", 50, 1_020_000, "assigned", task="ab12.0.0.0"),
        line("core", 60, 1_020_010, "job ended", job="ab12"),
    )
    assert found == ["job accepted", "assigned", "job ended"]


def test_workers_and_leaders_of_the_time_are_context() -> None:
    """Guards against a late job whose lost worker does not show."""
    texts = (
        line("core", 10, 1_010, "job accepted", job="ab12"),
        line("core", 20, 1_020, "assigned", task="ab12.0.0.1", worker="w"),
        line("core", 30, 1_030, "worker does not answer", worker="w"),
        line("core", 31, 1_031, "worker does not answer", worker="other"),
        line("core", 32, 1_032, "assigned", task="ff.0.0.1", worker="w"),
        line("core", 33, 1_033, "serving", term=3),
        line("core", 40, 1_040, "run ended", task="ab12.0.0.1", worker="w"),
        line("core", 99, 1_099, "no longer serving", term=3),
    )
    history = history_of("ab12", parse_logs(texts).lines)
    assert [(item.event, item.is_context) for item in history] == [
        ("job accepted", False),
        ("assigned", False),
        ("worker does not answer", True),
        ("serving", True),
        ("run ended", False),
    ]


def test_foreign_lines_are_counted_and_prefixes_left_out() -> None:
    """Guards against one broken line that hides a history."""
    parsed = parse_logs(
        [
            "  1.25 core-1 " + line("core", 10, 1_010, "a", job="ab12"),
            "Traceback (most recent call last):",
            '{"event": "cut',
            '{"event": 3, "boot_ms": 1, "unix_ms": 2}',
            '{"event": "no clocks"}',
            "",
        ]
    )
    assert parsed.unreadable == 4
    assert [item.event for item in parsed.lines] == ["a"]
