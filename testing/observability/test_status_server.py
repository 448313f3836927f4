"""Status routes and signals."""

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


async def _dump() -> Any:
    return {"cluster_token": "secret", "term": 4}


async def _fetch_all(
    dump: Callable[[], Any],
) -> dict[str, tuple[int, bytes]]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    server = StatusServer(
        f"127.0.0.1:{port}",
        Metrics("store", "s"),
        health=lambda: True,
        ready=lambda: ProbeResult(False, {"reason": "no leader"}),
        dump=dump,
    )
    server.start()
    client = tornado.httpclient.AsyncHTTPClient()
    answers = {}
    for method, path in (
        ("GET", "/health"),
        ("GET", "/ready"),
        ("GET", "/metrics"),
        ("GET", "/dump"),
        ("GET", "/other"),
        ("HEAD", "/ready"),
        ("DELETE", "/ready"),
    ):
        answer = await client.fetch(
            f"http://127.0.0.1:{port}{path}",
            method=method,
            raise_error=False,
        )
        key = path if method == "GET" else f"{method} {path}"
        answers[key] = (answer.code, answer.body)
    client.close()
    await server.stop()
    return answers


def test_status_routes() -> None:
    """Guards against a probe that reports success when not ready."""
    answers = asyncio.run(_fetch_all(_dump))
    assert answers["/health"] == (200, b'{"ok":true}')
    assert answers["/ready"] == (503, b'{"ok":false,"reason":"no leader"}')
    assert answers["/metrics"][0] == 200
    assert answers["/dump"][0] == 200
    assert msgspec.json.decode(answers["/dump"][1]) == {
        "cluster_token": "(redacted)",
        "term": 4,
    }
    assert answers["/other"][0] == 404
    assert answers["HEAD /ready"] == (503, b"")
    assert answers["DELETE /ready"][0] == 405


def test_failing_dump_is_an_answer() -> None:
    """Guards against a dump whose fault ends the connection or process."""

    def fail() -> None:
        raise KeyError("term")

    answers = asyncio.run(_fetch_all(fail))
    assert answers["/dump"][0] == 500
    assert answers["/other"][0] == 404


def test_second_signal_aborts() -> None:
    """Guards against a shutdown that can't be ended, or that starts twice."""
    seen: list[str] = []

    async def receive() -> None:
        loop = asyncio.get_running_loop()
        handled = asyncio.Event()

        def record(name: str) -> Callable[[], None]:
            def handle() -> None:
                seen.append(name)
                handled.set()

            return handle

        signals = ProgramSignals(
            record("stop"), record("abort"), record("dump")
        )
        signals.install(loop)
        for number in (signal.SIGUSR1, signal.SIGTERM, signal.SIGTERM):
            handled.clear()
            os.kill(os.getpid(), number)
            await handled.wait()
        signals.remove(loop)

    asyncio.run(receive())
    assert seen == ["dump", "stop", "abort"]
