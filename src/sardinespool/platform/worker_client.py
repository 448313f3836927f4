"""Client for the workers' HTTP API over persistent connections."""

import weakref
from collections.abc import Callable

from sardinespool.dispatch.connection_identity import ConnectionIdentity
from sardinespool.dispatch.connection_identity import identifying_renewal
from sardinespool.dispatch.connection_identity import order_obstacle
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import OrderResult
from sardinespool.dispatch.orders import OtherWorker
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RenewLeaseResult
from sardinespool.dispatch.orders import Withheld
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.observability.logs import get_logger
from sardinespool.platform.worker_codec import decode_order_response
from sardinespool.platform.worker_codec import decode_renew_lease_response
from sardinespool.platform.worker_codec import encode_order
from sardinespool.platform.worker_codec import encode_renew_lease
from sardinespool.transport.http_client import HttpConnection
from sardinespool.transport.http_messages import ExchangeAnswered
from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.indexed_http_connections import (
    IndexedHttpConnections,
)

_INSTANCE_HEADER = "X-Sardinespool-Expected-Instance"
_RENEWAL_CONNECTION = -1

_LOG = get_logger("workers")


class WorkerClient:
    """Sends orders to workers over HTTP; implements `WorkerCaller`.

    Parameters
    ----------
    connections : IndexedHttpConnections
        Persistent connections by worker and connection index.
    """

    def __init__(self, connections: IndexedHttpConnections) -> None:
        self._connections = connections
        self._identities: weakref.WeakKeyDictionary[
            HttpConnection, ConnectionIdentity
        ] = weakref.WeakKeyDictionary()

    async def renew_lease(
        self,
        worker: WorkerDescription,
        renewal: RenewLease,
        timeout_ms: int,
        may_send: Callable[[], bool],
    ) -> RenewLeaseResult:
        """Extend the lease of a worker and return its list of runs."""
        connection = await self._connect(worker, _RENEWAL_CONNECTION, may_send)
        if not isinstance(connection, HttpConnection):
            return connection
        return await self._renew(connection, worker, renewal, timeout_ms)

    async def order(
        self,
        worker: WorkerDescription,
        connection_index: int,
        order: Order,
        timeout_ms: int,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        """Send an order and return whether the worker carried it out."""
        connection = await self._connect(worker, connection_index, may_send)
        if not isinstance(connection, HttpConnection):
            return connection
        if not self._identity(connection).is_confirmed(worker.incarnation):
            answer = await self._renew(
                connection,
                worker,
                identifying_renewal(order.fencing_token),
                timeout_ms,
            )
            obstacle = order_obstacle(answer)
            if obstacle is not None:
                return obstacle
            if not may_send():
                return Withheld()
        path, body = encode_order(order)
        response = await _exchange(connection, worker, path, body, timeout_ms)
        if not isinstance(response, HttpResponse):
            return response
        return order_result(response)

    def close_connections(self, worker_id: str) -> None:
        """Close all connections to a worker."""
        self._connections.close_connections(worker_id)

    def _identity(self, connection: HttpConnection) -> ConnectionIdentity:
        return self._identities.setdefault(connection, ConnectionIdentity())

    async def _renew(
        self,
        connection: HttpConnection,
        worker: WorkerDescription,
        renewal: RenewLease,
        timeout_ms: int,
    ) -> RenewLeaseResult:
        """Send what a connection may carry of a renewal; record the answer."""
        identity = self._identity(connection)
        path, body = encode_renew_lease(
            identity.prepare(renewal, worker.incarnation)
        )
        answer = _decode_renewal(
            worker,
            await _exchange(connection, worker, path, body, timeout_ms),
        )
        return identity.handle_answer(answer, worker.incarnation)

    async def _connect(
        self,
        worker: WorkerDescription,
        connection_index: int,
        may_send: Callable[[], bool],
    ) -> HttpConnection | NoAnswer | Withheld:
        """Return the connection to send on now, or why nothing is sent."""
        connection = await self._connections.connect(
            worker.worker_id, connection_index, worker.address
        )
        if isinstance(connection, ExchangeNotSent):
            return NoAnswer(
                sent=False,
                reason=connection.reason,
                closed=connection.peer_closed,
            )
        return connection if may_send() else Withheld()


async def _exchange(
    connection: HttpConnection,
    worker: WorkerDescription,
    path: str,
    body: bytes,
    timeout_ms: int,
) -> HttpResponse | NoAnswer:
    return _response_of(
        await connection.exchange(
            _request_of(worker, path, body),
            "",
            lambda: True,
            timeout_ms / 1000,
        )
    )


def _request_of(
    worker: WorkerDescription, path: str, body: bytes
) -> HttpRequest:
    return HttpRequest(
        "POST",
        path,
        (
            ("Content-Type", "application/json"),
            (_INSTANCE_HEADER, worker.worker_id),
        ),
        body,
    )


def _response_of(result: ExchangeResult) -> HttpResponse | NoAnswer:
    match result:
        case ExchangeAnswered(response=response):
            return response
        case ExchangeNotSent(reason=reason, peer_closed=peer_closed):
            return NoAnswer(sent=False, reason=reason, closed=peer_closed)
        case _:
            return NoAnswer(
                sent=True, reason=result.reason, closed=result.peer_closed
            )


def _decode_renewal(
    worker: WorkerDescription, response: HttpResponse | NoAnswer
) -> RenewLeaseResult:
    if not isinstance(response, HttpResponse):
        return response
    if response.status == 200:
        try:
            return decode_renew_lease_response(response.body)
        except InvalidMessageError as error:
            _LOG.warning(error.text, worker=worker.worker_id)
            return NoAnswer(sent=True, reason="invalid hold response")
    result = order_result(response)
    if isinstance(result, OrderDone):
        return NoAnswer(sent=True, reason=f"status {response.status}")
    return result


def order_result(
    response: HttpResponse,
) -> OrderDone | OrderRefused | OtherWorker | NoAnswer:
    """Return the result of an order from the HTTP response.

    Only an unexpected status leaves open whether the order was carried out.
    """
    clock_ms, refusal = decode_order_response(response.body)
    match response.status:
        case 200:
            return OrderDone(clock_ms)
        case 421:
            return OtherWorker()
        case 409 if refusal is not None:
            return OrderRefused(refusal, clock_ms)
        case 429 | 503:
            return OrderRefused(Refusal.UNHEALTHY, clock_ms)
        case 400 | 409:
            return OrderRefused(Refusal.INVALID, clock_ms)
        case _:
            return NoAnswer(sent=True, reason=f"status {response.status}")
