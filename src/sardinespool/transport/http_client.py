"""Persistent HTTP/1.1 connection with one request at a time."""

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
    """One connection, owned by its reading task.

    The task waits for an answer also while no request is in progress. So it
    notices when the other side closes an idle connection or sends bytes that
    belong to no request, and the connection is never used again after that.

    Parameters
    ----------
    stream : HttpStream
        Connected stream.
    host : str
        Value of the ``Host`` header.
    body_limit_bytes : int
        Largest body of an answer.
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
        self._http = HTTP1Connection(stream, True, self._parameters)
        self._task = asyncio.create_task(self._read_answers())

    @property
    def closed(self) -> bool:
        """Whether the connection takes no more requests."""
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
        """Send a request and return its whole answer.

        After any other ending, and when the caller is cancelled, the
        connection is closed.

        Parameters
        ----------
        request : HttpRequest
            Sent once.
        request_id : str
            Sent as ``Sardinespool-Request-Id``; the answer must repeat it.
            Not sent if empty, for servers that don't repeat it.
        may_send : callable
            Asked right before the first byte.
        timeout_s : float
            Time until the connection is closed without a whole answer.
        """
        exchange = self._exchange
        sent_before = self._stream.sent_bytes
        refusal = self._refusal(may_send)
        if refusal is not None:
            return refusal
        exchange.start(request_id, request.method)
        try:
            self._write(request, request_id)
        except (StreamClosedError, httputil.HTTPOutputError, ValueError) as e:
            self.close()
            return self._failed(sent_before, f"the write failed: {e}")
        if self._stream.closed():
            return self._failed(sent_before, "the write failed")
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self._expire, exchange)
        try:
            result = await exchange.result
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            timer.cancel()
        if (
            isinstance(result, ExchangeLost)
            and self._stream.sent_bytes == sent_before
        ):
            return ExchangeNotSent(result.reason)
        return result

    def close(self) -> None:
        """Close the connection; its task ends."""
        self._stream.close()

    async def wait_closed(self) -> None:
        """Close and wait for the end of the reading task."""
        self.close()
        await asyncio.wait([self._task])

    def _refusal(self, may_send: Callable[[], bool]) -> ExchangeNotSent | None:
        if self._stream.closed() or self._exchange.started:
            return ExchangeNotSent("the connection was closed")
        state = self._stream.peer_state()
        if state != "quiet":
            self.close()
            return ExchangeNotSent(f"the idle connection had {state}")
        if not may_send():
            return ExchangeNotSent("the request may no longer be sent")
        return None

    def _write(self, request: HttpRequest, request_id: str) -> None:
        headers = httputil.HTTPHeaders()
        headers.add("Host", self._host)
        for name, value in request.headers:
            headers.add(name, value)
        if request_id:
            headers[REQUEST_ID_HEADER] = request_id
        headers["Content-Length"] = str(len(request.body))
        line = httputil.RequestStartLine(
            request.method, request.target, "HTTP/1.1"
        )
        self._http.write_headers(line, headers, request.body)
        self._http.finish()

    def _failed(self, sent_before: int, reason: str) -> ExchangeResult:
        if self._stream.sent_bytes == sent_before:
            return ExchangeNotSent(reason)
        return ExchangeLost(reason)

    def _expire(self, exchange: Exchange) -> None:
        exchange.fail("no whole answer arrived before the deadline")
        self.close()

    async def _read_answers(self) -> None:
        try:
            while not self._stream.closed():
                await self._http.read_response(self._exchange)
                done = self._exchange
                if not done.may_reuse:
                    break
                # The next answer is awaited before this one is delivered, so
                # that bytes after the answer are noticed.
                self._exchange = Exchange()
                self._http = HTTP1Connection(
                    self._stream, True, self._parameters
                )
                done.deliver()
            reason = "the answer was cut off or malformed"
        except StreamClosedError:
            reason = "the connection was closed before the answer"
        except Exception as error:
            reason = f"the answer could not be read: {error!r}"
        self._stream.close()
        self._exchange.deliver()
        self._exchange.fail(reason)
