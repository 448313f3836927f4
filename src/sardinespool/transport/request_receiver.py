"""Receives one HTTP request and passes it on, or refuses it."""

import http.client
from typing import Protocol

from tornado import httputil
from tornado.http1connection import HTTP1Connection

from sardinespool.transport import system_clock
from sardinespool.transport.arrivals import ArrivalRecorder
from sardinespool.transport.guarded_stream import GuardedStream
from sardinespool.transport.http_messages import Headers
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse

_DRAIN_LIMIT_FACTOR = 8
"""Bodies over the limit are read and discarded up to 8 times the limit.

A server that closes a connection with unread bytes resets it, and the client
may then lose the response with the error.
"""
HEADER_OVERHEAD_BYTES = 200
"""Memory of the objects of one header."""
PART_OVERHEAD_BYTES = 64
"""Memory of a part of a body beside its bytes."""
_REFUSAL_ERRORS = {408: "request-timeout", 503: "overloaded"}


class RequestSink(Protocol):
    """Takes what a receiver has received."""

    @property
    def body_limit_bytes(self) -> int:
        """Size of the largest body."""

    def add_receiving(self, receiver: "RequestReceiver") -> None:
        """Note that a request has begun to arrive."""

    def discard_receiving(self, receiver: "RequestReceiver") -> None:
        """Note that a request has arrived or that its connection ended."""

    def dispatch(
        self,
        connection: HTTP1Connection,
        guarded: GuardedStream,
        request: HttpRequest,
        too_large: bool,
        since_boot_ms: int,
    ) -> None:
        """Respond to a complete request."""


class RequestReceiver(httputil.HTTPMessageDelegate):
    """Collects one request and dispatches it to the listener.

    Parameters
    ----------
    sink : RequestSink
        Takes the request.
    connection : HTTP1Connection
        Connection of the request.
    guarded : GuardedStream
        Account of the connection.
    arrival : ArrivalRecorder or None
        Tells when the request arrived.
    """

    def __init__(
        self,
        sink: RequestSink,
        connection: HTTP1Connection,
        guarded: GuardedStream,
        arrival: ArrivalRecorder | None,
    ) -> None:
        self._sink = sink
        self._connection = connection
        self._guarded = guarded
        self._arrival = arrival
        self._start_line: httputil.RequestStartLine | None = None
        self._headers: Headers = ()
        self._parts: list[bytes] = []
        self._received_bytes = 0
        self._refused = False
        self._complete = False
        guarded.refuse = self.refuse

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Refuse a request whose declared length is far over the limit."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start_line = start_line
        self._headers = tuple(headers.get_all())
        self._sink.add_receiving(self)
        self._guarded.add_overhead(HEADER_OVERHEAD_BYTES * len(self._headers))
        declared_length = headers.get("Content-Length", "")
        limit_bytes = self._sink.body_limit_bytes
        if declared_length.isdigit() and (
            int(declared_length) > _DRAIN_LIMIT_FACTOR * limit_bytes
        ):
            self._dispatch(too_large=True)

    def data_received(self, chunk: bytes) -> None:
        """Append a part of the body; discard the body if over the limit."""
        if self._start_line is None and not self._refused:
            # It was answered by its declared length.
            self._guarded.hold(0)
            return
        self._received_bytes += len(chunk)
        limit_bytes = self._sink.body_limit_bytes
        if self._received_bytes <= limit_bytes and not self._refused:
            self._parts.append(chunk)
            self._guarded.add_overhead(PART_OVERHEAD_BYTES)
            return
        self._parts.clear()
        self._guarded.hold(0)
        if self._received_bytes > _DRAIN_LIMIT_FACTOR * limit_bytes:
            raise httputil.HTTPInputError(
                "The body is far over the size limit."
            )

    def finish(self) -> None:
        """Dispatch the complete request."""
        if self._refused:
            # The refusal has been sent while the body was discarded.
            self._connection.stream.write(b"").add_done_callback(
                lambda _: self._connection.close()
            )
            return
        self._dispatch(self._received_bytes > self._sink.body_limit_bytes)

    def on_connection_close(self) -> None:
        """Discard an incomplete request."""
        self._start_line = None
        self._parts.clear()
        self._sink.discard_receiving(self)

    def refuse(self, status: int, drain: bool) -> None:
        """Answer a request before all of it has arrived.

        Parameters
        ----------
        status : int
            Status of the answer.
        drain : bool
            Whether to discard what still arrives, so that a client that is
            still sending gets the answer; otherwise the connection is closed.
        """
        if self._refused:
            return
        self._refused = True
        has_head = self._start_line is not None
        self.on_connection_close()
        stream = self._connection.stream
        response = refusal_response(status)
        try:
            if has_head:
                self._connection.write_headers(
                    httputil.ResponseStartLine(
                        "HTTP/1.1",
                        status,
                        http.client.responses[status],
                    ),
                    httputil.HTTPHeaders(dict(response.headers)),
                    response.body,
                )
            else:
                stream.write(_encode(response))
        except OSError:
            stream.close()
        if has_head and drain and not self._complete:
            self._guarded.set_draining()
        else:
            stream.close()

    def _dispatch(self, too_large: bool) -> None:
        self._sink.discard_receiving(self)
        start_line = self._start_line
        if start_line is None:
            return
        self._complete = True
        # A body of one part, like those of ordinary jobs, is not copied.
        body = b"".join(self._parts)
        self._parts.clear()
        if not self._guarded.start_running(len(body)):
            # The guard calls `refuse`.
            return
        self._start_line = None
        request = HttpRequest(
            start_line.method, start_line.path, self._headers, body
        )
        since_boot_ms = (
            system_clock.now().boot_ms
            if self._arrival is None
            else self._arrival.earliest_arrival_boot_ms
        )
        self._sink.dispatch(
            self._connection, self._guarded, request, too_large, since_boot_ms
        )


def refusal_response(status: int) -> HttpResponse:
    """Return the answer to a request that was given up and has not run."""
    body = b'{"error":"%s"}' % _REFUSAL_ERRORS[status].encode()
    headers: Headers = (
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    )
    if status == 503:
        headers += (("Retry-After", "1"),)
    return HttpResponse(status, headers, body)


def _encode(response: HttpResponse) -> bytes:
    reason = http.client.responses[response.status]
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    return "\r\n".join([*lines, "", ""]).encode() + response.body
