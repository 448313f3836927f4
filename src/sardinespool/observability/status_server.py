"""HTTP server for health, readiness, metrics and state dumps.

It uses the HTTP server of Tornado without ``tornado.web``, which would take
1.8 MB of resident memory in each process.
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
from sardinespool.observability.state_dump import to_json_values
from sardinespool.settings.addresses import split_address

_JSON_CONTENT_TYPE = "application/json"
_LOG = get_logger("status")


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a health or readiness probe; `details` is sent as JSON."""

    ok: bool
    details: Mapping[str, Any] = dataclasses.field(default_factory=dict)


Probe = Callable[[], "ProbeResult | bool"]
Dump = Callable[[], Any]
"""Returns the state, or an awaitable of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusResponse:
    """Status code, content type and body of a response."""

    status: int
    content_type: str
    body: bytes


class StatusServer:
    """Serves the status routes on an address.

    Parameters
    ----------
    address : str
        ``ip:port``.
    metrics : Metrics
        Metrics served on ``/metrics``.
    health, ready : callable
        Return a `ProbeResult` or a bool; must not block.
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
        self._server = tornado.httpserver.HTTPServer(self._on_request)
        # The event loop keeps only weak references to tasks.
        self._request_tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start listening; must be called in the event loop.

        Raises
        ------
        OSError
            The address can't be bound.
        """
        host, port = split_address(self._address)
        sockets = tornado.netutil.bind_sockets(port, host)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _on_request(self, request: tornado.httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._serve_request(request))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    async def _serve_request(
        self, request: tornado.httputil.HTTPServerRequest
    ) -> None:
        try:
            response = await self._route(request)
        except Exception as error:
            # A failing dump must not terminate the process.
            _LOG.error("request failed", path=request.path, reason=repr(error))
            response = _json_response(
                500, {"ok": False, "reason": "fault; see the log"}
            )
        try:
            await _write_response(request, response)
        except tornado.iostream.StreamClosedError:
            return

    async def _route(
        self, request: tornado.httputil.HTTPServerRequest
    ) -> StatusResponse:
        if request.method not in ("GET", "HEAD"):
            return _json_response(
                405, {"ok": False, "allowed": ["GET", "HEAD"]}
            )
        match request.path:
            case "/health":
                return _probe_response(self._health())
            case "/ready":
                return _probe_response(self._ready())
            case "/metrics":
                body = self._metrics.render()
                return StatusResponse(200, CONTENT_TYPE, body)
            case "/dump":
                state = self._dump()
                if inspect.isawaitable(state):
                    state = await state
                return StatusResponse(
                    200, _JSON_CONTENT_TYPE, dump_json(state)
                )
            case _:
                return _json_response(
                    404, {"ok": False, "reason": "unknown path"}
                )


def _probe_response(result: ProbeResult | bool) -> StatusResponse:
    if isinstance(result, bool):
        result = ProbeResult(result)
    body = {"ok": result.ok, **to_json_values(result.details)}
    return _json_response(200 if result.ok else 503, body)


def _json_response(status: int, body: Mapping[str, Any]) -> StatusResponse:
    return StatusResponse(
        status, _JSON_CONTENT_TYPE, msgspec.json.encode(body)
    )


async def _write_response(
    request: tornado.httputil.HTTPServerRequest, response: StatusResponse
) -> None:
    connection = request.connection
    if connection is None:
        return
    headers = tornado.httputil.HTTPHeaders(
        {
            "Content-Type": response.content_type,
            "Content-Length": str(len(response.body)),
        }
    )
    reason = http.HTTPStatus(response.status).phrase
    start_line = tornado.httputil.ResponseStartLine(
        "HTTP/1.1", response.status, reason
    )
    body = None if request.method == "HEAD" else response.body
    write_future = connection.write_headers(start_line, headers, body)
    connection.finish()
    await write_future
