"""Entry point of ``sardinespool``, the operator command line."""

from collections.abc import Sequence
from typing import Annotated

import typer

import sardinespool
from sardinespool.programs.command_line import views
from sardinespool.programs.command_line.explain import explain
from sardinespool.programs.command_line.jobs import jobs_app
from sardinespool.programs.command_line.patches import domains_app
from sardinespool.programs.command_line.patches import patch_app

HELP = """Operate sardinespool through its entries.

All commands can be repeated safely.

Exit codes: 0 success; 1 the request was refused with an error code; 2 usage
error; 3 no entry reachable; 78 invalid settings.
"""

app = typer.Typer(
    help=HELP, no_args_is_help=True, pretty_exceptions_enable=False
)
app.add_typer(patch_app, name="patch")
app.add_typer(domains_app, name="domains")
app.add_typer(jobs_app, name="jobs")
app.add_typer(views.configuration_app, name="configuration")
for _command in (
    views.history,
    views.status,
    views.tasks,
    views.workers,
    views.endpoints,
    views.dump,
    explain,
):
    app.command()(_command)


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(f"sardinespool {sardinespool.__version__}")
        raise typer.Exit


@app.callback()
def _handle_global_options(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
) -> None:
    """Handle the options that precede a command."""


def main(arguments: Sequence[str] | None = None) -> None:
    """Run a command and exit with its exit code."""
    app(list(arguments) if arguments is not None else None)


if __name__ == "__main__":
    main()
