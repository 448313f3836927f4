"""Grants of the slots beyond the entries' floors."""

import dataclasses
from collections.abc import Iterable

from sardinespool.capacity.shares import divide_slots
from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import SlotGrant

GRANT_MS = 3_000
"""Time from a grant to its deadline."""

SHARES_MS = 250
"""Time between two divisions by demand, the interval of entries' reports.

The division is kept in between: it would cost more than all other work on
an entry's report.
"""


NEW_DEMAND_SHARE = 0.1
"""Weight of a new report; reports come every 250 ms, grants last 3 s."""

SMALLEST_WIDTH_SLOTS = 0.01
"""Part of an entry that shows no need beyond its floors."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    slots: int
    deadline_unix_ms: int


class GrantTable:
    """Grants of one leader; volatile.

    Each entry's floor of an endpoint is ``slots // entry_count``. The
    remainder is divided by the whole, smoothed demand of the entries that
    have synchronised recently. A slot moves to another entry only
    `CLOCK_ERROR_MS` after the deadline of every grant that included it, so
    an entry counts with the largest of its grants that may still be in use.
    """

    def __init__(self, entry_count: int) -> None:
        self._entry_count = max(1, entry_count)
        self._first_grant_unix_ms = 0
        self._held: dict[str, dict[str, tuple[_Held, ...]]] = {}
        self._demands: dict[str, float] = {}
        self._numbers: dict[str, int] = {}
        self._synced_unix_ms: dict[str, int] = {}
        self._shares: dict[str, dict[str, int]] = {}
        self._shares_unix_ms = 0

    def become_leader(self, now_unix_ms: int) -> None:
        """Forget everything; earlier leaders' grants have to end first."""
        self._held = {}
        self._demands = {}
        self._synced_unix_ms = {}
        self._shares = {}
        self._first_grant_unix_ms = now_unix_ms + GRANT_MS + CLOCK_ERROR_MS

    def sync(
        self, sync: EntrySync, endpoints: Iterable[Endpoint], now_unix_ms: int
    ) -> tuple[SlotGrant, ...]:
        """Note an entry's demand and return its grants."""
        entry_id = sync.entry_id
        if sync.stopping:
            self._release(entry_id)
            return ()
        self._synced_unix_ms[entry_id] = now_unix_ms
        self._note_demand(sync)
        self._expire(now_unix_ms)
        if not 0 <= now_unix_ms - self._shares_unix_ms < SHARES_MS:
            self._shares = {}
            self._shares_unix_ms = now_unix_ms
        if now_unix_ms < self._first_grant_unix_ms:
            return ()
        deadline_unix_ms = now_unix_ms + GRANT_MS
        grants = []
        for endpoint in endpoints:
            if endpoint.leaving:
                continue
            slots = self._grantable(endpoint, entry_id, now_unix_ms)
            if slots > 0:
                held = self._held.setdefault(endpoint.worker_id, {})
                held[entry_id] = _with(
                    held.get(entry_id, ()),
                    _Held(slots, deadline_unix_ms),
                    now_unix_ms,
                )
                grants.append(
                    SlotGrant(
                        worker_id=endpoint.worker_id,
                        slots=slots,
                        deadline_unix_ms=deadline_unix_ms,
                    )
                )
        return tuple(grants)

    def held_slots(self, worker_id: str, now_unix_ms: int) -> dict[str, int]:
        """Return the slots that each entry may still use beyond its floor."""
        held = {
            entry_id: _largest(grants, now_unix_ms)
            for entry_id, grants in self._held.get(worker_id, {}).items()
        }
        return {entry_id: slots for entry_id, slots in held.items() if slots}

    def prune(self, now_unix_ms: int) -> None:
        """Forget endpoints of which no grant is in use."""
        self._held = {
            worker_id: held
            for worker_id, held in self._held.items()
            if any(_live(grants, now_unix_ms) for grants in held.values())
        }

    def _grantable(
        self, endpoint: Endpoint, entry_id: str, now_unix_ms: int
    ) -> int:
        remainder = endpoint.slots % self._entry_count
        if remainder == 0:
            return 0
        worker_id = endpoint.worker_id
        shares = self._shares.get(worker_id)
        if shares is None or entry_id not in shares:
            shares = self._divide(endpoint, remainder)
            self._shares[worker_id] = shares
        share = shares[entry_id]
        if share == 0:
            return 0
        others = sum(
            _largest(grants, now_unix_ms)
            for name, grants in self._held.get(worker_id, {}).items()
            if name != entry_id
        )
        return min(share, remainder - others)

    def _note_demand(self, sync: EntrySync) -> None:
        demand = float(sum(max(0, each.in_use) for each in sync.demands))
        before = self._demands.get(sync.entry_id, demand)
        self._demands[sync.entry_id] = before + NEW_DEMAND_SHARE * (
            demand - before
        )

    def _divide(self, endpoint: Endpoint, remainder: int) -> dict[str, int]:
        number = self._numbers.setdefault(
            endpoint.worker_id, len(self._numbers)
        )
        floor = endpoint.slots // self._entry_count
        whole = sum(self._demands.values()) or 1.0
        widths = {
            name: max(
                SMALLEST_WIDTH_SLOTS, endpoint.slots * demand / whole - floor
            )
            for name, demand in self._demands.items()
        }
        return divide_slots(remainder, number * remainder, widths)

    def _release(self, entry_id: str) -> None:
        self._demands.pop(entry_id, None)
        self._synced_unix_ms.pop(entry_id, None)
        for held in self._held.values():
            held.pop(entry_id, None)

    def _expire(self, now_unix_ms: int) -> None:
        for entry_id, synced_unix_ms in list(self._synced_unix_ms.items()):
            if synced_unix_ms + GRANT_MS + CLOCK_ERROR_MS < now_unix_ms:
                self._release(entry_id)


def _live(grants: tuple[_Held, ...], now_unix_ms: int) -> list[_Held]:
    return [
        grant
        for grant in grants
        if grant.deadline_unix_ms + CLOCK_ERROR_MS >= now_unix_ms
    ]


def _largest(grants: tuple[_Held, ...], now_unix_ms: int) -> int:
    ended_unix_ms = now_unix_ms - CLOCK_ERROR_MS
    largest = 0
    for grant in grants:
        if grant.slots > largest and grant.deadline_unix_ms >= ended_unix_ms:
            largest = grant.slots
    return largest


def _with(
    grants: tuple[_Held, ...], new: _Held, now_unix_ms: int
) -> tuple[_Held, ...]:
    """Add a grant and drop those that it covers or that have ended."""
    kept = [
        grant
        for grant in _live(grants, now_unix_ms)
        if grant.slots > new.slots
    ]
    return (*kept, new)
