"""HTTP handler for callers' requests on a front machine."""

from collections.abc import Awaitable
from collections.abc import Callable

from sardinespool.errors import SardinespoolError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import CountWaiting
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WaitingCount
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import Metrics
from sardinespool.platform.caller_key import read_key_digest
from sardinespool.platform.job_codec import decode_job
from sardinespool.platform.responses import error_response
from sardinespool.platform.responses import json_response
from sardinespool.programs.controller.timely_commands import JobCommand
from sardinespool.programs.controller.timely_orders import WaitingCaller
from sardinespool.transport import system_clock
from sardinespool.transport.arrivals import WATCH_INTERVAL_MS
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import ReceivedRequest

_TIMEOUT_HEADER = "X-Sardinespool-Request-Deadline"
"""Timeout in milliseconds, not a deadline as the header's name suggests."""
MAX_TIMEOUT_MS = 3_000
"""Upper limit, and the timeout of requests without the header.

Equals the timeout of the queues in the platform's manifests.
"""
RESPONSE_MARGIN_MS = 20
"""Time reserved for the response; callers are 1 to 3 ms away."""

_LOG = get_logger("front")

HELD_UP_MS = 4 * WATCH_INTERVAL_MS
"""Age of a request from which the process has been held up. The earliest
arrival is less precise, and in most processes later than it says."""

CallGroup = Callable[[Request, int], Awaitable[Reply]]
"""Calls the control group with a timeout in milliseconds."""
SendCommand = Callable[[JobCommand, WaitingCaller], Awaitable[Reply]]
"""Has a command carried out while its caller waits for it."""


class CallerMetrics:
    """Metrics of callers' requests on a front machine.

    Parameters
    ----------
    metrics : Metrics
        Registry that the metrics are added to.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.requests = metrics.counter(
            "caller_requests_total", "Callers' requests, by method and status."
        )
        self.latency_ms = metrics.histogram(
            "caller_latency_ms",
            "Time from a caller's request to its answer.",
        )


class CallerHandler:
    """Decodes callers' requests and encodes the group's replies.

    Parameters
    ----------
    call : callable
        Calls the control group with a timeout in milliseconds.
    metrics : CallerMetrics
        Request count and latency.
    send_command : callable, optional
        Has a command carried out while its caller waits for it; by default
        commands are called like other requests.
    """

    def __init__(
        self,
        call: CallGroup,
        metrics: CallerMetrics,
        send_command: SendCommand | None = None,
    ) -> None:
        self._call = call
        self._send_command = send_command
        self._metrics = metrics

    async def __call__(self, received: ReceivedRequest) -> HttpResponse:
        """Handle one request and record its metrics."""
        start = system_clock.now()
        response = await self._handle(received)
        elapsed_ms = system_clock.now().boot_ms - start.boot_ms
        method = received.request.method
        self._metrics.requests.inc(method=method, status=str(response.status))
        self._metrics.latency_ms.observe(elapsed_ms, method=method)
        return response

    async def _handle(self, received: ReceivedRequest) -> HttpResponse:
        request = received.request
        if received.too_large:
            return json_response(413, {"error": "body-too-large"})
        try:
            message = _decode_request(request)
            if message is None:
                return json_response(405, {"error": "method-not-allowed"})
            if self._send_command is not None and isinstance(
                message, SubmitWorkflow | CancelWorkflow
            ):
                reply = await self._send_command(message, _caller_of(received))
            else:
                reply = await self._call(message, _timeout_ms(request))
        except SardinespoolError as error:
            response = error_response(error)
            _LOG.info(
                "refused",
                method=request.method,
                path=request.target,
                code=error.code,
                status=response.status,
                wait_ms=_timeout_ms(request),
                **error.details,
            )
            return response
        return _encode_reply(reply)


def _caller_of(received: ReceivedRequest) -> WaitingCaller:
    """Return the caller of a request, with the time until which it waits."""
    since_boot_ms = system_clock.now().boot_ms
    if since_boot_ms - received.since_boot_ms > HELD_UP_MS:
        since_boot_ms = received.since_boot_ms
    return WaitingCaller(
        since_boot_ms=since_boot_ms,
        until_boot_ms=since_boot_ms + _timeout_ms(received.request),
        has_left=received.has_client_left,
    )


def _decode_request(request: HttpRequest) -> Request | None:
    host = (request.header("Host") or "").partition(":")[0].lower()
    path = request.target.partition("?")[0]
    digest = read_key_digest(request)
    match request.method:
        case "POST":
            spec = decode_job(request.body)
            return SubmitWorkflow(
                host=host, path=path, spec=spec, key_digest=digest
            )
        case "DELETE":
            return CancelWorkflow(host=host, path=path, key_digest=digest)
        case "GET" if path.endswith("/"):
            return CountWaiting(host=host, path=path, key_digest=digest)
        case "GET":
            return ReadWorkflow(host=host, path=path, key_digest=digest)
        case _:
            return None


def _encode_reply(reply: Reply) -> HttpResponse:
    match reply:
        case WorkflowStatus(state=state):
            return json_response(200, {"state": state})
        case WaitingCount(waiting=waiting):
            return json_response(200, {"waiting": waiting})
        case ManifestCopy(source=source):
            return HttpResponse(
                200, (("Content-Type", "application/json"),), source
            )
        case _:
            return json_response(200, {})


def _timeout_ms(request: HttpRequest) -> int:
    text = request.header(_TIMEOUT_HEADER) or ""
    timeout_ms = (
        int(text) if text.isascii() and text.isdigit() else MAX_TIMEOUT_MS
    )
    return max(1, min(timeout_ms, MAX_TIMEOUT_MS) - RESPONSE_MARGIN_MS)
