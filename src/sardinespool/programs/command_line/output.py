"""Tables for people and JSON for programs."""

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

# Digests and addresses must not be cut when the output goes to a file.
_WIDTH_WITHOUT_TERMINAL = 240


def compact(value: Any) -> str:
    """Return a value as JSON in one line."""
    return msgspec.json.encode(value, order="sorted").decode()


def error_json(code: str, text: str, details: dict[str, Any]) -> str:
    """Return an error in the form in which the entries answer it."""
    shown = {key: value for key, value in details.items() if key != "code"}
    return compact({"code": code, "text": text, "details": shown})


def time_text(unix_ms: int) -> str:
    """Return a time in UTC, empty for 0."""
    if not unix_ms:
        return ""
    time = datetime.datetime.fromtimestamp(unix_ms / 1000, datetime.UTC)
    return time.isoformat(sep=" ", timespec="milliseconds")[:-6] + "Z"


class Output:
    """Output of one command.

    With `as_json`, exactly one JSON document goes to standard output.
    """

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json
        width = None if sys.stdout.isatty() else _WIDTH_WITHOUT_TERMINAL
        self._console = rich.console.Console(
            file=sys.stdout, width=width, highlight=False
        )

    def note(self, text: str) -> None:
        """Print a sentence to standard error, in both forms of output."""
        typer.echo(text, err=True)

    def document(self, value: Any) -> None:
        """Print indented JSON in both forms of output."""
        typer.echo(
            msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
        )

    def fields(self, answer: dict[str, Any]) -> None:
        """Print the fields of one object, a line each."""
        if self._as_json:
            self.document(answer)
            return
        for key, value in answer.items():
            if key != "type":
                shown = value if isinstance(value, str) else compact(value)
                typer.echo(f"{key}: {shown}")

    def table(
        self,
        answer: Any,
        columns: Sequence[str],
        rows: Iterable[Sequence[Any]],
    ) -> None:
        """Print rows, or `answer` as JSON."""
        if self._as_json:
            self.document(answer)
            return
        table = rich.table.Table(box=rich.box.SIMPLE_HEAD, pad_edge=False)
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            # Text, not markup: values may hold square brackets.
            table.add_row(*(rich.text.Text(_cell(value)) for value in row))
        self._console.print(table)


def _cell(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case str():
            return value
        case list() | tuple() if all(isinstance(i, str) for i in value):
            return ", ".join(value)
        case _:
            return compact(value)
