"""HTTP listeners of the status servers."""

from collections.abc import Callable

from sardinespool.observability.status_server import Listener
from sardinespool.observability.status_server import Respond
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ReceivedRequest
from sardinespool.transport.http_server import ServerLimits
from sardinespool.transport.listener_guard import ListenerGuard

BODY_LIMIT_BYTES = 4_096
"""No request of the status routes has a body."""


def status_listener(
    address: str, guard: ListenerGuard | None = None
) -> Callable[[Respond], Listener]:
    """Return what makes the listener of a status server.

    Parameters
    ----------
    address : str
        ``ip:port``.
    guard : ListenerGuard or None
        Guard of the process; None for one with the default limits.
    """

    def listen(respond: Respond) -> Listener:
        async def handle(received: ReceivedRequest) -> HttpResponse:
            request = received.request
            path = request.target.partition("?")[0]
            response = await respond(request.method, path)
            return HttpResponse(
                response.status,
                (("Content-Type", response.content_type),),
                response.body,
            )

        limits = ServerLimits(
            BODY_LIMIT_BYTES, connection_class=ConnectionClass.STATUS
        )
        return HttpListener(address, handle, limits, guard=guard)

    return listen
