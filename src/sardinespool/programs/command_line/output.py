"""Output of commands as tables or JSON."""

import datetime
import sys
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

import msgspec
import rich.box
import rich.console
import rich.table
import rich.text
import typer

# Wide enough that digests and addresses are not wrapped in a file or pipe.
_NON_TERMINAL_WIDTH_COLUMNS = 240


def to_compact_json(value: Any) -> str:
    """Return a value as single-line JSON."""
    return msgspec.json.encode(value, order="sorted").decode()


def error_json(code: str, text: str, details: dict[str, Any]) -> str:
    """Return an error as JSON in the format that entries use."""
    shown = {key: value for key, value in details.items() if key != "code"}
    return to_compact_json({"code": code, "text": text, "details": shown})


def format_time(unix_ms: int) -> str:
    """Return a time in UTC; empty if `unix_ms` is 0."""
    if not unix_ms:
        return ""
    time = datetime.datetime.fromtimestamp(unix_ms / 1000, datetime.UTC)
    return time.isoformat(sep=" ", timespec="milliseconds")[:-6] + "Z"


class Output:
    """Output of one command.

    Parameters
    ----------
    as_json : bool
        Print exactly one JSON document to standard output.
    """

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json
        width = None if sys.stdout.isatty() else _NON_TERMINAL_WIDTH_COLUMNS
        self._console = rich.console.Console(
            file=sys.stdout, width=width, highlight=False
        )

    def print_note(self, text: str) -> None:
        """Print a message to standard error, also with JSON output."""
        typer.echo(text, err=True)

    def print_json(self, value: Any) -> None:
        """Print a value as indented JSON."""
        typer.echo(
            msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
        )

    def print_fields(self, answer: dict[str, Any]) -> None:
        """Print the fields of an object, one per line, or JSON."""
        if self._as_json:
            self.print_json(answer)
            return
        for key, value in answer.items():
            if key != "type":
                shown = (
                    value if isinstance(value, str) else to_compact_json(value)
                )
                typer.echo(f"{key}: {shown}")

    def print_table(
        self,
        answer: Any,
        columns: Sequence[str],
        rows: Iterable[Sequence[Any]],
    ) -> None:
        """Print a table of rows, or `answer` as JSON."""
        if self._as_json:
            self.print_json(answer)
            return
        table = rich.table.Table(box=rich.box.SIMPLE_HEAD, pad_edge=False)
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            # Values may contain square brackets, so no markup is parsed.
            table.add_row(
                *(rich.text.Text(_cell_text(value)) for value in row)
            )
        self._console.print(table)


def _cell_text(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case str():
            return value
        case list() | tuple() if all(isinstance(i, str) for i in value):
            return ", ".join(value)
        case _:
            return to_compact_json(value)
