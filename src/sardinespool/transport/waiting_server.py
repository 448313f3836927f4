"""HTTP server of Tornado whose connections a guard admits."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.iostream import BaseIOStream
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from sardinespool.transport.guarded_stream import GuardedStream

READ_BYTES = 16_384
"""Bytes of one read, which each connection may hold unasked."""
CHUNK_BYTES = 65_536
"""Largest part of a body that is passed on at once."""
READ_BUFFER_BYTES_MAX = 131_072
"""Fits the largest head or part, and a read."""
OVERLOAD_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

Admit = Callable[[IOStream, str], GuardedStream | None]


class WaitingServer(HTTPServer):
    """Server that can wait until its clients have disconnected."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """See `tornado.httpserver.HTTPServer`.

        `admit` returns the account of a connection, or None to refuse it.
        """
        self._admit: Admit = kwargs.pop("admit")
        kwargs["chunk_size"] = CHUNK_BYTES
        kwargs["max_buffer_size"] = READ_BUFFER_BYTES_MAX
        super().initialize(*args, **kwargs)
        self.read_chunk_size = READ_BYTES
        # The guard closes what takes too long, without a timer a request.
        self.conn_params.header_timeout = None
        self._connection_closed = asyncio.Event()
        self._guarded: dict[BaseIOStream, GuardedStream] = {}

    def listen_on(
        self, host: str, port: int, receive_buffer_bytes: int | None
    ) -> None:
        """Start listening; raise `OSError` if the address can't be bound."""
        sockets = bind_sockets(port, host)
        for listening_socket in sockets:
            if receive_buffer_bytes is None:
                break
            # Accepted sockets inherit it.
            listening_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self.add_sockets(sockets)

    def handle_stream(
        self, stream: IOStream, address: tuple[Any, ...]
    ) -> None:
        """Serve a connection if it is admitted."""
        guarded = self._admit(stream, str(address[0]))
        if guarded is None:
            with contextlib.suppress(OSError):
                stream.write(OVERLOAD_RESPONSE)
            stream.close()
            return
        self._guarded[stream] = guarded
        super().handle_stream(stream, address)

    def guarded(self, stream: BaseIOStream) -> GuardedStream:
        """Return the account of a connection."""
        return self._guarded[stream]

    def on_close(self, server_conn: object) -> None:
        """Wake `wait_for_close` when a connection ends."""
        super().on_close(server_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._guarded.pop(server_conn.stream).close()
        self._connection_closed.set()

    @property
    def open_streams(self) -> list[BaseIOStream]:
        """Streams of the open connections."""
        return [connection.stream for connection in self._connections]

    def stop(self) -> None:
        """Accept the connections that clients have opened, then stop."""
        for listening_socket in self._sockets.values():
            with contextlib.suppress(OSError):
                while True:
                    self._handle_connection(*listening_socket.accept())
        super().stop()

    async def wait_for_close(self) -> None:
        """Return once no connection is open."""
        while self._connections:
            self._connection_closed.clear()
            await self._connection_closed.wait()
