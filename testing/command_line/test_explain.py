"""Tests of ``sardinespool explain``."""

import json
import pathlib

import pytest
from typer.testing import CliRunner

from sardinespool.programs.command_line.main import app
from testing.observability.test_history import json_log_line


@pytest.fixture
def log(tmp_path: pathlib.Path) -> str:
    """Return the path of a log file with one job and a malformed line."""
    path = tmp_path / "core.log"
    path.write_text(
        json_log_line("core", 10, 1_010, "job accepted", job="ab12", steps=2)
        + "\nnot a line\n"
        + json_log_line(
            "core", 20, 1_020, "job ended", job="ab12", state="failed"
        )
        + "\n"
    )
    return str(path)


def test_table_shows_history(log: str) -> None:
    """Guards against missing events or fields in the history of an ID."""
    result = CliRunner().invoke(app, ["explain", "ab12", log])
    assert result.exit_code == 0
    assert "job accepted" in result.stdout
    assert "state=failed" in result.stdout
    assert "1 lines could not be read." in result.stderr


def test_json_output_is_one_document(log: str) -> None:
    """Guards against JSON output mixed with other text."""
    result = CliRunner().invoke(app, ["explain", "ab12", log, "--json"])
    assert [item["event"] for item in json.loads(result.stdout)] == [
        "job accepted",
        "job ended",
    ]


@pytest.mark.parametrize(
    ("identifier", "missing", "code"),
    [("ffff", False, "no-history"), ("ab12", True, "log-file")],
)
def test_error_code_is_reported(
    log: str, identifier: str, missing: bool, code: str
) -> None:
    """Guards against an empty table instead of an error."""
    path = log + ".gone" if missing else log
    result = CliRunner().invoke(app, ["explain", identifier, path])
    assert result.exit_code == 1
    assert f"error ({code})" in result.stderr
