"""What a controller needs to call workers."""

from typing import Protocol

from sardinespool.dispatch.orders import HoldAnswer
from sardinespool.dispatch.orders import HoldWorker
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderAnswer
from sardinespool.messages.fleet import WorkerDescription


class WorkerCaller(Protocol):
    """Sends orders in the protocol that the workers speak."""

    async def hold(
        self, worker: WorkerDescription, hold: HoldWorker, timeout_ms: int
    ) -> HoldAnswer:
        """Send a hold and return its answer; never raises for a failure."""

    async def order(
        self,
        worker: WorkerDescription,
        lane: int,
        order: Order,
        timeout_ms: int,
    ) -> OrderAnswer:
        """Send an order over a lane's connection and return its answer."""

    def forget(self, worker_id: str) -> None:
        """Close the connections to a worker."""
