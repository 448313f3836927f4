"""HTTP server on a raw socket whose answers a test scripts."""

import asyncio
import dataclasses
import functools
import re
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import ParamSpec

from sardinespool.clock import Instant

P = ParamSpec("P")

NOW = Instant(1_000_000, 1_700_000_000_000)
LATER_UNIX_MS = NOW.unix_ms + 60_000


def run_async(
    test: Callable[P, Coroutine[Any, Any, None]],
) -> Callable[P, None]:
    """Run an asynchronous test in a new event loop."""

    @functools.wraps(test)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        asyncio.run(test(*args, **kwargs))

    return run


@dataclasses.dataclass
class RecordedRequest:
    """One request and the connection that it arrived on."""

    head: str
    body: bytes
    connection: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def request_id(self) -> str:
        return self.header("sardinespool-request-id")

    def header(self, name: str) -> str:
        match = re.search(rf"(?im)^{name}: (.*?)\r$", self.head)
        return match[1] if match else ""

    def answer(
        self, body: bytes = b"ok", extra: str = "", status: str = "200 OK"
    ) -> bytes:
        head = (
            f"HTTP/1.1 {status}\r\n"
            f"Sardinespool-Request-Id: {self.request_id}\r\n"
            f"Content-Length: {len(body)}\r\n{extra}\r\n"
        )
        return head.encode() + body


Script = Callable[[RecordedRequest], Awaitable[None]]


class ScriptedServer:
    """Counts connections and passes each request to a script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0
        self.requests: list[RecordedRequest] = []
        self.address = ""

    async def __aenter__(self) -> "ScriptedServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *details: object) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        try:
            while not writer.is_closing():
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                received = RecordedRequest(head, b"", number, reader, writer)
                length = int(received.header("content-length") or 0)
                received.body = await reader.readexactly(length)
                self.requests.append(received)
                await self.script(received)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def reply(received: RecordedRequest) -> None:
    """Answer as a correct endpoint does."""
    received.writer.write(received.answer())
    await received.writer.drain()
