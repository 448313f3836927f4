"""Dry run of a job from the command line to the control group."""

import asyncio
import pathlib
import socket
from typing import Any

import msgspec
import pytest
import typer.testing

from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.observability.metrics import Metrics
from sardinespool.observability.status_server import StatusServer
from sardinespool.platform.caller_handler import CallerHandler
from sardinespool.platform.caller_handler import CallerMetrics
from sardinespool.platform.explain_handler import ExplainHandler
from sardinespool.platform.job_codec import JOB_BODY_LIMIT_BYTES
from sardinespool.programs.command_line.main import app
from sardinespool.programs.status_listener import status_listener
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_server import ReceivedRequest
from testing.dispatch.simulation import HOST
from testing.dispatch.simulation import Simulation
from testing.entry.scripted_server import run_async

GOOD = b'{"task_spec":"t","steps":[{"count":2,"cpu":100}]}'


async def run_command(
    simulation: Simulation, file: pathlib.Path, path: str, *options: str
) -> typer.testing.Result:
    async def call(request: Any, timeout_ms: int) -> Any:
        outcome = simulation.service.handle(request, simulation.now())
        assert isinstance(outcome, ImmediateReply)
        return outcome.reply

    with socket.create_server(("127.0.0.1", 0)) as listener:
        member = f"127.0.0.1:{listener.getsockname()[1]}"
    server = StatusServer(
        status_listener(
            member, None, ExplainHandler(call), JOB_BODY_LIMIT_BYTES
        ),
        Metrics("controller", "a"),
        health=lambda: True,
        ready=lambda: True,
        dump=dict,
    )
    url = f"http://{HOST}:80{path}"
    arguments = f"explain --dry-run {file} --member {member} --url {url}"
    server.start()
    try:
        return await asyncio.to_thread(
            typer.testing.CliRunner().invoke,
            app,
            [*arguments.split(), *options],
        )
    finally:
        await server.stop()


async def submission_error(
    simulation: Simulation, path: str, body: bytes
) -> str:
    async def call(request: Any, timeout_ms: int) -> Any:
        simulation.service.handle(request, simulation.now())
        raise AssertionError("accepted")

    handler = CallerHandler(call, CallerMetrics(Metrics("front", "a")))
    headers = (("Host", HOST),)
    response = await handler(
        ReceivedRequest(HttpRequest("POST", path, headers, body))
    )
    error: str = msgspec.json.decode(response.body)["error"]
    return error


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/q/new", b"{"),
        ("/q/new", b'{"task_spec":"t","steps":[]}'),
        ("/q/new", b'{"task_spec":"t","steps":[{"count":1,"after":[4]}]}'),
        ("/q/a-b", GOOD),
        ("/other/new", GOOD),
    ],
)
@run_async
async def test_same_error_code(
    tmp_path: pathlib.Path, path: str, body: bytes
) -> None:
    """Guards against a code other than that of the submission."""
    simulation = Simulation(3)
    simulation.run(3_000)
    (file := tmp_path / "job.json").write_bytes(body)
    result = await run_command(simulation, file, path, "--json")
    assert result.exit_code == 1, result.output
    code = await submission_error(simulation, path, body)
    assert f'"{code}"' in result.output


@run_async
async def test_output(tmp_path: pathlib.Path) -> None:
    """Guards against output that lacks where the tasks would start."""
    simulation = Simulation(3)
    simulation.run(3_000)
    (file := tmp_path / "job.json").write_bytes(GOOD)
    as_json = await run_command(simulation, file, "/q/new", "--json")
    assert as_json.exit_code == 0, as_json.output
    (step,) = msgspec.json.decode(as_json.stdout)["steps"]
    assert sum(step["starts"].values()) == 2
    as_text = await run_command(simulation, file, "/q/new")
    assert as_text.exit_code == 0, as_text.output
    assert all(worker in as_text.stdout for worker in step["starts"])
    assert not simulation.machine.table.workflows


def test_usage() -> None:
    """Guards against an option that is silently ignored."""
    for arguments in (["j1"], ["--dry-run", "f"], []):
        result = typer.testing.CliRunner().invoke(app, ["explain", *arguments])
        assert result.exit_code == 2, arguments
