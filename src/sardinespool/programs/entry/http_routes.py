"""Request routing of the entry's HTTP listener."""

from collections.abc import Callable
from typing import Any

from sardinespool.errors import SardinespoolError
from sardinespool.errors.requests import BodyTooLargeError
from sardinespool.errors.requests import MethodNotAllowedError
from sardinespool.errors.requests import OutcomeUnknownError
from sardinespool.errors.requests import PathNotFoundError
from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import CONTENT_TYPE
from sardinespool.observability.metrics import Metrics
from sardinespool.observability.state_dump import dump_json
from sardinespool.programs.entry.caller_handler import CallerHandler
from sardinespool.programs.entry.credentials import Credentials
from sardinespool.programs.entry.entry_state import EntryState
from sardinespool.programs.entry.headers import SERVICES_PATH
from sardinespool.programs.entry.operator_handler import OPERATOR_PATH
from sardinespool.programs.entry.operator_handler import OperatorHandler
from sardinespool.programs.entry.responses import error_response
from sardinespool.programs.entry.responses import json_response
from sardinespool.programs.entry.responses import OUTCOME_HEADER
from sardinespool.programs.entry.responses import outcome_of_error
from sardinespool.programs.entry.worker_handler import WorkerHandler
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import ReceivedRequest

HEARTBEAT_PATH = "/v1/heartbeat"

_LOG = get_logger("entry")


class HttpRoutes:
    """Handler of the entry's listener; it raises no exceptions.

    Parameters
    ----------
    callers, workers, operators
        Handlers of the three interfaces.
    state : EntryState
        Readiness of the entry, for ``/ready``.
    metrics : Metrics
        Metrics registry, for ``/metrics``.
    credentials : Credentials
        Authenticates requests for ``/dump``, which needs the role of an
        operator or approver, since callers can reach this listener too.
    dump : callable
        Returns the entry's state, for ``/dump``.
    """

    def __init__(
        self,
        callers: CallerHandler,
        workers: WorkerHandler,
        operators: OperatorHandler,
        state: EntryState,
        metrics: Metrics,
        credentials: Credentials,
        dump: Callable[[], Any],
    ) -> None:
        self._callers = callers
        self._workers = workers
        self._operators = operators
        self._state = state
        self._metrics = metrics
        self._credentials = credentials
        self._dump = dump

    async def handle(self, received: ReceivedRequest) -> HttpResponse:
        """Answer one request."""
        try:
            return await self._dispatch(received)
        except SardinespoolError as error:
            return error_response(error, outcome_of_error(error))
        except Exception as error:
            _LOG.error(
                "unexpected error while answering a request",
                target=received.request.target.partition("?")[0],
                reason=repr(error),
            )
            unknown = OutcomeUnknownError(
                "The entry has a fault; see its log."
            )
            return error_response(unknown, "unknown")

    async def _dispatch(self, received: ReceivedRequest) -> HttpResponse:
        request = received.request
        path = request.target.partition("?")[0]
        if path == SERVICES_PATH or path.startswith(SERVICES_PATH + "/"):
            return await self._callers.handle(received)
        if received.too_large:
            raise BodyTooLargeError("The body is over the limit.")
        if path == HEARTBEAT_PATH:
            _require_method(request, "POST")
            return await self._workers.heartbeat(request)
        if path.startswith(OPERATOR_PATH):
            return await self._operators.handle(request)
        return self._handle_status(path, request)

    def _handle_status(self, path: str, request: HttpRequest) -> HttpResponse:
        if path not in ("/health", "/ready", "/metrics", "/dump"):
            raise PathNotFoundError("Nothing is served at this path.")
        _require_method(request, "GET", "HEAD")
        match path:
            case "/health":
                return json_response({"ok": True})
            case "/ready":
                ready = self._state.ready
                details = {} if ready else {"reason": self._state.reason}
                return json_response(
                    {"ok": ready, **details}, 200 if ready else 503
                )
            case "/metrics":
                return _ok_answer(CONTENT_TYPE, self._metrics.render())
        self._credentials.require(request, "operator", "approver")
        return _ok_answer("application/json", dump_json(self._dump()))


def _ok_answer(content_type: str, body: bytes) -> HttpResponse:
    return HttpResponse(
        200,
        (("Content-Type", content_type), (OUTCOME_HEADER, "answered")),
        body,
    )


def _require_method(request: HttpRequest, *allowed: str) -> None:
    if request.method not in allowed:
        raise MethodNotAllowedError(
            "The path does not take this method.",
            found=request.method,
            allowed=list(allowed),
        )
