"""Slot of a request that is sent to one endpoint at a time."""

from sardinespool.clock import Instant
from sardinespool.routing.request_effects import ReturnSlot
from sardinespool.routing.request_effects import Send
from sardinespool.routing.request_effects import WantSlot
from sardinespool.routing.request_events import SlotGiven
from sardinespool.routing.router_events import SlotUse


class SlotHolder:
    """The slot that a request wants or holds.

    Attributes
    ----------
    excluded : frozenset of str
        Workers that the request was sent to.
    """

    def __init__(self) -> None:
        self._number = 0
        self._slot: SlotGiven | None = None
        self._sent_boot_ms = 0
        self._repeated = False
        self.excluded: frozenset[str] = frozenset()

    @property
    def held(self) -> bool:
        """Whether a slot is held."""
        return self._slot is not None

    @property
    def repeated(self) -> bool:
        """Whether the held slot is on a worker that was tried before."""
        return self._repeated

    @property
    def worker_id(self) -> str:
        """Worker of the held slot."""
        return self._slot.worker_id if self._slot is not None else ""

    def want(self) -> WantSlot:
        """Ask for a slot on another worker than those before."""
        self._number += 1
        return WantSlot(self._number, self.excluded)

    def take(self, slot: SlotGiven) -> None:
        """Hold a slot."""
        self._slot = slot

    def send(self, deadline_unix_ms: int, key: str, now: Instant) -> Send:
        """Return the send on the held slot."""
        slot = self._slot
        assert slot is not None
        self._sent_boot_ms = now.boot_ms
        self._repeated = slot.worker_id in self.excluded
        self.excluded |= {slot.worker_id}
        return Send(
            number=slot.number,
            worker_id=slot.worker_id,
            address=slot.address,
            connection_limit=slot.connection_limit,
            deadline_unix_ms=deadline_unix_ms,
            key=key,
        )

    def give_back(
        self, use: SlotUse, now: Instant | None = None
    ) -> list[ReturnSlot]:
        """Return the slot, if one is held.

        Parameters
        ----------
        use : SlotUse
            How the request on it ended.
        now : Instant, optional
            Arrival of the answer, from which its latency follows.
        """
        slot = self._slot
        if slot is None:
            return []
        self._slot = None
        latency_ms = 0.0
        if now is not None:
            latency_ms = float(now.boot_ms - self._sent_boot_ms)
        return [ReturnSlot(slot.number, use, latency_ms)]
