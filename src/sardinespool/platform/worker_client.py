"""Calls to workers over persistent HTTP connections."""

from sardinespool.dispatch.orders import HoldAnswer
from sardinespool.dispatch.orders import HoldWorker
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderAnswer
from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import OtherWorker
from sardinespool.dispatch.orders import Refusal
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.fleet import WorkerDescription
from sardinespool.observability.logs import get_logger
from sardinespool.platform.wire_workers import decode_hold
from sardinespool.platform.wire_workers import decode_order_answer
from sardinespool.platform.wire_workers import encode_hold
from sardinespool.platform.wire_workers import encode_order
from sardinespool.transport.http_connections import HttpConnections
from sardinespool.transport.http_messages import ExchangeAnswered
from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_messages import HttpAnswer
from sardinespool.transport.http_messages import HttpRequest

_INSTANCE_HEADER = "X-Sardinespool-Expected-Instance"
_HOLD_LANE = -1

_LOG = get_logger("workers")


class WorkerClient:
    """Speaks the workers' protocol; see `WorkerCaller`."""

    def __init__(self, connections: HttpConnections) -> None:
        self._connections = connections

    async def hold(
        self, worker: WorkerDescription, hold: HoldWorker, timeout_ms: int
    ) -> HoldAnswer:
        """Send a hold."""
        path, body = encode_hold(hold)
        answer = await self._call(worker, _HOLD_LANE, path, body, timeout_ms)
        if not isinstance(answer, HttpAnswer):
            return answer
        if answer.status == 200:
            try:
                return decode_hold(answer.body)
            except InvalidMessageError as error:
                _LOG.warning(error.text, worker=worker.worker_id)
                return NoAnswer(sent=True, reason="unreadable lists")
        refusal = meaning_of(answer)
        if isinstance(refusal, OrderDone):
            return NoAnswer(sent=True, reason=f"status {answer.status}")
        return refusal

    async def order(
        self,
        worker: WorkerDescription,
        lane: int,
        order: Order,
        timeout_ms: int,
    ) -> OrderAnswer:
        """Send an order."""
        path, body = encode_order(order)
        answer = await self._call(worker, lane, path, body, timeout_ms)
        if not isinstance(answer, HttpAnswer):
            return answer
        return meaning_of(answer)

    def forget(self, worker_id: str) -> None:
        """Close the connections to a worker."""
        self._connections.forget(worker_id)

    async def _call(
        self,
        worker: WorkerDescription,
        lane: int,
        path: str,
        body: bytes,
        timeout_ms: int,
    ) -> HttpAnswer | NoAnswer:
        request = HttpRequest(
            "POST",
            path,
            (
                ("Content-Type", "application/json"),
                (_INSTANCE_HEADER, worker.worker_id),
            ),
            body,
        )
        result = await self._connections.exchange(
            worker.worker_id, lane, worker.address, request, timeout_ms
        )
        match result:
            case ExchangeAnswered(answer=answer):
                return answer
            case ExchangeNotSent(reason=reason):
                return NoAnswer(sent=False, reason=reason)
            case _:
                return NoAnswer(sent=True, reason=result.reason)


def meaning_of(
    answer: HttpAnswer,
) -> OrderDone | OrderRefused | OtherWorker | NoAnswer:
    """Return what a status means for an order."""
    clock_ms, refusal = decode_order_answer(answer.body)
    match answer.status:
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
            return NoAnswer(sent=True, reason=f"status {answer.status}")
