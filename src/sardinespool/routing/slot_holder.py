"""Slot of a request that uses one endpoint at a time."""

from sardinespool.clock import Instant
from sardinespool.routing.request_effects import ReleaseSlot
from sardinespool.routing.request_effects import RequestSlot
from sardinespool.routing.request_effects import Send
from sardinespool.routing.request_events import SlotGiven
from sardinespool.routing.router_events import SlotResult


class SlotHolder:
    """Requests, holds and releases the slot of one request.

    Attributes
    ----------
    excluded : frozenset of str
        Workers to which the request was sent.
    """

    def __init__(self) -> None:
        self._last_number = 0
        self._slot: SlotGiven | None = None
        self._sent_boot_ms = 0
        self._on_tried_worker = False
        self.excluded: frozenset[str] = frozenset()

    @property
    def held(self) -> bool:
        """Whether a slot is held."""
        return self._slot is not None

    @property
    def on_tried_worker(self) -> bool:
        """Whether the slot is on a worker that was tried before."""
        return self._on_tried_worker

    @property
    def worker_id(self) -> str:
        """Worker of the held slot, empty if none is held."""
        return self._slot.worker_id if self._slot is not None else ""

    def request_slot(self) -> RequestSlot:
        """Request a slot, preferably on a worker not tried yet."""
        self._last_number += 1
        return RequestSlot(self._last_number, self.excluded)

    def hold(self, slot: SlotGiven) -> None:
        """Store the assigned slot."""
        self._slot = slot

    def send(self, deadline_unix_ms: int, key: str, now: Instant) -> Send:
        """Return the effect that sends the request on the held slot."""
        slot = self._slot
        assert slot is not None
        self._sent_boot_ms = now.boot_ms
        self._on_tried_worker = slot.worker_id in self.excluded
        self.excluded |= {slot.worker_id}
        return Send(
            number=slot.number,
            worker_id=slot.worker_id,
            address=slot.address,
            connection_limit=slot.connection_limit,
            deadline_unix_ms=deadline_unix_ms,
            key=key,
        )

    def release(
        self, use: SlotResult, now: Instant | None = None
    ) -> list[ReleaseSlot]:
        """Release the slot, if one is held.

        Parameters
        ----------
        use : SlotResult
            How the request on the slot ended.
        now : Instant, optional
            Arrival time of the answer, to compute its latency.
        """
        slot = self._slot
        if slot is None:
            return []
        self._slot = None
        latency_ms = 0.0
        if now is not None:
            latency_ms = float(now.boot_ms - self._sent_boot_ms)
        return [ReleaseSlot(slot.number, use, latency_ms)]
