"""HTTP server of health, readiness, metrics and state dump.

It uses tornado's HTTP server without ``tornado.web``, which would cost each
daemon 1.8 MB of resident memory.
"""

import asyncio
import dataclasses
import http
import inspect
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import msgspec
import tornado.httpserver
import tornado.httputil
import tornado.iostream
import tornado.netutil

from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import CONTENT_TYPE
from sardinespool.observability.metrics import Metrics
from sardinespool.observability.state_dump import dump_json
from sardinespool.observability.state_dump import readable
from sardinespool.settings.addresses import split_address

_JSON = "application/json"
_LOG = get_logger("status")


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Answer of a probe; `details` is shown as JSON."""

    ok: bool
    details: Mapping[str, Any] = dataclasses.field(default_factory=dict)


Probe = Callable[[], "ProbeResult | bool"]
Dump = Callable[[], Any]
"""Returns state, or an awaitable of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusAnswer:
    """Status, content type and body of an answer."""

    status: int
    content_type: str
    body: bytes


class StatusServer:
    """Serves the status routes at an address.

    Parameters
    ----------
    address : str
        ``ip:port``.
    metrics : Metrics
        Registry to render.
    health, ready : callable
        Return a `ProbeResult` or a bool, without blocking.
    dump : callable
        Returns the state, or an awaitable of it.
    """

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        health: Probe,
        ready: Probe,
        dump: Dump,
    ) -> None:
        self._address = address
        self._metrics = metrics
        self._health = health
        self._ready = ready
        self._dump = dump
        self._server = tornado.httpserver.HTTPServer(self._receive)
        # The event loop keeps only weak references to tasks.
        self._answering: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Listen; call it in the running event loop.

        Raises
        ------
        OSError
            The address can't be bound.
        """
        host, port = split_address(self._address)
        sockets = tornado.netutil.bind_sockets(port, host)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop to listen and close the connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _receive(self, request: tornado.httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._serve(request))
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _serve(
        self, request: tornado.httputil.HTTPServerRequest
    ) -> None:
        try:
            answer = await self._answer(request)
        except Exception as error:
            # A fault in a dump must not end the process that it describes.
            _LOG.error("No answer.", path=request.path, reason=repr(error))
            answer = _json(500, {"ok": False, "reason": "fault; see the log"})
        try:
            await _write(request, answer)
        except tornado.iostream.StreamClosedError:
            return

    async def _answer(
        self, request: tornado.httputil.HTTPServerRequest
    ) -> StatusAnswer:
        if request.method not in ("GET", "HEAD"):
            return _json(405, {"ok": False, "allowed": ["GET", "HEAD"]})
        match request.path:
            case "/health":
                return _probe_answer(self._health())
            case "/ready":
                return _probe_answer(self._ready())
            case "/metrics":
                body = self._metrics.render()
                return StatusAnswer(200, CONTENT_TYPE, body)
            case "/dump":
                state = self._dump()
                if inspect.isawaitable(state):
                    state = await state
                return StatusAnswer(200, _JSON, dump_json(state))
            case _:
                return _json(404, {"ok": False, "reason": "unknown path"})


def _probe_answer(result: ProbeResult | bool) -> StatusAnswer:
    if isinstance(result, bool):
        result = ProbeResult(result)
    body = {"ok": result.ok, **readable(result.details)}
    return _json(200 if result.ok else 503, body)


def _json(status: int, body: Mapping[str, Any]) -> StatusAnswer:
    return StatusAnswer(status, _JSON, msgspec.json.encode(body))


async def _write(
    request: tornado.httputil.HTTPServerRequest, answer: StatusAnswer
) -> None:
    connection = request.connection
    if connection is None:
        return
    headers = tornado.httputil.HTTPHeaders(
        {
            "Content-Type": answer.content_type,
            "Content-Length": str(len(answer.body)),
        }
    )
    reason = http.HTTPStatus(answer.status).phrase
    line = tornado.httputil.ResponseStartLine(
        "HTTP/1.1", answer.status, reason
    )
    body = None if request.method == "HEAD" else answer.body
    written = connection.write_headers(line, headers, body)
    connection.finish()
    await written
