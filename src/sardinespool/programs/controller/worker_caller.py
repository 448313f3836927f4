"""Interface for calls to workers."""

from typing import Protocol

from sardinespool.dispatch.orders import HoldAnswer
from sardinespool.dispatch.orders import HoldWorker
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderAnswer
from sardinespool.messages.fleet import WorkerDescription


class WorkerCaller(Protocol):
    """Sends holds and orders to workers over their protocol."""

    async def hold(
        self, worker: WorkerDescription, hold: HoldWorker, timeout_ms: int
    ) -> HoldAnswer:
        """Send a hold and return the answer; a failed call does not raise."""

    async def order(
        self,
        worker: WorkerDescription,
        connection_index: int,
        order: Order,
        timeout_ms: int,
    ) -> OrderAnswer:
        """Send an order over the indexed connection and return the answer."""

    def close_connections(self, worker_id: str) -> None:
        """Close the connections to a worker."""
