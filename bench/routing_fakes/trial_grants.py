"""Trial of another division of the remainders; not part of the system."""

from collections.abc import Iterable

from sardinespool.capacity.grants import GrantTable
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import SlotGrant

_GOLDEN = 0.6180339887
_NEW_SHARE = 0.1


class TrialGrants(GrantTable):
    """Divides by the entries' whole, smoothed demand.

    Each slot beyond the floors has a fixed point in [0, 1), and the entries
    have intervals there. A small change of demand moves only the slots near
    the ends of the intervals, where `GrantTable` may move any.
    """

    def __init__(self, entry_count: int) -> None:
        super().__init__(entry_count)
        self._smooth: dict[str, float] = {}
        self._points: dict[str, int] = {}

    def sync(
        self, sync: EntrySync, endpoints: Iterable[Endpoint], now_unix_ms: int
    ) -> tuple[SlotGrant, ...]:
        """Note the entry's whole demand, then grant as before."""
        known = list(endpoints)
        for each in known:
            self._points.setdefault(each.worker_id, len(self._points))
        whole = float(sum(demand.in_use for demand in sync.demands))
        before = self._smooth.get(sync.entry_id, whole)
        self._smooth[sync.entry_id] = before + _NEW_SHARE * (whole - before)
        return super().sync(sync, known, now_unix_ms)

    def _grantable(
        self, endpoint: Endpoint, entry_id: str, now_unix_ms: int
    ) -> int:
        floor = endpoint.slots // self._entry_count
        remainder = endpoint.slots - floor * self._entry_count
        names = sorted(self._demands)
        whole = sum(self._smooth[name] for name in names) or 1.0
        wanted = [
            max(0.01, endpoint.slots * self._smooth[name] / whole - floor)
            for name in names
        ]
        first = self._points[endpoint.worker_id] * remainder
        share = 0
        for number in range(first, first + remainder):
            point = (number * _GOLDEN) % 1.0 * sum(wanted)
            for name, width in zip(names, wanted, strict=True):
                point -= width
                if point < 0:
                    share += name == entry_id
                    break
        held = self.held_slots(endpoint.worker_id, now_unix_ms)
        others = sum(slots for name, slots in held.items() if name != entry_id)
        return min(share, remainder - others)
