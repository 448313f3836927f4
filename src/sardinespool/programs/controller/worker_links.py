"""Tasks that carry holds and orders to the workers."""

import asyncio
import functools
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.orders import HoldDone
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.observability.logs import get_logger
from sardinespool.programs.controller.worker_caller import WorkerCaller
from sardinespool.transport import system_clock

ORDER_LANES = 2
"""Connections for orders to a worker; one unanswered order stalls one."""
FAULT_PAUSE_MS = 200
"""Pause after a fault, so that one that repeats does not fill the log; leases
are extended well before they end at four tries a second."""
FAULT_FRAMES = 3
"""Innermost calls that the log shows of a fault."""

_LOG = get_logger("controller")


class WorkerLink:
    """Tasks of one worker.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    dispatcher : Dispatcher
        Decides what is sent.
    caller : WorkerCaller
        Sends it.
    settings : DispatchSettings
        Timing.
    may_send : callable
        Whether this member leads now; asked right before each call.
    plan_soon : callable
        Called when an answer may lead to a new plan.
    """

    def __init__(
        self,
        worker_id: str,
        dispatcher: Dispatcher,
        caller: WorkerCaller,
        settings: DispatchSettings,
        may_send: Callable[[], bool],
        plan_soon: Callable[[], None],
    ) -> None:
        self._worker_id = worker_id
        self._dispatcher = dispatcher
        self._caller = caller
        self._settings = settings
        self._may_send = may_send
        self._plan_soon = plan_soon
        self._hold_due = asyncio.Event()
        self._orders_due = [asyncio.Event() for _ in range(ORDER_LANES)]
        self._tasks = [asyncio.create_task(self._keep_up(self._hold))]
        self._tasks += [
            asyncio.create_task(
                self._keep_up(functools.partial(self._order, lane))
            )
            for lane in range(ORDER_LANES)
        ]

    def wake(self) -> None:
        """Look again for a hold and for orders."""
        self._hold_due.set()
        for event in self._orders_due:
            event.set()

    def close(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.cancel()
        self._caller.forget(self._worker_id)

    async def _keep_up(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task of the worker for ever.

        A fault must show in the log and must not leave the worker without
        holds: its runs would lapse while the process looks sound.
        """
        while True:
            try:
                await run()
            except Exception:
                _LOG.error(
                    "worker task failed",
                    worker=self._worker_id,
                    fault=traceback.format_exc(limit=-FAULT_FRAMES),
                )
            await asyncio.sleep(FAULT_PAUSE_MS / 1000)

    async def _hold(self) -> None:
        while True:
            now = system_clock.now()
            worker = self._dispatcher.fleet.workers.get(self._worker_id)
            hold = None
            if worker is not None and self._may_send():
                hold = self._dispatcher.orders.next_hold(self._worker_id, now)
            if worker is None or hold is None:
                await self._hold_due.wait()
                self._hold_due.clear()
                continue
            description = worker.description
            answer = await self._caller.hold(
                description,
                hold,
                hold.wait_ms + self._settings.order_timeout_ms,
            )
            self._dispatcher.hold_answered(
                self._worker_id,
                description.life,
                hold,
                answer,
                now.boot_ms,
                system_clock.now(),
            )
            if self._dispatcher.has_work:
                self._plan_soon()
            if not isinstance(answer, HoldDone):
                await asyncio.sleep(self._settings.retry_ms / 1000)

    async def _order(self, lane: int) -> None:
        event = self._orders_due[lane]
        while True:
            now = system_clock.now()
            worker = self._dispatcher.fleet.workers.get(self._worker_id)
            due = None
            if worker is not None and self._may_send():
                due = self._dispatcher.orders.next_order(self._worker_id, now)
            if worker is None or due is None:
                await self._wait(event)
                continue
            key, order = due
            description = worker.description
            answer = await self._caller.order(
                description, lane, order, self._settings.order_timeout_ms
            )
            self._dispatcher.order_answered(
                self._worker_id,
                description.life,
                key,
                order,
                answer,
                system_clock.now(),
            )

    async def _wait(self, event: asyncio.Event) -> None:
        """Wait until an order is due."""
        event.clear()
        delay_ms = self._dispatcher.orders.retry_due(
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


class WorkerLinks:
    """One `WorkerLink` for each worker that the dispatcher knows."""

    def __init__(self, make_link: Callable[[str], WorkerLink]) -> None:
        self._make_link = make_link
        self._links: dict[str, WorkerLink] = {}

    def wake(self, worker_id: str) -> None:
        """Let a worker's tasks look for work; start them if needed."""
        link = self._links.get(worker_id)
        if link is None:
            link = self._links[worker_id] = self._make_link(worker_id)
        link.wake()

    def keep(self, worker_ids: set[str]) -> None:
        """End the tasks of all other workers."""
        for worker_id in self._links.keys() - worker_ids:
            self._links.pop(worker_id).close()

    def close(self) -> None:
        """End all tasks."""
        self.keep(set())
