"""Commands for jobs."""

import pathlib
import time
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
import typer
import yaml

from sardinespool.errors.tasks import JobNotFoundError
from sardinespool.errors.tasks import TaskError
from sardinespool.errors.transport import CallTimeoutError
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import JobList
from sardinespool.messages.tasks import TaskList
from sardinespool.programs.command_line.paths import quote_segment
from sardinespool.programs.command_line.session import AsJson
from sardinespool.programs.command_line.session import DEFAULT_SETTINGS_FILE
from sardinespool.programs.command_line.session import handle_errors
from sardinespool.programs.command_line.session import open_session
from sardinespool.programs.command_line.session import Session
from sardinespool.programs.command_line.session import SettingsFile

jobs_app = typer.Typer(
    help="Submit, list, wait for and cancel jobs.", no_args_is_help=True
)

POLL_INTERVAL_S = 0.5


class JobFailedError(TaskError):
    """The job was cancelled or has failed tasks."""


@jobs_app.command("submit")
@handle_errors
def submit_job(
    job_id: Annotated[
        str, typer.Argument(help="Job ID; use the same one to resend a job.")
    ],
    file: Annotated[
        str,
        typer.Option("--file", help="YAML file with a mapping of job fields."),
    ] = "",
    team: str = "",
    kind: Literal["latency-critical", "batch"] | None = None,
    priority: Literal["normal", "urgent"] | None = None,
    task_count: Annotated[int | None, typer.Option(min=1)] = None,
    processors_millicores: Annotated[int | None, typer.Option(min=0)] = None,
    memory_mb: Annotated[int | None, typer.Option(min=0)] = None,
    accelerators: Annotated[int | None, typer.Option(min=0)] = None,
    expected_run_ms: Annotated[int | None, typer.Option(min=0)] = None,
    finish_deadline_unix_ms: Annotated[int | None, typer.Option(min=0)] = None,
    task_class: str = "",
    payload: str = "",
    failure_domain: str = "",
    when_domain_lost: Literal["stay", "move"] | None = None,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Submit a job; options override fields of the file."""
    options = {
        "team": team,
        "kind": kind,
        "priority": priority,
        "task_count": task_count,
        "processors_millicores": processors_millicores,
        "memory_mb": memory_mb,
        "accelerators": accelerators,
        "expected_run_ms": expected_run_ms,
        "finish_deadline_unix_ms": finish_deadline_unix_ms,
        "task_class": task_class,
        "payload": payload,
        "failure_domain": failure_domain,
        "when_domain_lost": when_domain_lost,
    }
    given_options = {
        key: value for key, value in options.items() if value not in (None, "")
    }
    fields = _read_file(file) | given_options | {"job_id": job_id}
    unknown_fields = fields.keys() - set(Job.__struct_fields__)
    if unknown_fields:
        raise typer.BadParameter(
            f"unknown job fields: {sorted(unknown_fields)}"
        )
    try:
        job = msgspec.convert(fields, Job)
    except msgspec.ValidationError as error:
        raise typer.BadParameter(str(error)) from error
    with open_session(settings, as_json) as session:
        session.output.print_fields(session.client.post("jobs", job))


def _read_file(file: str) -> dict[str, Any]:
    if not file:
        return {}
    try:
        content = yaml.safe_load(pathlib.Path(file).read_text("utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise typer.BadParameter(f"{file}: {error}") from error
    if not isinstance(content, dict):
        raise typer.BadParameter(f"{file}: expected a mapping of job fields")
    return content


@jobs_app.command("list")
@handle_errors
def list_jobs(
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """List jobs, newest first."""
    with open_session(settings, as_json) as session:
        answer = session.client.get("jobs")
        jobs = msgspec.convert(answer, JobList).jobs
        session.output.print_table(
            answer,
            ("job", "failure domain", "state"),
            [(job.job_id, job.failure_domain, job.state) for job in jobs],
        )


@jobs_app.command("cancel")
@handle_errors
def cancel_job(
    job_id: str,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Cancel all tasks of a job."""
    with open_session(settings, as_json) as session:
        path = f"jobs/{quote_segment(job_id)}/cancel"
        session.output.print_fields(session.client.post(path))


@jobs_app.command("wait")
@handle_errors
def wait_job(
    job_id: str,
    timeout_s: Annotated[float, typer.Option(min=0)] = 3600.0,
    as_json: AsJson = False,
    settings: SettingsFile = DEFAULT_SETTINGS_FILE,
) -> None:
    """Wait for a job to end; fail if it was cancelled or a task failed."""
    deadline = time.monotonic() + timeout_s
    with open_session(settings, as_json) as session:
        while True:
            receipt = _find_receipt(session, job_id)
            if receipt["state"] in ("finished", "cancelled"):
                break
            if time.monotonic() >= deadline:
                raise CallTimeoutError(
                    f"Job {job_id} did not end before the timeout.",
                    state=receipt["state"],
                )
            time.sleep(POLL_INTERVAL_S)
        failed = _find_failed_tasks(session, job_id)
        if receipt["state"] == "cancelled" or failed:
            raise JobFailedError(
                f"Job {job_id} is {receipt['state']}.", failed_tasks=failed
            )
        session.output.print_fields(receipt)


def _find_receipt(session: Session, job_id: str) -> dict[str, Any]:
    answer = msgspec.convert(session.client.get("jobs"), JobList)
    for job in answer.jobs:
        if job.job_id == job_id:
            fields: dict[str, Any] = msgspec.to_builtins(job)
            return fields
    raise JobNotFoundError(
        f"Job {job_id} is not in the list of jobs.", job_id=job_id
    )


def _find_failed_tasks(session: Session, job_id: str) -> list[str]:
    answer = session.client.get("tasks", job=job_id)
    tasks = msgspec.convert(answer, TaskList).tasks
    return [task.task_id for task in tasks if task.state == "failed"]
