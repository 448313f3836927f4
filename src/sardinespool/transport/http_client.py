"""Persistent HTTP/1.1 client connection without pipelining."""

import asyncio
from collections.abc import Callable

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import StreamClosedError

from sardinespool.transport.http_exchange import Exchange
from sardinespool.transport.http_messages import ExchangeLost
from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_stream import HttpStream

HEADER_LIMIT_BYTES = 65_536
REQUEST_ID_HEADER = "Sardinespool-Request-Id"


class HttpConnection:
    """One connection, read by a dedicated task.

    The task reads also while no request is in progress, to detect that the
    server closed the idle connection or sent bytes that belong to no request.
    The connection isn't used again after either.

    Parameters
    ----------
    stream : HttpStream
        Connected stream.
    host : str
        Value of the ``Host`` request header.
    body_limit_bytes : int
        Maximum size of a response body.
    """

    def __init__(
        self, stream: HttpStream, host: str, body_limit_bytes: int
    ) -> None:
        self._stream = stream
        self._host = host
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=HEADER_LIMIT_BYTES,
            max_body_size=body_limit_bytes,
        )
        self._exchange = Exchange()
        self._http_connection = HTTP1Connection(stream, True, self._parameters)
        self._reader_task = asyncio.create_task(self._read_responses())

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    @property
    def idle(self) -> bool:
        """Whether the connection can take a request."""
        return not self._stream.closed() and not self._exchange.started

    async def exchange(
        self,
        request: HttpRequest,
        request_id: str,
        may_send: Callable[[], bool],
        timeout_s: float,
    ) -> ExchangeResult:
        """Send a request and return its complete response.

        If no complete response arrives or the caller is cancelled, the
        connection is closed.

        Parameters
        ----------
        request : HttpRequest
            Request, sent at most once.
        request_id : str
            Sent as ``Sardinespool-Request-Id``; the response must repeat it.
            Not sent if empty, for servers that don't repeat it.
        may_send : callable
            Called right before the first byte is sent; False cancels it.
        timeout_s : float
            Time to wait for the complete response before the connection is
            closed.
        """
        exchange = self._exchange
        sent_bytes_before = self._stream.sent_bytes
        refusal = self._check_sendable(may_send)
        if refusal is not None:
            return refusal
        exchange.start(request_id, request.method)
        try:
            self._write_request(request, request_id)
        except (
            StreamClosedError,
            httputil.HTTPInputError,
            httputil.HTTPOutputError,
            ValueError,
        ) as error:
            self.close()
            return self._write_failure(
                sent_bytes_before,
                f"the write failed: {error}",
                isinstance(error, StreamClosedError),
            )
        if self._stream.closed():
            return self._write_failure(
                sent_bytes_before, "the write failed", True
            )
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self._on_timeout, exchange)
        try:
            result = await exchange.result
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            timer.cancel()
        if (
            isinstance(result, ExchangeLost)
            and self._stream.sent_bytes == sent_bytes_before
        ):
            return ExchangeNotSent(result.reason, result.peer_closed)
        return result

    def close(self) -> None:
        """Close the connection, which ends its reader task."""
        self._stream.close()

    async def wait_closed(self) -> None:
        """Close the connection and wait until its reader task ends."""
        self.close()
        await asyncio.wait([self._reader_task])

    def _check_sendable(
        self, may_send: Callable[[], bool]
    ) -> ExchangeNotSent | None:
        if self._stream.closed() or self._exchange.started:
            return ExchangeNotSent("the connection was closed")
        state = self._stream.peer_state()
        if state != "quiet":
            self.close()
            return ExchangeNotSent(
                f"the idle connection had {state}", state == "closed"
            )
        if not may_send():
            return ExchangeNotSent("the request may no longer be sent")
        return None

    def _write_request(self, request: HttpRequest, request_id: str) -> None:
        headers = httputil.HTTPHeaders()
        headers.add("Host", self._host)
        for name, value in request.headers:
            headers.add(name, value)
        if request_id:
            headers[REQUEST_ID_HEADER] = request_id
        headers["Content-Length"] = str(len(request.body))
        start_line = httputil.RequestStartLine(
            request.method, request.target, "HTTP/1.1"
        )
        self._http_connection.write_headers(start_line, headers, request.body)
        self._http_connection.finish()

    def _write_failure(
        self, sent_bytes_before: int, reason: str, peer_closed: bool
    ) -> ExchangeResult:
        if self._stream.sent_bytes == sent_bytes_before:
            return ExchangeNotSent(reason, peer_closed)
        return ExchangeLost(reason, peer_closed)

    def _on_timeout(self, exchange: Exchange) -> None:
        exchange.fail("no whole answer arrived before the deadline")
        self.close()

    async def _read_responses(self) -> None:
        peer_closed = False
        try:
            while not self._stream.closed():
                await self._http_connection.read_response(self._exchange)
                completed = self._exchange
                if not completed.may_reuse:
                    break
                # The next read starts before this response is delivered, to
                # detect bytes that follow the response.
                self._exchange = Exchange()
                self._http_connection = HTTP1Connection(
                    self._stream, True, self._parameters
                )
                completed.deliver()
            reason = "the answer was cut off or malformed"
        except StreamClosedError:
            reason = "the connection was closed before the answer"
            peer_closed = True
        except Exception as error:
            reason = f"the answer could not be read: {error!r}"
        self._stream.close()
        self._exchange.deliver()
        self._exchange.fail(reason, peer_closed)
