"""Command ``sardinespool explain``."""

import json
import pathlib

import pytest
from typer.testing import CliRunner

from sardinespool.programs.command_line.main import app
from testing.observability.test_history import line


@pytest.fixture
def log(tmp_path: pathlib.Path) -> str:
    """Return the path of a log with one job."""
    path = tmp_path / "core.log"
    path.write_text(
        line("core", 10, 1_010, "job accepted", job="ab12", steps=2)
        + "\nnot a line\n"
        + line("core", 20, 1_020, "job ended", job="ab12", state="failed")
        + "\n"
    )
    return str(path)


def test_table_shows_the_history(log: str) -> None:
    """Guards against an id that on-call engineers can't follow."""
    result = CliRunner().invoke(app, ["explain", "ab12", log])
    assert result.exit_code == 0
    assert "job accepted" in result.stdout
    assert "state=failed" in result.stdout
    assert "1 lines could not be read." in result.stderr


def test_json_is_one_document(log: str) -> None:
    """Guards against output that programs can't read."""
    result = CliRunner().invoke(app, ["explain", "ab12", log, "--json"])
    assert [item["event"] for item in json.loads(result.stdout)] == [
        "job accepted",
        "job ended",
    ]


@pytest.mark.parametrize(
    ("identifier", "missing", "code"),
    [("ffff", False, "no-history"), ("ab12", True, "log-file")],
)
def test_errors_are_typed(
    log: str, identifier: str, missing: bool, code: str
) -> None:
    """Guards against an empty table in place of a reason."""
    path = log + ".gone" if missing else log
    result = CliRunner().invoke(app, ["explain", identifier, path])
    assert result.exit_code == 1
    assert f"error ({code})" in result.stderr
