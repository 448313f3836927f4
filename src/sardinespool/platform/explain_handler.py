"""HTTP handler for dry runs of jobs on a core machine."""

from collections.abc import Awaitable
from collections.abc import Callable

from sardinespool.errors import SardinespoolError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.explain import ExplainPlacement
from sardinespool.messages.explain import PlacementExplanation
from sardinespool.platform.caller_key import read_key_digest
from sardinespool.platform.job_codec import decode_job
from sardinespool.platform.responses import error_response
from sardinespool.platform.responses import json_response
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import ReceivedRequest

CALL_TIMEOUT_MS = 3_000
EXPLAIN_PREFIX = "/explain/"


class ExplainHandler:
    """Answers ``POST /explain/PATH`` for a job that is sent to ``/PATH``.

    Parameters
    ----------
    call : callable
        Calls the control group with a timeout in milliseconds.
    """

    def __init__(
        self, call: Callable[[Request, int], Awaitable[Reply]]
    ) -> None:
        self._call = call

    async def __call__(self, received: ReceivedRequest) -> HttpResponse:
        """Handle one request."""
        if received.too_large:
            return json_response(413, {"error": "body-too-large"})
        request = received.request
        target = request.target.partition("?")[0]
        if not target.startswith(EXPLAIN_PREFIX):
            return json_response(404, {"error": "no-such-call"})
        try:
            message = ExplainPlacement(
                host=(request.header("Host") or "").partition(":")[0].lower(),
                path=target[len(EXPLAIN_PREFIX) - 1 :],
                spec=decode_job(request.body),
                key_digest=read_key_digest(request),
            )
            reply = await self._call(message, CALL_TIMEOUT_MS)
        except SardinespoolError as error:
            return error_response(error)
        assert isinstance(reply, PlacementExplanation)
        content_type = ("Content-Type", "application/json")
        return HttpResponse(200, (content_type,), reply.json)
