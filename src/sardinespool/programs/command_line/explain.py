"""Command that shows the history of an ID from log files."""

import pathlib
import sys
from collections.abc import Iterator
from typing import Annotated

import typer

from sardinespool.errors.logs import LogFileError
from sardinespool.errors.logs import NoHistoryError
from sardinespool.observability.history import LogLine
from sardinespool.observability.history import parse_logs
from sardinespool.observability.history import select_history
from sardinespool.programs.command_line.dry_run import explain_job
from sardinespool.programs.command_line.output import format_time
from sardinespool.programs.command_line.output import Output
from sardinespool.programs.command_line.output import to_compact_json
from sardinespool.programs.command_line.session import AsJson
from sardinespool.programs.command_line.session import handle_errors

STDIN_ARGUMENT = "-"


@handle_errors
def explain(
    identifier: Annotated[
        str,
        typer.Argument(
            metavar="[ID]", help="ID of a job, task, worker or process."
        ),
    ] = "",
    logs: Annotated[
        list[str] | None,
        typer.Argument(
            metavar="[LOG...]", help="Log files; - for standard input."
        ),
    ] = None,
    dry_run: Annotated[
        str,
        typer.Option(metavar="FILE", help="Job to explain; - for stdin."),
    ] = "",
    member: Annotated[
        str,
        typer.Option(metavar="IP:PORT", help="Status address of a core."),
    ] = "",
    url: Annotated[
        str, typer.Option(help="URL to which the job would be sent.")
    ] = "",
    key: Annotated[
        str, typer.Option(envvar="SARDINESPOOL_KEY", help="Key of the caller.")
    ] = "",
    as_json: AsJson = False,
) -> None:
    """Show the log lines about an ID from any processes, ordered by time.

    Lines about its workers and about leader changes are marked as context.
    With --dry-run, show instead where a job would start now, and why its
    other tasks would wait, without submitting it.
    """
    if dry_run:
        if identifier or not member or "://" not in url:
            raise typer.BadParameter("--dry-run needs --member and --url")
        explain_job(dry_run, member, url, key, Output(as_json))
        return
    if not identifier or not logs:
        raise typer.BadParameter("ID and LOG are required without --dry-run")
    parsed_logs = parse_logs(_read_lines(logs))
    output = Output(as_json)
    if parsed_logs.unreadable:
        output.print_note(f"{parsed_logs.unreadable} lines could not be read.")
    history = select_history(identifier, parsed_logs.lines)
    if not history:
        raise NoHistoryError(
            "No log line contains this ID.",
            id=identifier,
            lines=len(parsed_logs.lines),
        )
    output.print_table(
        [_to_json_object(line) for line in history],
        ("time", "process", "about", "event", "fields"),
        [
            (
                format_time(line.time_unix_ms),
                line.process,
                "context" if line.is_context else "id",
                line.event,
                _format_fields(line),
            )
            for line in history
        ],
    )


def _read_lines(paths: list[str]) -> Iterator[str]:
    """Yield the lines of log files.

    Raises
    ------
    LogFileError
        A file can't be read.
    """
    for path in paths:
        if path == STDIN_ARGUMENT:
            yield from sys.stdin
            continue
        try:
            with pathlib.Path(path).open(
                encoding="utf-8", errors="replace"
            ) as file:
                yield from file
        except OSError as error:
            raise LogFileError(
                "A log file could not be read.",
                file=path,
                reason=error.strerror,
            ) from error


def _format_fields(line: LogLine) -> str:
    return " ".join(
        f"{key}={value if isinstance(value, str) else to_compact_json(value)}"
        for key, value in line.fields.items()
    )


def _to_json_object(line: LogLine) -> dict[str, object]:
    return {
        "time_unix_ms": line.time_unix_ms,
        "process": line.process,
        "part": line.part,
        "level": line.level,
        "event": line.event,
        "context": line.is_context,
        "fields": dict(line.fields),
    }
