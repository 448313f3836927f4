"""Minimal HTTP/1.1 client and server with JSON bodies."""

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

Handler = Callable[[str, dict[str, str], Any], Awaitable[tuple[int, Any]]]
"""Returns status and body for a path, headers and a body."""


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return start line, headers in lower case and body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return start_line, headers, body


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, Any]:
    """Send a request on a new connection; return status and body.

    The status is 0 if no response came in time.
    """
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else json.dumps(body).encode()
    fields = {
        "Host": address,
        "Content-Type": "application/json",
        "Content-Length": str(len(data)),
        **(headers or {}),
    }
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields.items()
    )
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b"\r\n" + data)
            start_line, _, answer = await read_message(reader)
            status = int(start_line.split()[1])
            return status, json.loads(answer) if answer else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Server whose connections can be cut as by the end of its process.

    Parameters
    ----------
    address : str
        ``ip:port``.
    handler : callable
        Handles one request.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = self._address.rsplit(":", 1)
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )

    def kill(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while self._server is not None:
                start_line, headers, body = await read_message(reader)
                path = start_line.split()[1]
                parsed = json.loads(body) if body else None
                status, answer = await self._handler(path, headers, parsed)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
