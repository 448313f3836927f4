"""HTTP listener that gives whole requests to a handler."""

import asyncio
import dataclasses
import http.client
import ssl
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from sardinespool.settings.addresses import split_address
from sardinespool.transport.http_messages import HttpAnswer
from sardinespool.transport.http_messages import HttpRequest

_DRAINED_BODIES = 8
"""Bodies over the limit are read and dropped up to eight times the limit.

A server that closes with unread bytes resets the connection, and the client
may then lose the answer that says why.
"""
_READ_TIMEOUT_S = 30.0
LINGER_S = 1.0
"""Longer than the round trip of any caller that is still sending."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of one listener.

    `header_limit_bytes` covers the request line too. An idle connection is
    closed after `idle_timeout_s`.
    """

    body_limit_bytes: int
    header_limit_bytes: int = 32_768
    idle_timeout_s: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as the listener got it.

    If `too_large`, the body was over the limit and `request.body` is empty.
    """

    request: HttpRequest
    too_large: bool = False


Handler = Callable[[ReceivedRequest], Awaitable[HttpAnswer]]


class HttpListener(httputil.HTTPServerConnectionDelegate):
    """Accepts connections and answers each request from the handler.

    Parameters
    ----------
    address : str
        ``ip:port``.
    handler : callable
        Returns the answer; it raises nothing.
    limits : ServerLimits
        Limits of requests.
    context : ssl.SSLContext or None
        TLS context of the server side.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: ServerLimits,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self._address = address
        self._handler = handler
        self._limits = limits
        self._in_progress: set[asyncio.Task[None]] = set()
        self._closing = False
        self._server = _Server(
            self,
            ssl_options=context,
            max_header_size=limits.header_limit_bytes,
            # Checked here instead, so that the answer is a typed one.
            max_body_size=2**62,
            idle_connection_timeout=limits.idle_timeout_s,
            body_timeout=_READ_TIMEOUT_S,
        )

    @property
    def limits(self) -> ServerLimits:
        """Limits of this listener."""
        return self._limits

    @property
    def in_progress(self) -> int:
        """Number of requests that are being answered."""
        return len(self._in_progress)

    def start(self) -> None:
        """Listen; raise `OSError` if the address can't be bound."""
        host, port = split_address(self._address)
        self._server.add_sockets(bind_sockets(port, host))

    def close_after_answers(self) -> None:
        """Close each connection with its next answer from now on."""
        self._closing = True
        self._server.conn_params.no_keep_alive = True

    async def linger(self, limit_s: float = LINGER_S) -> None:
        """Wait until the clients have closed their connections.

        Parameters
        ----------
        limit_s : float
            Longest wait. Requests that are on their way on idle connections
            get an answer in it instead of a cut connection.
        """
        try:
            async with asyncio.timeout(limit_s):
                await self._server.wait_for_close()
        except TimeoutError:
            pass

    async def stop(self) -> None:
        """Accept no further connections and close all.

        Requests in progress are answered first.
        """
        self.close_after_answers()
        self._server.stop()
        while self._in_progress:
            await asyncio.wait(self._in_progress)
        await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the receiver of the next request of a connection."""
        return _Receiver(self, request_conn)

    def answer(
        self, connection: httputil.HTTPConnection, received: ReceivedRequest
    ) -> None:
        """Start to answer a request."""
        task = asyncio.create_task(self._answer(connection, received))
        self._in_progress.add(task)
        task.add_done_callback(self._in_progress.discard)

    async def _answer(
        self, connection: httputil.HTTPConnection, received: ReceivedRequest
    ) -> None:
        answer = await self._handler(received)
        headers = httputil.HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        without_body = answer.status in (204, 304)
        head = received.request.method == "HEAD"
        if not without_body and not (head and "Content-Length" in headers):
            headers["Content-Length"] = str(len(answer.body))
        if self._closing:
            # The request may have come before the listener was closing.
            headers["Connection"] = "close"
        line = httputil.ResponseStartLine(
            "HTTP/1.1",
            answer.status,
            http.client.responses.get(answer.status, "Unknown"),
        )
        body = b"" if head or without_body else answer.body
        assert isinstance(connection, HTTP1Connection)
        try:
            connection.write_headers(line, headers, body)
            # The future of `write_headers` may stay pending after the
            # connection is closed; that of an empty write ends either way.
            flushed = connection.stream.write(b"")
            connection.finish()
            await flushed
            if self._closing:
                connection.close()
        except OSError:
            # The caller has gone; the request itself has ended.
            return


class _Server(HTTPServer):
    """Server that can wait until its clients have closed."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """See `tornado.httpserver.HTTPServer`."""
        super().initialize(*args, **kwargs)
        self._closed = asyncio.Event()

    def on_close(self, server_conn: object) -> None:
        """Note the end of a connection."""
        super().on_close(server_conn)
        self._closed.set()

    async def wait_for_close(self) -> None:
        """Return once no connection is open."""
        while self._connections:
            self._closed.clear()
            await self._closed.wait()


class _Receiver(httputil.HTTPMessageDelegate):
    """Collects one request."""

    def __init__(
        self, listener: HttpListener, connection: httputil.HTTPConnection
    ) -> None:
        self._listener = listener
        self._connection = connection
        self._line: httputil.RequestStartLine | None = None
        self._headers: httputil.HTTPHeaders | None = None
        self._body = bytearray()
        self._received_bytes = 0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Refuse a body at once that is far over the limit."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._line = start_line
        self._headers = headers
        declared = headers.get("Content-Length", "")
        limit_bytes = self._listener.limits.body_limit_bytes
        if declared.isdigit() and (
            int(declared) > _DRAINED_BODIES * limit_bytes
        ):
            self._deliver(too_large=True)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body; drop it beyond the limit."""
        self._received_bytes += len(chunk)
        limit_bytes = self._listener.limits.body_limit_bytes
        if self._received_bytes <= limit_bytes:
            self._body += chunk
            return
        self._body.clear()
        if self._received_bytes > _DRAINED_BODIES * limit_bytes:
            raise httputil.HTTPInputError("Body far over the limit.")

    def finish(self) -> None:
        """Give the request to the handler."""
        self._deliver(
            self._received_bytes > self._listener.limits.body_limit_bytes
        )

    def on_connection_close(self) -> None:
        """Drop a request that did not arrive whole."""
        self._line = None

    def _deliver(self, too_large: bool) -> None:
        line, self._line = self._line, None
        if line is None or self._headers is None:
            return
        request = HttpRequest(
            line.method,
            line.path,
            tuple(self._headers.get_all()),
            bytes(self._body),
        )
        self._listener.answer(
            self._connection, ReceivedRequest(request, too_large)
        )
