"""No output of a process tells the key of a workspace.

The processes are real; they get keys in good and in malformed requests, and
everything that they print or serve is searched for these keys.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import secrets
import sys
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any

import pytest
import typer.testing
import yaml

from sardinespool.messages import codec
from sardinespool.messages.commands import Command
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.manifest import PublishManifest
from sardinespool.observability.logs import PrefixLogger
from sardinespool.platform.fault_barrier import FaultBarrier
from sardinespool.platform.settings import SETTINGS_VARIABLE
from sardinespool.platform.settings import STATUS_PORT
from sardinespool.programs.command_line.main import app
from sardinespool.programs.store import fault_barrier
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import ReceivedRequest
from testing.entry.scripted_server import run_async
from testing.platform.front_subprocess import CALLERS_PORT
from testing.platform.front_subprocess import CONTROL_PORT
from testing.platform.front_subprocess import INTERNAL_PORT
from testing.platform.front_subprocess import POLL_INTERVAL_S
from testing.platform.front_subprocess import READINESS_PORT
from testing.platform.front_subprocess import RUN_SCRIPT
from testing.platform.test_handlers import JOB
from testing.platform.test_workspaces import encode_manifest

KEY = "gkcuyj8pjbvk9m68k7b2"
"""Part of every key that a test sends."""
TIMEOUT_S = 60
"""Ends a test whose processes do not start."""
TENANTS: list[dict[str, Any]] = [
    {"name": "ana", "api_keys": [KEY + "a"]},
    {"name": "luz", "api_keys": [KEY + "l"]},
]
MANIFEST = encode_manifest(TENANTS, service="s")


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path, role: str, ip: str, core_ip: str
) -> AsyncIterator[pathlib.Path]:
    """Run a process; yield the file with all that it prints."""
    settings = {
        "node": f"{role}-1",
        "role": role,
        "ip_address": ip,
        "zone": "norte",
        "listen": {
            "front": f"{ip}:{CALLERS_PORT}",
            "ready": f"{ip}:{READINESS_PORT}",
            "control": f"{ip}:{CONTROL_PORT}",
        },
        "internal_port_range": [INTERNAL_PORT, INTERNAL_PORT + 1],
        "seeds": [f"{core_ip}:{CONTROL_PORT}"],
        "first_start": True,
        "data_directory": str(folder / role),
        "bounds": {"grace_s": 1},
    }
    path = folder / f"{role}.yaml"
    path.write_text(yaml.safe_dump(settings))
    output = folder / f"{role}.log"
    with output.open("wb") as file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(RUN_SCRIPT),
            role,
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=file,
            stderr=file,
        )
    try:
        yield output
    finally:
        process.terminate()
        await process.wait()


async def exchange(
    ip: str, port: int, line: str, headers: bytes = b"", body: bytes = b""
) -> bytes:
    """Send a request on a connection of its own; return all that follows."""
    reader, writer = await asyncio.open_connection(ip, port)
    writer.write(
        f"{line} HTTP/1.1\r\nHost: h\r\n".encode()
        + b"Connection: close\r\nContent-Length: %d\r\n" % len(body)
        + headers
        + b"\r\n"
        + body
    )
    answer = b""
    with contextlib.suppress(ConnectionError):
        answer = await reader.read()
    writer.close()
    return answer


async def repeat_until(status: bytes, send: Callable[[], Any]) -> bytes:
    """Repeat a request until the processes have started."""
    while True:
        with contextlib.suppress(OSError):
            answer = await send()
            if answer.split()[1:2] == [status]:
                return bytes(answer)
        await asyncio.sleep(POLL_INTERVAL_S)


def bearer(key: str, end: bytes = b"") -> bytes:
    return b"Authorization: Bearer " + key.encode() + end + b"\r\n"


CALLER_REQUESTS = [
    ("POST /q/j1", bearer(KEY + "a"), JOB, b"200"),
    ("GET /q/j1", bearer(KEY + "a"), b"", b"200"),
    ("GET /q/j1", bearer(KEY + "l"), b"", b"403"),
    ("DELETE /q/j1", bearer(KEY + "x"), b"", b"401"),
    ("GET /q/", bearer(KEY + "x") * 2, b"", b"401"),
    ("GET /q/j1", bearer(KEY + "x" * 30_000), b"", b"401"),
    ("GET /q/j1", bearer(KEY, b"\xe9"), b"", b"401"),
    ("GET /none/j1", bearer(KEY + "x"), b"", b"404"),
    ("POST /q/j1", bearer(KEY + "a"), b"{", b"400"),
    ("PUT /q/j1", bearer(KEY + "a"), b"", b"405"),
    # The HTTP server itself refuses what is no header.
    ("GET /q/j1", bearer(KEY, b"\x01"), b"", b"400"),
    ("GET /q/j1", bearer(KEY, b"\x00"), b"", b"400"),
    ("GET /q/j1", b"Authorization " + KEY.encode() + b"\r\n", b"", b"400"),
    ("GET /q/j1", b" " + bearer(KEY), b"", b"400"),
    ("GET /q/j1", b"Authorization\x01" + bearer(KEY), b"", b"400"),
    ("GET /q/j1", bearer(KEY + "x" * 40_000), b"", None),
]
INVALID_MANIFESTS = [
    MANIFEST[: MANIFEST.index(b'l"') + 1],
    MANIFEST.replace(KEY.encode(), KEY.encode() + b"\xff"),
    MANIFEST.replace(KEY.encode(), KEY.encode() + b"\\ud800"),
    MANIFEST.replace(KEY.encode() + b"l", KEY.encode() + b"a"),
    encode_manifest([{"name": "ana", "api_keys": KEY}]),
    encode_manifest([{"name": "ana", "api_keys": {KEY: 1}}]),
    encode_manifest([{"name": "ana", "api_keys": [[KEY]]}]),
    encode_manifest([{"name": "ana", "api_keys": [KEY + " "]}]),
    encode_manifest([{"name": "ana", "api_keys": [KEY], "weight": KEY}]),
    encode_manifest([KEY]),
    encode_manifest({KEY: 1}),
    encode_manifest([{"api_keys": [KEY]}]),
    MANIFEST + KEY.encode(),
    KEY.encode(),
]


@run_async
async def test_no_output_tells_a_key(tmp_path: pathlib.Path) -> None:
    """Guards against a key in a log line, metric, dump, answer or history."""
    net = f"127.{100 + secrets.randbelow(100)}.{secrets.randbelow(256)}"
    core, front = f"{net}.1", f"{net}.2"
    outputs: list[bytes] = []
    replace = "POST /api/configuration/replace"
    async with (
        asyncio.timeout(TIMEOUT_S),
        running(tmp_path, "core", core, core) as core_log,
        running(tmp_path, "front", front, core) as front_log,
    ):
        outputs.append(
            await repeat_until(
                b"200",
                lambda: exchange(
                    core, CONTROL_PORT, replace, bearer(KEY), MANIFEST
                ),
            )
        )
        for body in INVALID_MANIFESTS:
            answer = await exchange(
                core, CONTROL_PORT, replace, bearer(KEY), body
            )
            assert answer.split()[1] == b"400", body
            outputs.append(answer)
        await repeat_until(
            b"200",
            lambda: exchange(front, READINESS_PORT, "GET /api/readiness"),
        )
        for line, headers, body, status in CALLER_REQUESTS:
            answer = await exchange(front, CALLERS_PORT, line, headers, body)
            assert status is None or answer.split()[1] == status, answer
            outputs.append(answer)
        for ip in (core, front):
            for path in ("metrics", "dump", "health", "ready", ""):
                answer = await exchange(
                    ip, STATUS_PORT, f"GET /{path}", bearer(KEY)
                )
                assert answer
                outputs.append(answer)
        for key, status in (("a", b"200"), ("l", b"200"), ("x", b"401")):
            line = f"POST /explain/q/dry{key}"
            answer = await exchange(
                core, STATUS_PORT, line, bearer(KEY + key), JOB
            )
            assert answer.split()[1] == status, answer
            outputs.append(answer)
        source = await exchange(
            core, CONTROL_PORT, "GET /api/configuration/read"
        )
        assert source.endswith(MANIFEST)
    logs = [log.read_bytes() for log in (core_log, front_log)]
    for event in (b"job accepted", b"manifest in force"):
        assert event in logs[0]
    for code in (b"unknown-workspace-key", b"other-workspace"):
        assert code in logs[1]
    explained = typer.testing.CliRunner().invoke(
        app, ["explain", "j1", str(core_log), str(front_log)]
    )
    assert explained.exit_code == 0 and "ana" in explained.output
    for output in (*outputs, *logs, explained.output.encode()):
        assert KEY.encode() not in output, output


@run_async
async def test_crash_traces_tell_no_key(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an unexpected error that quotes what it failed on."""
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        PrefixLogger,
        "error",
        lambda self, text, /, **fields: lines.append(fields),
    )
    manifest = PublishManifest(version=1, queues=(), pools=(), source=MANIFEST)

    class Quoting:
        """Raises an error that quotes its argument."""

        def handle(self, request: Any, now: Any) -> Any:
            raise ValueError(f"{request!r} {request}")

        apply = handle

        async def call(self, received: Any) -> HttpResponse:
            return self.handle(received, None)

    received = ReceivedRequest(
        HttpRequest("POST", "/q/j", (("Authorization", KEY),), MANIFEST)
    )
    quoting: Any = Quoting()
    answer = await FaultBarrier(quoting.call, PrefixLogger("test"))(received)
    command = Command(proposed_unix_ms=1, body=manifest)
    refusal = fault_barrier.apply_command("g", quoting, command, 1)
    for request in (manifest, ManifestCopy(version=1, source=MANIFEST)):
        with contextlib.suppress(Exception):
            fault_barrier.handle_request("g", quoting, request, None)  # type: ignore[arg-type]
    assert len(lines) == 4
    for output in (
        json.dumps(lines),
        answer.body.decode(),
        repr(HttpResponse(200, (), MANIFEST)),
        repr(codec.decode_command(codec.encode(command))),
        repr(refusal),
    ):
        assert KEY not in output
