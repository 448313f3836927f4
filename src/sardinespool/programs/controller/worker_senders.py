"""Tasks that send lease renewals and orders to workers."""

import asyncio
import functools
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import TypeVar

from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.observability.logs import get_logger
from sardinespool.observability.tracebacks import format_current_exception
from sardinespool.programs.controller.worker_caller import WorkerCaller
from sardinespool.transport import system_clock

ORDER_CONNECTIONS_PER_WORKER = 2
"""More than one, because an unanswered order blocks its connection."""
ERROR_RETRY_DELAY_MS = 200
"""Limits the log rate of a repeated error; with four attempts a second, leases
are still extended well before they expire."""

_LOG = get_logger("controller")

T = TypeVar("T")


class WorkerSender:
    """Sends the lease renewals and orders of one worker in background tasks.

    Parameters
    ----------
    worker_id : str
        ID of the worker.
    dispatcher : Dispatcher
        Provides the lease renewals and orders to send.
    caller : WorkerCaller
        Client that sends them.
    settings : DispatchSettings
        Timeouts and retry delay.
    is_leading : callable
        Returns whether this member leads; checked before each call.
    request_planning : callable
        Called when an answer may require a new plan.
    """

    def __init__(
        self,
        worker_id: str,
        dispatcher: Dispatcher,
        caller: WorkerCaller,
        settings: DispatchSettings,
        is_leading: Callable[[], bool],
        request_planning: Callable[[], None],
    ) -> None:
        self._worker_id = worker_id
        self._dispatcher = dispatcher
        self._caller = caller
        self._settings = settings
        self._is_leading = is_leading
        self._request_planning = request_planning
        self._hold_due = asyncio.Event()
        self._orders_due = [
            asyncio.Event() for _ in range(ORDER_CONNECTIONS_PER_WORKER)
        ]
        self._tasks = [
            asyncio.create_task(self._run_forever(self._send_holds))
        ]
        self._tasks += [
            asyncio.create_task(
                self._run_forever(
                    functools.partial(self._send_orders, connection_index)
                )
            )
            for connection_index in range(ORDER_CONNECTIONS_PER_WORKER)
        ]

    def wake(self) -> None:
        """Check for a lease renewal and for orders that are due."""
        self._hold_due.set()
        for event in self._orders_due:
            event.set()

    def close(self) -> None:
        """Cancel the tasks and close the connections to the worker."""
        for task in self._tasks:
            task.cancel()
        self._caller.close_connections(self._worker_id)

    async def _run_forever(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run `run` forever; log an exception and start it again.

        Without lease renewals, the leases of the worker's runs would expire
        while the process appears healthy.
        """
        while True:
            try:
                await run()
            except Exception:
                self._log_fault("worker task failed")
            await asyncio.sleep(ERROR_RETRY_DELAY_MS / 1000)

    async def _answer_of(self, call: Coroutine[None, None, T]) -> T | NoAnswer:
        """Return the answer to a call, also if the call raises.

        Without a result, the order would stay in flight forever, and the
        worker would count as answering although its renewals fail.
        """
        try:
            return await call
        except Exception:
            self._log_fault("call of a worker failed")
            return NoAnswer(sent=True, reason="unexpected error")

    def _log_fault(self, event: str) -> None:
        _LOG.error(
            event,
            worker=self._worker_id,
            fault=format_current_exception(),
        )

    async def _send_holds(self) -> None:
        while True:
            now = system_clock.now()
            worker = self._dispatcher.fleet.workers.get(self._worker_id)
            renewal = None
            if worker is not None:
                if not self._is_leading():
                    await self._wait_for_lease()
                    continue
                renewal = self._dispatcher.orders.next_lease_renewal(
                    self._worker_id, now
                )
            if worker is None or renewal is None:
                await self._hold_due.wait()
                self._hold_due.clear()
                continue
            description = worker.description
            answer = await self._answer_of(
                self._caller.renew_lease(
                    description,
                    renewal,
                    self._renewal_timeout_ms(worker, renewal),
                    self._is_leading,
                )
            )
            self._dispatcher.handle_renewal_result(
                self._worker_id,
                description.incarnation,
                renewal,
                answer,
                now.boot_ms,
                system_clock.now(),
            )
            if self._dispatcher.has_work:
                self._request_planning()
            if not isinstance(answer, LeaseRenewed):
                await asyncio.sleep(self._settings.retry_ms / 1000)

    def _renewal_timeout_ms(
        self, worker: WorkerState, renewal: RenewLease
    ) -> int:
        """Return the time after which a renewal counts as unanswered.

        A renewal of a silent worker is not a long poll, but has the timeout
        of one: a slow worker that answers must not lose its lease.
        """
        wait_ms = renewal.wait_ms
        if worker.reconciled and not worker.answered:
            wait_ms = max(wait_ms, self._settings.renewal_wait_ms)
        return wait_ms + self._settings.order_timeout_ms

    async def _send_orders(self, connection_index: int) -> None:
        event = self._orders_due[connection_index]
        while True:
            now = system_clock.now()
            worker = self._dispatcher.fleet.workers.get(self._worker_id)
            due = None
            if worker is not None:
                if not self._is_leading():
                    await self._wait_for_lease()
                    continue
                due = self._dispatcher.orders.next_order(self._worker_id, now)
            if worker is None or due is None:
                await self._wait_for_order(event)
                continue
            key, order = due
            description = worker.description
            answer = await self._answer_of(
                self._caller.order(
                    description,
                    connection_index,
                    order,
                    self._settings.order_timeout_ms,
                    self._is_leading,
                )
            )
            self._dispatcher.handle_order_result(
                self._worker_id,
                description.incarnation,
                key,
                order,
                answer,
                now.boot_ms,
                system_clock.now(),
            )

    async def _wait_for_lease(self) -> None:
        """Wait before the next check of this member's lapsed lease.

        Nothing wakes the tasks when it is renewed.
        """
        await asyncio.sleep(self._settings.retry_ms / 1000)

    async def _wait_for_order(self, event: asyncio.Event) -> None:
        """Wait until `event` is set or an order is to be retried."""
        event.clear()
        delay_ms = self._dispatcher.orders.ms_until_next_order(
            self._worker_id, system_clock.now()
        )
        if delay_ms is None:
            await event.wait()
            return
        try:
            async with asyncio.timeout(delay_ms / 1000):
                await event.wait()
        except TimeoutError:
            return


class WorkerSenders:
    """One `WorkerSender` for each worker that the dispatcher knows.

    Parameters
    ----------
    make_sender : callable
        Creates the sender of the worker with the given ID.
    """

    def __init__(self, make_sender: Callable[[str], WorkerSender]) -> None:
        self._make_sender = make_sender
        self._senders: dict[str, WorkerSender] = {}

    def wake(self, worker_id: str) -> None:
        """Wake the sender of a worker; create it if needed."""
        sender = self._senders.get(worker_id)
        if sender is None:
            sender = self._senders[worker_id] = self._make_sender(worker_id)
        sender.wake()

    def retain(self, worker_ids: set[str]) -> None:
        """Close the senders of all workers that are not in `worker_ids`."""
        for worker_id in self._senders.keys() - worker_ids:
            self._senders.pop(worker_id).close()

    def close(self) -> None:
        """Close all senders."""
        self.retain(set())
