"""Interface for calls to workers."""

from collections.abc import Callable
from typing import Protocol

from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderResult
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RenewLeaseResult
from sardinespool.messages.worker_reports import WorkerDescription


class WorkerCaller(Protocol):
    """Sends lease renewals and orders to workers over their protocol.

    `may_send` is checked right before the first byte is sent, as connecting
    takes time and the process may be paused meanwhile.
    """

    async def renew_lease(
        self,
        worker: WorkerDescription,
        renewal: RenewLease,
        timeout_ms: int,
        may_send: Callable[[], bool],
    ) -> RenewLeaseResult:
        """Send a lease renewal; a failed call does not raise."""

    async def order(
        self,
        worker: WorkerDescription,
        connection_index: int,
        order: Order,
        timeout_ms: int,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        """Send an order over the indexed connection and return the answer."""

    def close_connections(self, worker_id: str) -> None:
        """Close the connections to a worker."""
