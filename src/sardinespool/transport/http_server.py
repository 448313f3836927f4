"""HTTP server that passes complete requests to a handler."""

import asyncio
import dataclasses
import functools
import http.client
import ssl
from collections.abc import Awaitable
from collections.abc import Callable

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream

from sardinespool.settings.addresses import split_address
from sardinespool.transport import system_clock
from sardinespool.transport.arrivals import ArrivalRecorder
from sardinespool.transport.arrivals import LoopWatch
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.guarded_stream import GuardedStream
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_stream import is_closed_by_peer
from sardinespool.transport.listener_guard import ListenerGuard
from sardinespool.transport.request_receiver import RequestReceiver
from sardinespool.transport.waiting_server import WaitingServer

LINGER_TIMEOUT_S = 1.0
"""Exceeds the round-trip time of any caller that is still sending."""
_SETTLE_PASSES = 10
"""Passes of the event loop from an accepted connection to its request."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of one listener.

    `header_limit_bytes` includes the request line. Idle connections are
    closed after `idle_timeout_s`, which exceeds the 15 s that callers keep
    them. `receive_buffer_bytes` is half of what the kernel may hold of a
    connection, which counts as memory of the host; None for its default.
    """

    body_limit_bytes: int
    header_limit_bytes: int = 32_768
    idle_timeout_s: float = 20.0
    connection_class: ConnectionClass = ConnectionClass.CALLER
    receive_buffer_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as it was received.

    If `too_large`, the body exceeded the limit and `request.body` is empty.

    Attributes
    ----------
    since_boot_ms : int
        Time after which its first byte arrived, if the listener has a watch;
        else when it was read.
    has_client_left : callable
        Whether the client has closed the connection.
    """

    request: HttpRequest
    too_large: bool = False
    since_boot_ms: int = dataclasses.field(
        default_factory=lambda: system_clock.now().boot_ms
    )
    has_client_left: Callable[[], bool] = lambda: False


Handler = Callable[[ReceivedRequest], Awaitable[HttpResponse]]


class HttpListener(httputil.HTTPServerConnectionDelegate):
    """Accepts connections and passes each request to the handler.

    Parameters
    ----------
    address : str
        ``ip:port``.
    handler : callable
        Returns the response; must not raise.
    limits : ServerLimits
        Limits of requests.
    tls_context : ssl.SSLContext or None
        Server-side TLS context; None for plain TCP.
    watch : LoopWatch or None
        Tells when requests arrived.
    guard : ListenerGuard or None
        Guard of the process; None for one with the default limits.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: ServerLimits,
        tls_context: ssl.SSLContext | None = None,
        watch: LoopWatch | None = None,
        guard: ListenerGuard | None = None,
    ) -> None:
        self._guard = guard or ListenerGuard()
        self._address = address
        self._handler = handler
        self._limits = limits
        self._in_progress: set[asyncio.Task[None]] = set()
        self._receiving: set[RequestReceiver] = set()
        self._received = asyncio.Event()
        self._closing = False
        self._watch = watch
        self._arrivals: dict[object, ArrivalRecorder] = {}
        self._server = WaitingServer(
            self,
            admit=self._admit,
            ssl_options=tls_context,
            max_header_size=limits.header_limit_bytes,
            # The body limit is checked in `RequestReceiver`, so that the
            # response carries a typed error.
            max_body_size=2**62,
        )

    @property
    def body_limit_bytes(self) -> int:
        """Size of the largest body."""
        return self._limits.body_limit_bytes

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return len(self._in_progress)

    def start(self) -> None:
        """Start listening; raise `OSError` if the address can't be bound."""
        host, port = split_address(self._address)
        self._server.listen_on(host, port, self._limits.receive_buffer_bytes)

    def _admit(self, stream: IOStream, address: str) -> GuardedStream | None:
        return self._guard.accept(
            stream,
            address,
            self._limits.connection_class,
            int(self._limits.idle_timeout_s * 1_000),
        )

    def close_after_responses(self) -> None:
        """Close each connection after its next response from now on."""
        self._closing = True

    async def wait_for_connections(
        self, limit_s: float = LINGER_TIMEOUT_S
    ) -> None:
        """Wait until the clients have closed their connections.

        Parameters
        ----------
        limit_s : float
            Maximum wait. Requests that are in transit on idle connections
            still get a response during it instead of a reset connection.
        """
        try:
            async with asyncio.timeout(limit_s):
                await self._server.wait_for_close()
        except TimeoutError:
            pass

    async def stop(self, limit_s: float | None = None) -> None:
        """Stop listening and close all connections.

        Requests that have arrived are completed first.

        Parameters
        ----------
        limit_s : float or None
            Maximum wait, after which requests are aborted; None for no limit.
        """
        self.close_after_responses()
        self._server.stop()
        try:
            async with asyncio.timeout(limit_s):
                await self._finish_requests()
        except TimeoutError:
            for task in self._in_progress:
                task.cancel()
        # No other task runs between the last check and the end of this loop,
        # so that no request is dispatched whose connection is then closed.
        for stream in self._server.open_streams:
            stream.close()
        await self._server.close_all_connections()
        if self._in_progress:
            await asyncio.wait(self._in_progress)

    async def _finish_requests(self) -> None:
        """Wait until no request is in progress or about to be dispatched."""
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                await self._settle(include_receiving=True)
        except TimeoutError:
            # A client may have stalled within a request.
            await self._settle(include_receiving=False)

    async def _settle(self, include_receiving: bool) -> None:
        quiet_passes = 0
        while quiet_passes < _SETTLE_PASSES:
            quiet_passes += 1
            await asyncio.sleep(0)
            if self._in_progress:
                quiet_passes = 0
                await asyncio.wait(self._in_progress)
            elif self._receiving and include_receiving:
                quiet_passes = 0
                self._received.clear()
                await self._received.wait()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the receiver of the next request on a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        arrival = None
        if self._watch is not None:
            arrival = self._arrivals.get(server_conn)
            if arrival is None:
                arrival = ArrivalRecorder(request_conn.stream, self._watch)
                self._arrivals[server_conn] = arrival
            arrival.expect_request()
        guarded = self._server.guarded(request_conn.stream)
        return RequestReceiver(self, request_conn, guarded, arrival)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has ended."""
        self._arrivals.pop(server_conn, None)

    def add_receiving(self, receiver: RequestReceiver) -> None:
        """Note that a request has begun to arrive."""
        self._receiving.add(receiver)

    def discard_receiving(self, receiver: RequestReceiver) -> None:
        """Note that a request has arrived or that its connection ended."""
        self._receiving.discard(receiver)
        self._received.set()

    def dispatch(
        self,
        connection: HTTP1Connection,
        guarded: GuardedStream,
        request: HttpRequest,
        too_large: bool,
        since_boot_ms: int,
    ) -> None:
        """Start a task that responds to a request."""
        received = ReceivedRequest(
            request,
            too_large,
            since_boot_ms,
            functools.partial(is_closed_by_peer, connection.stream),
        )
        task = asyncio.create_task(
            self._respond(connection, guarded, received)
        )
        self._in_progress.add(task)
        task.add_done_callback(self._in_progress.discard)

    async def _respond(
        self,
        connection: HTTP1Connection,
        guarded: GuardedStream,
        received: ReceivedRequest,
    ) -> None:
        try:
            response = await self._handler(received)
            guarded.set_answering(len(response.body))
            await self._send(connection, response, received.request.method)
        finally:
            guarded.set_idle()

    async def _send(
        self, connection: HTTP1Connection, response: HttpResponse, method: str
    ) -> None:
        headers = httputil.HTTPHeaders()
        for name, value in response.headers:
            headers.add(name, value)
        without_body = response.status in (204, 304)
        is_head = method == "HEAD"
        if not without_body and not (is_head and "Content-Length" in headers):
            headers["Content-Length"] = str(len(response.body))
        stream = connection.stream
        # A pipelined request that was read ahead is answered first.
        is_last = self._closing and not stream._read_buffer_size
        if is_last:
            headers["Connection"] = "close"
        start_line = httputil.ResponseStartLine(
            "HTTP/1.1",
            response.status,
            http.client.responses.get(response.status, "Unknown"),
        )
        body = b"" if is_head or without_body else response.body
        try:
            connection.write_headers(start_line, headers, body)
            # The future of `write_headers` may stay pending after the
            # connection is closed; that of an empty write always completes.
            flushed = stream.write(b"")
            if is_last:
                await flushed
                connection.close()
                return
            connection.finish()
            await flushed
        except OSError:
            # The client disconnected; the request itself is complete.
            return
