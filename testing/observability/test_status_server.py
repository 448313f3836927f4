"""Tests of the status routes and signal handlers."""

import asyncio
import os
import signal
import socket
from collections.abc import Callable
from typing import Any

import msgspec
import tornado.httpclient

from sardinespool.observability.metrics import Metrics
from sardinespool.observability.signals import ProgramSignals
from sardinespool.observability.status_server import ProbeResult
from sardinespool.observability.status_server import StatusServer
from sardinespool.programs.status_listener import status_listener


async def _dump() -> Any:
    return {"cluster_token": "secret", "term": 4}


async def _fetch_all(
    dump: Callable[[], Any],
) -> dict[str, tuple[int, bytes]]:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]
    server = StatusServer(
        status_listener(f"127.0.0.1:{port}"),
        Metrics("store", "s"),
        health=lambda: True,
        ready=lambda: ProbeResult(False, {"reason": "no leader"}),
        dump=dump,
    )
    server.start()
    client = tornado.httpclient.AsyncHTTPClient()
    responses = {}
    for method, path in (
        ("GET", "/health"),
        ("GET", "/ready"),
        ("GET", "/metrics"),
        ("GET", "/dump"),
        ("GET", "/other"),
        ("HEAD", "/ready"),
        ("DELETE", "/ready"),
    ):
        response = await client.fetch(
            f"http://127.0.0.1:{port}{path}",
            method=method,
            raise_error=False,
        )
        key = path if method == "GET" else f"{method} {path}"
        responses[key] = (response.code, response.body)
    client.close()
    await server.stop()
    return responses


def test_status_routes() -> None:
    """Guards against a probe that reports success when not ready."""
    responses = asyncio.run(_fetch_all(_dump))
    assert responses["/health"] == (200, b'{"ok":true}')
    assert responses["/ready"] == (503, b'{"ok":false,"reason":"no leader"}')
    assert responses["/metrics"][0] == 200
    assert responses["/dump"][0] == 200
    assert msgspec.json.decode(responses["/dump"][1]) == {
        "cluster_token": "(redacted)",
        "term": 4,
    }
    assert responses["/other"][0] == 404
    assert responses["HEAD /ready"] == (503, b"")
    assert responses["DELETE /ready"][0] == 405


def test_failing_dump_returns_status_500() -> None:
    """Guards against a failing dump that ends the connection or process."""

    def fail() -> None:
        raise KeyError("term")

    responses = asyncio.run(_fetch_all(fail))
    assert responses["/dump"][0] == 500
    assert responses["/other"][0] == 404


def test_second_signal_aborts() -> None:
    """Guards against a shutdown that can't be aborted or starts twice."""
    received_signals: list[str] = []

    async def receive_signals() -> None:
        loop = asyncio.get_running_loop()
        handler_called = asyncio.Event()

        def record(name: str) -> Callable[[], None]:
            def handle() -> None:
                received_signals.append(name)
                handler_called.set()

            return handle

        signals = ProgramSignals(
            record("stop"), record("abort"), record("dump")
        )
        signals.install(loop)
        for signal_number in (signal.SIGUSR1, signal.SIGTERM, signal.SIGTERM):
            handler_called.clear()
            os.kill(os.getpid(), signal_number)
            await handler_called.wait()
        signals.remove(loop)

    asyncio.run(receive_signals())
    assert received_signals == ["dump", "stop", "abort"]
