"""Tests of the logger and its line format."""

from typing import Any

import pytest

from sardinespool.observability.logs import configure_logs
from sardinespool.observability.logs import format_event
from sardinespool.observability.logs import get_logger


@pytest.mark.parametrize(
    ("event", "fields", "expected"),
    [
        ("stopped", {}, "store: stopped"),
        (
            "became leader",
            {"group": "centro", "term": 4},
            "store: became leader group=centro term=4",
        ),
        ("a\nstore: b", {}, "store: a\\nstore: b"),
        ("a\x1b[31m\u2028", {}, "store: a\\u001b[31m\\u2028"),
        ("refused", {"error": "a\r\nb"}, 'store: refused error="a\\r\\nb"'),
        ("refused", {"why": "no slot=1"}, 'store: refused why="no slot=1"'),
        ("empty", {"id": ""}, 'store: empty id=""'),
    ],
)
def test_event_is_one_line(
    event: str, fields: dict[str, Any], expected: str
) -> None:
    """Guards against text from other processes that forges log lines."""
    assert format_event("store", event, fields) == expected


def test_level_filters_lines(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against lost warnings and against debug lines in production."""
    configure_logs("warning")
    logger = get_logger("entry")
    logger.debug("one")
    logger.info("two")
    logger.warning("three", request="r1")
    logger.error("four", text="a b", self=1)
    lines = capsys.readouterr().err.splitlines()
    assert [line.split("] ")[1] for line in lines] == [
        "entry: three request=r1",
        'entry: four text="a b" self=1',
    ]
    assert all("test_logs.py" in line for line in lines)
