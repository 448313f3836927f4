"""Read-only commands."""

import base64
import binascii
import time
from typing import Annotated
from typing import Any

import msgspec
import typer

from sardinespool.errors.transport import CallTimeoutError
from sardinespool.messages.configuration import ConfigurationStatusReply
from sardinespool.messages.tasks import TaskList
from sardinespool.messages.tasks import WorkerList
from sardinespool.programs.command_line.changes import read_versions
from sardinespool.programs.command_line.output import format_time
from sardinespool.programs.command_line.session import AsJson
from sardinespool.programs.command_line.session import DEFAULT_SETTINGS_FILE
from sardinespool.programs.command_line.session import handle_errors
from sardinespool.programs.command_line.session import open_session
from sardinespool.programs.command_line.session import SettingsFile

POLL_INTERVAL_S = 0.2

configuration_app = typer.Typer(
    help="Show the configuration.", no_args_is_help=True
)

FailureDomain = Annotated[str, typer.Option("--failure-domain")]


@handle_errors
def history(
    after: Annotated[int, typer.Option(min=0)] = 0,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """List approved versions with their changes, authors and approvers."""
    with open_session(settings, as_json) as session:
        versions = read_versions(session, after)
        session.output.print_table(
            versions,
            ("version", "approved", "author", "approver", "patch", "keys"),
            [
                (
                    record.version,
                    format_time(record.approved_unix_ms),
                    record.author,
                    record.approver,
                    record.patch_id,
                    [change.key for change in record.changes],
                )
                for record in versions
            ],
        )


def is_in_force_everywhere(
    status: ConfigurationStatusReply, version: int
) -> bool:
    """Return whether all domains and processes use `version` or later."""
    return (
        bool(status.domains)
        and status.version >= version
        and all(
            domain.version >= version
            and all(item.version >= version for item in domain.processes)
            for domain in status.domains
        )
    )


@handle_errors
def status(
    wait: Annotated[
        int | None,
        typer.Option(
            "--wait",
            metavar="VERSION",
            help="Wait until this version is in force everywhere.",
        ),
    ] = None,
    timeout_s: Annotated[float, typer.Option(min=0)] = 60.0,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Show the version in force in each failure domain and process."""
    deadline = time.monotonic() + timeout_s
    with open_session(settings, as_json) as session:
        while True:
            answer = session.client.get("status")
            reply = msgspec.convert(answer, ConfigurationStatusReply)
            if wait is None or is_in_force_everywhere(reply, wait):
                break
            if time.monotonic() >= deadline:
                raise CallTimeoutError(
                    f"Version {wait} is not in force everywhere.",
                    versions={
                        domain.failure_domain: domain.version
                        for domain in reply.domains
                    },
                )
            time.sleep(POLL_INTERVAL_S)
        rows: list[tuple[Any, ...]] = []
        for domain in reply.domains:
            rows.append(
                (
                    domain.failure_domain,
                    "(domain)",
                    domain.version,
                    format_time(domain.reported_unix_ms),
                )
            )
            rows.extend(
                (
                    domain.failure_domain,
                    f"{process.program} {process.name}",
                    process.version,
                    format_time(process.reported_unix_ms),
                )
                for process in domain.processes
            )
        if not as_json:
            typer.echo(f"current version: {reply.version}")
        columns = ("failure domain", "process", "version", "reported")
        session.output.print_table(answer, columns, rows)


@handle_errors
def tasks(
    job: Annotated[str, typer.Option("--job")] = "",
    failure_domain: FailureDomain = "",
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """List tasks."""
    with open_session(settings, as_json) as session:
        answer = session.client.get(
            "tasks", job=job, failure_domain=failure_domain
        )
        session.output.print_table(
            answer,
            ("task", "state", "attempt", "worker", "checkpoint", "reason"),
            [
                (
                    task.task_id,
                    task.state,
                    task.attempt,
                    task.worker_id,
                    task.checkpoint,
                    task.reason,
                )
                for task in msgspec.convert(answer, TaskList).tasks
            ],
        )


@handle_errors
def workers(
    failure_domain: FailureDomain = "",
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """List workers."""
    with open_session(settings, as_json) as session:
        answer = session.client.get("workers", failure_domain=failure_domain)
        session.output.print_table(
            answer,
            (
                "worker",
                "failure domain",
                "rack",
                "state",
                "cores",
                "memory MB",
                "accelerators",
                "lease until",
            ),
            [
                (
                    worker.worker_id,
                    worker.failure_domain,
                    worker.rack,
                    "lost"
                    if worker.lost
                    else "leaving"
                    if worker.leaving
                    else "present",
                    worker.processors_millicores / 1000,
                    worker.memory_mb,
                    worker.accelerators,
                    format_time(worker.lease_deadline_unix_ms),
                )
                for worker in msgspec.convert(answer, WorkerList).workers
            ],
        )


@handle_errors
def endpoints(
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """List the endpoints that the entry can send requests to."""
    with open_session(settings, as_json) as session:
        answer = session.client.get("endpoints")
        endpoint_list = (
            answer["endpoints"] if isinstance(answer, dict) else answer
        )
        columns = ("worker_id", "address", "services", "slots", "leaving")
        session.output.print_table(
            answer,
            [column.replace("_id", "") for column in columns],
            [
                [item.get(column, "") for column in columns]
                for item in endpoint_list
            ],
        )


@handle_errors
def dump(
    group: Annotated[
        str,
        typer.Argument(
            help="Name of the group; omit it for the entry itself."
        ),
    ] = "",
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Print the complete state of a group as JSON."""
    with open_session(settings, as_json=True) as session:
        answer = session.client.get("dump", group=group)
        session.output.print_json(_decode_state_dump(answer))


def _decode_state_dump(answer: Any) -> Any:
    """Decode the base64-encoded JSON of a `StateDump`."""
    if isinstance(answer, dict) and answer.get("type") == "StateDump":
        try:
            return msgspec.json.decode(base64.b64decode(answer["json"]))
        except (KeyError, binascii.Error, msgspec.MsgspecError):
            return answer
    return answer


@configuration_app.command("show")
@handle_errors
def show_configuration(
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Show the current configuration with all its values."""
    with open_session(settings, as_json) as session:
        answer = session.client.get("configuration")
        if not as_json:
            typer.echo(f"version: {answer['version']}")
        session.output.print_table(
            answer, ("key", "value"), sorted(answer["values"].items())
        )
