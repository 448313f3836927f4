"""Receiver of one answer."""

import asyncio

from tornado import httputil

from sardinespool.transport.http_messages import ExchangeAnswered
from sardinespool.transport.http_messages import ExchangeLost
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import HttpAnswer

_REQUEST_ID_HEADER = "Sardinespool-Request-Id"
_WITHOUT_BODY = (204, 304)


class Exchange(httputil.HTTPMessageDelegate):
    """Collects one answer and checks that it belongs to the request.

    Attributes
    ----------
    started : bool
        Whether a request was given to the connection.
    may_reuse : bool
        Whether the connection may take another request after the answer.
    result : asyncio.Future
        Ending of the exchange.
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
        self._answer: HttpAnswer | None = None
        self._keep_open = False

    def start(self, request_id: str, method: str) -> None:
        """Expect the answer to this request from now on.

        An empty `request_id` is for servers that don't repeat it.
        """
        self.started = True
        self._request_id = request_id
        self._method = method

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check that the answer belongs to the request and has an end."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        if not self.started:
            raise httputil.HTTPInputError("Answer without a request.")
        if 100 <= start_line.code < 200:
            return
        if self._request_id and (
            headers.get_list(_REQUEST_ID_HEADER) != [self._request_id]
        ):
            self.fail("the answer has another request id")
            raise httputil.HTTPInputError("Answer of another request.")
        if (
            "Content-Length" not in headers
            and "Transfer-Encoding" not in headers
            and start_line.code not in _WITHOUT_BODY
            and self._method != "HEAD"
        ):
            # The end of the body would be the end of the connection, which
            # can't be told from a cut.
            self.fail("the answer has no length")
            raise httputil.HTTPInputError("Answer without a length.")
        self._status = start_line.code
        self._headers = headers
        self._keep_open = (
            start_line.version == "HTTP/1.1"
            and "close" not in headers.get("Connection", "").lower()
        )

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Take the end of the answer."""
        if self._headers is None or self.result.done():
            return
        self._answer = HttpAnswer(
            self._status, tuple(self._headers.get_all()), bytes(self._body)
        )
        self.may_reuse = self._keep_open

    def on_connection_close(self) -> None:
        """Take the end of the connection before that of the answer."""
        self.fail("the answer was cut off or malformed")

    def deliver(self) -> None:
        """Give the answer, if it is whole, to who waits for it."""
        if self._answer is not None and not self.result.done():
            self.result.set_result(ExchangeAnswered(self._answer))

    def fail(self, reason: str) -> None:
        """End the exchange without an answer; a later one is dropped."""
        if not self.result.done():
            self.result.set_result(ExchangeLost(reason))
