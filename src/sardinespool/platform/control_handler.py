"""HTTP handler for workers and operators on a core machine."""

from collections.abc import Awaitable
from collections.abc import Callable

from sardinespool.errors import SardinespoolError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.manifest import ReadManifest
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.observability.logs import get_logger
from sardinespool.platform.manifest_codec import decode_manifest
from sardinespool.platform.responses import error_response
from sardinespool.platform.responses import json_response
from sardinespool.platform.worker_codec import decode_heartbeat
from sardinespool.platform.worker_codec import decode_leave
from sardinespool.programs.controller.timely_orders import WaitingCaller
from sardinespool.transport import system_clock
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import ReceivedRequest

CALL_TIMEOUT_MS = 900
"""Below the 1 s after which clients try another machine. An order that is
older may have been overtaken by a later one."""

_LOG = get_logger("control")


class ControlHandler:
    """Decodes requests of workers and operators and encodes the replies.

    Parameters
    ----------
    call : callable
        Calls the control group with a timeout in milliseconds.
    send_order : callable
        Has an order carried out while its caller waits for it.
    heartbeat_address : callable
        Returns the leader's control address, or "" if there is no leader.
    """

    def __init__(
        self,
        call: Callable[[Request, int], Awaitable[Reply]],
        send_order: Callable[[SetEvacuation, WaitingCaller], Awaitable[Reply]],
        heartbeat_address: Callable[[], str],
    ) -> None:
        self._call = call
        self._send_order = send_order
        self._heartbeat_address = heartbeat_address

    async def __call__(self, received: ReceivedRequest) -> HttpResponse:
        """Handle one request."""
        if received.too_large:
            return json_response(413, {"error": "body-too-large"})
        request = received.request
        try:
            message = _decode_request(request)
            if message is None:
                return json_response(404, {"error": "no-such-call"})
            if isinstance(message, SetEvacuation):
                reply = await self._send_order(message, _caller_of(received))
            else:
                reply = await self._call(message, CALL_TIMEOUT_MS)
        except SardinespoolError as error:
            response = error_response(error)
            _LOG.info(
                "refused",
                path=request.target,
                code=error.code,
                status=response.status,
                text=error.text,
                age_ms=system_clock.now().boot_ms - received.since_boot_ms,
            )
            return response
        if isinstance(reply, ManifestCopy):
            content_type = ("Content-Type", "application/json")
            return HttpResponse(200, (content_type,), reply.source)
        leader_address = self._heartbeat_address()
        if request.target.endswith("/heartbeat") and leader_address:
            return json_response(200, {"heartbeat_address": leader_address})
        return json_response(200, {})


def _caller_of(received: ReceivedRequest) -> WaitingCaller:
    return WaitingCaller(
        since_boot_ms=received.since_boot_ms,
        until_boot_ms=received.since_boot_ms + CALL_TIMEOUT_MS,
        has_left=received.has_client_left,
    )


def _decode_request(request: HttpRequest) -> Request | None:
    parts = tuple(request.target.partition("?")[0].strip("/").split("/"))
    match request.method, parts:
        case "POST", ("api", "instances", worker_id, "heartbeat"):
            return decode_heartbeat(worker_id, request.body)
        case "POST", ("api", "instances", worker_id, "leave"):
            return decode_leave(worker_id, request.body)
        case "POST", ("api", "configuration", "replace"):
            return decode_manifest(request.body)
        case "GET", ("api", "configuration", "read"):
            return ReadManifest()
        case "POST", ("api", "evacuation", zone, "start" | "finish" as verb):
            return SetEvacuation(
                failure_domain=zone, evacuated=verb == "start"
            )
        case _:
            return None
