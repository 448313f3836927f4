"""Command that reads the history of one id from logs."""

import pathlib
import sys
from collections.abc import Iterator
from typing import Annotated

import typer

from sardinespool.errors.logs import LogFileError
from sardinespool.errors.logs import NoHistoryError
from sardinespool.observability.history import history_of
from sardinespool.observability.history import LogLine
from sardinespool.observability.history import parse_logs
from sardinespool.programs.command_line.output import compact
from sardinespool.programs.command_line.output import Output
from sardinespool.programs.command_line.output import time_text
from sardinespool.programs.command_line.session import AsJson
from sardinespool.programs.command_line.session import reports_errors

STANDARD_INPUT = "-"


@reports_errors
def explain(
    identifier: Annotated[
        str,
        typer.Argument(
            metavar="ID", help="Id of a job, task, worker or process."
        ),
    ],
    logs: Annotated[
        list[str],
        typer.Argument(
            metavar="LOG...", help="Log files; - for standard input."
        ),
    ],
    as_json: AsJson = False,
) -> None:
    """Show what the logs of any processes say of one id, in order of time.

    Lines on its workers and on changes of leader in that time are marked.
    """
    parsed = parse_logs(_read(logs))
    output = Output(as_json)
    if parsed.unreadable:
        output.note(f"{parsed.unreadable} lines could not be read.")
    history = history_of(identifier, parsed.lines)
    if not history:
        raise NoHistoryError(
            "No line of the logs names this id.",
            id=identifier,
            lines=len(parsed.lines),
        )
    output.table(
        [_document(line) for line in history],
        ("time", "process", "about", "event", "fields"),
        [
            (
                time_text(line.time_unix_ms),
                line.process,
                "context" if line.is_context else "id",
                line.event,
                _fields_text(line),
            )
            for line in history
        ],
    )


def _read(names: list[str]) -> Iterator[str]:
    """Yield the lines of files.

    Raises
    ------
    LogFileError
        A file can't be read.
    """
    for name in names:
        if name == STANDARD_INPUT:
            yield from sys.stdin
            continue
        try:
            with pathlib.Path(name).open(
                encoding="utf-8", errors="replace"
            ) as file:
                yield from file
        except OSError as error:
            raise LogFileError(
                "A log file can't be read.", file=name, reason=error.strerror
            ) from error


def _fields_text(line: LogLine) -> str:
    return " ".join(
        f"{key}={value if isinstance(value, str) else compact(value)}"
        for key, value in line.fields.items()
    )


def _document(line: LogLine) -> dict[str, object]:
    return {
        "time_unix_ms": line.time_unix_ms,
        "process": line.process,
        "part": line.part,
        "level": line.level,
        "event": line.event,
        "context": line.is_context,
        "fields": dict(line.fields),
    }
