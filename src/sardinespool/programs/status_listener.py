"""HTTP listeners of the status servers."""

from collections.abc import Awaitable
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
"""No GET request of the status routes has a body."""

Handler = Callable[[ReceivedRequest], Awaitable[HttpResponse]]


def status_listener(
    address: str,
    guard: ListenerGuard | None = None,
    handle_post: Handler | None = None,
    body_limit_bytes: int = BODY_LIMIT_BYTES,
) -> Callable[[Respond], Listener]:
    """Return what makes the listener of a status server.

    Parameters
    ----------
    address : str
        ``ip:port``.
    guard : ListenerGuard or None
        Guard of the process; None for one with the default limits.
    handle_post : callable or None
        Answers POST requests; None if there are none.
    body_limit_bytes : int
        Largest body of a request.
    """

    def listen(respond: Respond) -> Listener:
        async def handle(received: ReceivedRequest) -> HttpResponse:
            request = received.request
            if handle_post is not None and request.method == "POST":
                return await handle_post(received)
            path = request.target.partition("?")[0]
            response = await respond(request.method, path)
            return HttpResponse(
                response.status,
                (("Content-Type", response.content_type),),
                response.body,
            )

        limits = ServerLimits(
            body_limit_bytes, connection_class=ConnectionClass.STATUS
        )
        return HttpListener(address, handle, limits, guard=guard)

    return listen
