"""Shared options, session, error handling and exit codes of commands."""

import enum
import functools
import os
import sys
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Annotated
from typing import Any
from typing import ParamSpec

import typer

from sardinespool.errors import SardinespoolError
from sardinespool.errors.settings import SettingsError
from sardinespool.programs.command_line.client import EntryUnreachableError
from sardinespool.programs.command_line.client import OperatorClient
from sardinespool.programs.command_line.output import error_json
from sardinespool.programs.command_line.output import Output
from sardinespool.settings.loading import load_settings
from sardinespool.settings.model import OperatorSettings

P = ParamSpec("P")

DEFAULT_SETTINGS_FILE = "/etc/sardinespool/operator.yaml"


class ExitCode(enum.IntEnum):
    """Exit codes of the command line; 2 is set by the argument parser."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    BAD_SETTINGS = 78


SettingsFile = Annotated[
    str,
    typer.Option(
        "--settings",
        envvar="SARDINESPOOL_SETTINGS",
        help="YAML file with the entries and a token.",
    ),
]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of tables.")
]


class Session:
    """Client and output of one command.

    Parameters
    ----------
    client : OperatorClient
        Client of the entries.
    output : Output
        Printer of the results.
    """

    def __init__(self, client: OperatorClient, output: Output) -> None:
        self.client = client
        self.output = output


@contextmanager
def open_session(settings: str, as_json: bool) -> Iterator[Session]:
    """Load the settings and open a session for one command."""
    operator_settings = load_settings(settings, OperatorSettings)
    client = OperatorClient(operator_settings)
    try:
        yield Session(client, Output(as_json))
    finally:
        client.close()


def handle_errors(command: Callable[P, None]) -> Callable[P, None]:
    """Make a command print its errors and exit with the matching code."""

    @functools.wraps(command)
    def run_command(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except SardinespoolError as error:
            _print_error(error, bool(kwargs.get("as_json")))
            raise typer.Exit(_exit_code(error)) from None
        except BrokenPipeError:
            # The reader of the output, such as head, has closed the pipe.
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())

    return run_command


def _exit_code(error: SardinespoolError) -> ExitCode:
    match error:
        case SettingsError():
            return ExitCode.BAD_SETTINGS
        case EntryUnreachableError():
            return ExitCode.UNREACHABLE
        case _:
            return ExitCode.REFUSED


def _print_error(error: SardinespoolError, as_json: bool) -> None:
    code = error.details.get("code", error.code)
    if as_json:
        typer.echo(error_json(code, error.text, error.details))
        return
    typer.echo(f"error ({code}): {error.text}", err=True)
    printed_details: dict[str, Any] = {
        key: value
        for key, value in error.details.items()
        if key not in ("code", "problems")
    }
    for key, value in printed_details.items():
        typer.echo(f"  {key}: {value}", err=True)
