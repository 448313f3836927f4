"""Command-line options and exit codes shared by the daemons."""

import argparse
import pathlib
import sys
from collections.abc import Callable
from typing import TypeVar

import sardinespool
from sardinespool.errors import SardinespoolError
from sardinespool.errors.settings import SettingsError
from sardinespool.observability.logs import configure_logs
from sardinespool.observability.logs import get_logger
from sardinespool.settings.loading import load_settings
from sardinespool.settings.model import Settings

EXIT_FAILED = 1
EXIT_SETTINGS = 78

SettingsT = TypeVar("SettingsT", bound=Settings)


def run_daemon(
    program: str,
    description: str,
    settings_type: type[SettingsT],
    run: Callable[[SettingsT], None],
) -> None:
    """Parse options, load settings and run a daemon.

    Exits with code 0 after a graceful shutdown, 1 after an error, 2 for a
    usage error and 78 for invalid settings.

    Parameters
    ----------
    program : str
        Name of the program.
    description : str
        Sentence shown by ``--help``.
    settings_type : type
        Class of the settings to load.
    run : callable
        Runs the process until it stops.
    """
    # argparse is used because typer costs 1.5 MB of resident memory.
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument(
        "--settings", required=True, type=pathlib.Path, metavar="FILE"
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings file and exit",
    )
    parser.add_argument(
        "--log-level",
        choices=["debug", "info", "warning", "error"],
        default="info",
    )
    parser.add_argument(
        "--version",
        action="version",
        version=f"{program} {sardinespool.__version__}",
    )
    options = parser.parse_args()
    configure_logs(options.log_level)
    log = get_logger(program.removeprefix("sardinespool-"))
    try:
        settings = load_settings(options.settings, settings_type)
    except SettingsError as error:
        print(error.text, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if options.check_settings:
        print(f"{options.settings}: settings are valid.")
        return
    try:
        run(settings)
    except SardinespoolError as error:
        log.error(error.text, **{**error.details, "code": error.code})
        sys.exit(EXIT_FAILED)
    except OSError as error:
        log.error("An operating system call failed.", reason=error)
        sys.exit(EXIT_FAILED)
