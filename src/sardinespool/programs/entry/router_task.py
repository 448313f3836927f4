"""Event loop task that runs the router."""

import asyncio
from collections.abc import Callable
from collections.abc import Set as AbstractSet

from sardinespool.clock import Instant
from sardinespool.routing.fair_queue import QueuedRequest
from sardinespool.routing.router import Router
from sardinespool.routing.router_events import EndpointsChanged
from sardinespool.routing.router_events import RouterEvent
from sardinespool.routing.router_events import SlotAssigned
from sardinespool.routing.router_events import SlotRefused
from sardinespool.routing.router_events import SlotRequested
from sardinespool.routing.router_events import SlotWithdrawn
from sardinespool.routing.router_events import Tick
from sardinespool.routing.router_events import ViewReceived

TICK_INTERVAL_MS = 50

SlotReceiver = Callable[[SlotAssigned | SlotRefused], None]


class RouterTask:
    """Passes queued events to the router and delivers its effects.

    Parameters
    ----------
    router : Router
        Modified only by this task; others may read it.
    clock : callable
        Returns the current instant.
    retain_connections : callable
        Called with the addresses whose connections are kept.

    Attributes
    ----------
    synced : asyncio.Event
        Set once the router has applied a view.
    """

    def __init__(
        self,
        router: Router,
        clock: Callable[[], Instant],
        retain_connections: Callable[[AbstractSet[str]], None],
    ) -> None:
        self.router = router
        self._clock = clock
        self._retain_connections = retain_connections
        self.synced = asyncio.Event()
        self._events: asyncio.Queue[RouterEvent] = asyncio.Queue()
        self._receivers: dict[str, SlotReceiver] = {}

    def request_slot(
        self, waiting: QueuedRequest, receiver: SlotReceiver
    ) -> None:
        """Request a slot; `receiver` is called once, unless withdrawn."""
        self._receivers[waiting.ticket] = receiver
        self._events.put_nowait(SlotRequested(waiting))

    def post(self, event: RouterEvent) -> None:
        """Add an event to the queue."""
        self._events.put_nowait(event)

    async def run(self) -> None:
        """Handle events until cancelled."""
        while True:
            self._handle(await self._events.get())

    async def run_ticks(self) -> None:
        """Send ticks while requests are queued, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
            if self.router.queued():
                self.post(Tick())

    def _handle(self, event: RouterEvent) -> None:
        if isinstance(event, SlotWithdrawn):
            # A slot assigned before this event was already delivered.
            self._receivers.pop(event.ticket, None)
        effects = self.router.handle(event, self._clock())
        if isinstance(event, ViewReceived):
            self.synced.set()
        for effect in effects:
            match effect:
                case SlotAssigned(ticket) | SlotRefused(ticket):
                    receiver = self._receivers.pop(ticket, None)
                    if receiver is not None:
                        receiver(effect)
                case EndpointsChanged(addresses):
                    self._retain_connections(addresses)
