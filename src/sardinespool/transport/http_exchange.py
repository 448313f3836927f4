"""Receiver of one HTTP response."""

import asyncio

from tornado import httputil

from sardinespool.transport.http_messages import ExchangeAnswered
from sardinespool.transport.http_messages import ExchangeLost
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import HttpResponse

_REQUEST_ID_HEADER = "Sardinespool-Request-Id"
_STATUSES_WITHOUT_BODY = (204, 304)


class Exchange(httputil.HTTPMessageDelegate):
    """Collects one response and checks that it belongs to the request.

    Attributes
    ----------
    started : bool
        Whether a request has been started on the connection.
    may_reuse : bool
        Whether the connection can take another request afterwards.
    result : asyncio.Future
        Result of the exchange.
    """

    def __init__(self) -> None:
        self.started = False
        self.may_reuse = False
        self.result: asyncio.Future[ExchangeResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._request_id = ""
        self._method = ""
        self._status = 0
        self._headers: httputil.HTTPHeaders | None = None
        self._body = bytearray()
        self._response: HttpResponse | None = None
        self._keep_alive = False

    def start(self, request_id: str, method: str) -> None:
        """Expect the response to this request from now on.

        `request_id` is empty for servers that don't repeat it.
        """
        self.started = True
        self._request_id = request_id
        self._method = method

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check that the response belongs to the request and has a length."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        if not self.started:
            raise httputil.HTTPInputError("Response without a request.")
        if 100 <= start_line.code < 200:
            return
        if self._request_id and (
            headers.get_list(_REQUEST_ID_HEADER) != [self._request_id]
        ):
            self.fail("the answer has another request id")
            raise httputil.HTTPInputError("Response to a different request.")
        if (
            "Content-Length" not in headers
            and "Transfer-Encoding" not in headers
            and start_line.code not in _STATUSES_WITHOUT_BODY
            and self._method != "HEAD"
        ):
            # Such a body ends with the connection, which can't be
            # distinguished from a truncated body.
            self.fail("the answer has no length")
            raise httputil.HTTPInputError("Response without a length.")
        self._status = start_line.code
        self._headers = headers
        self._keep_alive = (
            start_line.version == "HTTP/1.1"
            and "close" not in headers.get("Connection", "").lower()
        )

    def data_received(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Complete the response."""
        if self._headers is None or self.result.done():
            return
        self._response = HttpResponse(
            self._status, tuple(self._headers.get_all()), bytes(self._body)
        )
        self.may_reuse = self._keep_alive

    def on_connection_close(self) -> None:
        """Fail the exchange: the connection ended before the response."""
        self.fail("the answer was cut off or malformed", peer_closed=True)

    def deliver(self) -> None:
        """Resolve `result` with the response if it is complete."""
        if self._response is not None and not self.result.done():
            self.result.set_result(ExchangeAnswered(self._response))

    def fail(self, reason: str, peer_closed: bool = False) -> None:
        """Resolve `result` as lost if unresolved; drop a later response."""
        if not self.result.done():
            self.result.set_result(ExchangeLost(reason, peer_closed))
