"""Small HTTP/1.1 client and server on asyncio streams."""

import asyncio
import dataclasses
import json
import socket
import struct
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any


@dataclasses.dataclass(frozen=True)
class Call:
    """A received request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Answer = tuple[int, Any]
Handler = Callable[[Call], Awaitable[Answer | None]]
"""Returns status and JSON body; None leaves the call without an answer."""


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = lines.strip().split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Let the close of a connection reset it, as the end of a process may."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )


class HttpServer:
    """Serves persistent connections; one call at a time on each.

    Parameters
    ----------
    handler : callable
        Answers a call.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True
        )

    def abort(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset_on_close(writer)
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                first, headers = await _read_head(reader)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                method, path, _ = first.split(" ", 2)
                answer = await self._handler(Call(method, path, headers, body))
                if answer is None:
                    continue
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()


class HttpClient:
    """One persistent connection, opened when it is needed."""

    def __init__(self) -> None:
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._address = ""

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> Answer | None:
        """Return status and body; None if there is no answer in time."""
        if address != self._address or (
            self._reader is not None and self._reader.at_eof()
        ):
            # A server closes connections that are idle for long.
            self.close()
            self._address = address
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(
                    address, method, path, body, headers or {}
                )
        except (OSError, EOFError, TimeoutError):
            self.close()
            return None

    async def _exchange(
        self,
        address: str,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
    ) -> Answer:
        host, _, port = address.rpartition(":")
        if self._writer is None or self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        data = b"" if body is None else json.dumps(body).encode()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Content-Length: {len(data)}",
            "Content-Type: application/json",
        ]
        if "Host" not in headers:
            lines.append(f"Host: {address}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + data)
        await self._writer.drain()
        first, answered = await _read_head(self._reader)
        content = await self._reader.readexactly(
            int(answered.get("content-length", "0"))
        )
        if answered.get("connection", "").lower() == "close":
            self.close()
        status = int(first.split(" ")[1])
        try:
            return status, json.loads(content) if content else {}
        except ValueError:
            return status, {}
