"""Answers to requests for health, readiness, metrics and state dumps."""

import dataclasses
import inspect
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Protocol

import msgspec

from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import CONTENT_TYPE
from sardinespool.observability.metrics import Metrics
from sardinespool.observability.state_dump import dump_json
from sardinespool.observability.state_dump import to_json_values

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


Respond = Callable[[str, str], Awaitable[StatusResponse]]
"""Answers a request with this method and path."""


class Listener(Protocol):
    """HTTP listener of a status server."""

    def start(self) -> None:
        """Start listening; raise `OSError` if the address can't be bound."""

    async def stop(self) -> None:
        """Stop listening and close all connections."""


class StatusServer:
    """Serves the status routes on an address.

    Parameters
    ----------
    listen : callable
        Makes a listener that answers with the given callable.
    metrics : Metrics
        Metrics served on ``/metrics``.
    health, ready : callable
        Return a `ProbeResult` or a bool; must not block.
    dump : callable
        Returns the state, or an awaitable of it.
    """

    def __init__(
        self,
        listen: Callable[[Respond], Listener],
        metrics: Metrics,
        health: Probe,
        ready: Probe,
        dump: Dump,
    ) -> None:
        self._metrics = metrics
        self._health = health
        self._ready = ready
        self._dump = dump
        self._listener = listen(self._respond)

    def start(self) -> None:
        """Start listening; must be called in the event loop.

        Raises
        ------
        OSError
            The address can't be bound.
        """
        self._listener.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._listener.stop()

    async def _respond(self, method: str, path: str) -> StatusResponse:
        try:
            return await self._route(method, path)
        except Exception as error:
            # A failing dump must not terminate the process.
            _LOG.error("request failed", path=path, reason=repr(error))
            return _json_response(
                500, {"ok": False, "reason": "fault; see the log"}
            )

    async def _route(self, method: str, path: str) -> StatusResponse:
        if method not in ("GET", "HEAD"):
            return _json_response(
                405, {"ok": False, "allowed": ["GET", "HEAD"]}
            )
        match path:
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
