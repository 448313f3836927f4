"""Confines an unexpected error to the HTTP request that raised it."""

from sardinespool.errors.replication import ProposalLostError
from sardinespool.observability.logs import PrefixLogger
from sardinespool.observability.tracebacks import format_current_exception
from sardinespool.platform.responses import error_response
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import Handler
from sardinespool.transport.http_server import ReceivedRequest


class FaultBarrier:
    """Handler that answers a request even if the wrapped handler raises.

    Without an answer, the client would wait for its whole timeout.

    Parameters
    ----------
    handler : Handler
        The wrapped handler.
    log : PrefixLogger
        Logger of the process.
    """

    def __init__(self, handler: Handler, log: PrefixLogger) -> None:
        self._handler = handler
        self._log = log

    async def __call__(self, received: ReceivedRequest) -> HttpResponse:
        """Handle one request."""
        try:
            return await self._handler(received)
        except Exception:
            self._log.error(
                "unexpected error",
                method=received.request.method,
                path=received.request.target,
                fault=format_current_exception(),
            )
            return error_response(
                ProposalLostError("An unexpected error ended the request.")
            )
