"""Grants of endpoint slots beyond the fixed floor of each entry."""

import dataclasses
from collections.abc import Iterable

from sardinespool.capacity.slot_division import divide_slots
from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import SlotGrant

GRANT_MS = 3_000
"""Time from a grant to its deadline."""

SHARES_CACHE_MS = 250
"""Time for which the division of slots by demand is cached.

It is the report interval of the entries. Dividing the slots for each report
would cost more than all other work on it.
"""


DEMAND_SMOOTHING_WEIGHT = 0.1
"""Weight of one report in the smoothed demand; reports arrive every 250 ms,
and grants last 3 s."""

MINIMUM_WIDTH_SLOTS = 0.01
"""Width of an entry whose demand does not exceed its floor."""


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldGrant:
    slots: int
    deadline_unix_ms: int


class GrantTable:
    """Grants of one leader; volatile.

    Each entry's floor of an endpoint is ``slots // entry_count``. The
    remainder is divided in proportion to the smoothed total demand of the
    entries that have synchronised recently. A slot moves to another entry
    only `CLOCK_ERROR_MS` after the deadline of every grant that included it,
    so an entry is counted with its largest grant that may still be in use.
    """

    def __init__(self, entry_count: int) -> None:
        self._entry_count = max(1, entry_count)
        self._earliest_grant_unix_ms = 0
        self._held_grants: dict[str, dict[str, tuple[_HeldGrant, ...]]] = {}
        self._demands: dict[str, float] = {}
        self._endpoint_numbers: dict[str, int] = {}
        self._synced_unix_ms: dict[str, int] = {}
        self._incarnations: dict[str, int] = {}
        self._shares: dict[str, dict[str, int]] = {}
        self._shares_unix_ms = 0

    def become_leader(self, now_unix_ms: int) -> None:
        """Reset the state; grant nothing until earlier leaders' grants end."""
        self._held_grants = {}
        self._demands = {}
        self._synced_unix_ms = {}
        self._incarnations = {}
        self._shares = {}
        self._earliest_grant_unix_ms = now_unix_ms + GRANT_MS + CLOCK_ERROR_MS

    def sync(
        self, sync: EntrySync, endpoints: Iterable[Endpoint], now_unix_ms: int
    ) -> tuple[SlotGrant, ...]:
        """Record the demand of an entry and return its grants.

        A report of an earlier process of the entry changes nothing: the next
        process may use the grants. An entry whose incarnation has decreased
        gets grants once its earlier process counts as inactive.
        """
        entry_id = sync.entry_id
        if sync.incarnation < self._incarnations.get(entry_id, 0):
            self._remove_inactive_entries(now_unix_ms)
            return ()
        self._incarnations[entry_id] = sync.incarnation
        if sync.stopping:
            self._remove_entry(entry_id)
            return ()
        self._synced_unix_ms[entry_id] = now_unix_ms
        self._record_demand(sync)
        self._remove_inactive_entries(now_unix_ms)
        if not 0 <= now_unix_ms - self._shares_unix_ms < SHARES_CACHE_MS:
            self._shares = {}
            self._shares_unix_ms = now_unix_ms
        if now_unix_ms < self._earliest_grant_unix_ms:
            return ()
        deadline_unix_ms = now_unix_ms + GRANT_MS
        grants = []
        for endpoint in endpoints:
            if endpoint.leaving:
                continue
            slots = self._grantable(endpoint, entry_id, now_unix_ms)
            if slots > 0:
                grants_by_entry = self._held_grants.setdefault(
                    endpoint.worker_id, {}
                )
                grants_by_entry[entry_id] = _add_grant(
                    grants_by_entry.get(entry_id, ()),
                    _HeldGrant(slots, deadline_unix_ms),
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
        """Return the slots beyond its floor that each entry may still use."""
        slots_by_entry = {
            entry_id: _largest_active_slots(grants, now_unix_ms)
            for entry_id, grants in self._held_grants.get(
                worker_id, {}
            ).items()
        }
        return {
            entry_id: slots
            for entry_id, slots in slots_by_entry.items()
            if slots
        }

    def prune(self, now_unix_ms: int) -> None:
        """Remove endpoints without a grant that may be in use."""
        self._held_grants = {
            worker_id: grants_by_entry
            for worker_id, grants_by_entry in self._held_grants.items()
            if any(
                _active_grants(grants, now_unix_ms)
                for grants in grants_by_entry.values()
            )
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
            shares = self._divide_remainder(endpoint, remainder)
            self._shares[worker_id] = shares
        share = shares[entry_id]
        if share == 0:
            return 0
        slots_of_others = sum(
            _largest_active_slots(grants, now_unix_ms)
            for name, grants in self._held_grants.get(worker_id, {}).items()
            if name != entry_id
        )
        return min(share, remainder - slots_of_others)

    def _record_demand(self, sync: EntrySync) -> None:
        demand = float(
            sum(max(0, slot_demand.in_use) for slot_demand in sync.demands)
        )
        smoothed_demand = self._demands.get(sync.entry_id, demand)
        self._demands[sync.entry_id] = (
            smoothed_demand
            + DEMAND_SMOOTHING_WEIGHT * (demand - smoothed_demand)
        )

    def _divide_remainder(
        self, endpoint: Endpoint, remainder: int
    ) -> dict[str, int]:
        endpoint_number = self._endpoint_numbers.setdefault(
            endpoint.worker_id, len(self._endpoint_numbers)
        )
        floor = endpoint.slots // self._entry_count
        total_demand = sum(self._demands.values()) or 1.0
        widths = {
            name: max(
                MINIMUM_WIDTH_SLOTS,
                endpoint.slots * demand / total_demand - floor,
            )
            for name, demand in self._demands.items()
        }
        return divide_slots(remainder, endpoint_number * remainder, widths)

    def _remove_entry(self, entry_id: str) -> None:
        self._demands.pop(entry_id, None)
        self._synced_unix_ms.pop(entry_id, None)
        self._incarnations.pop(entry_id, None)
        for grants_by_entry in self._held_grants.values():
            grants_by_entry.pop(entry_id, None)

    def _remove_inactive_entries(self, now_unix_ms: int) -> None:
        for entry_id, synced_unix_ms in list(self._synced_unix_ms.items()):
            if synced_unix_ms + GRANT_MS + CLOCK_ERROR_MS < now_unix_ms:
                self._remove_entry(entry_id)


def _active_grants(
    grants: tuple[_HeldGrant, ...], now_unix_ms: int
) -> list[_HeldGrant]:
    return [
        grant
        for grant in grants
        if grant.deadline_unix_ms + CLOCK_ERROR_MS >= now_unix_ms
    ]


def _largest_active_slots(
    grants: tuple[_HeldGrant, ...], now_unix_ms: int
) -> int:
    oldest_deadline_unix_ms = now_unix_ms - CLOCK_ERROR_MS
    largest = 0
    for grant in grants:
        if (
            grant.slots > largest
            and grant.deadline_unix_ms >= oldest_deadline_unix_ms
        ):
            largest = grant.slots
    return largest


def _add_grant(
    grants: tuple[_HeldGrant, ...], new_grant: _HeldGrant, now_unix_ms: int
) -> tuple[_HeldGrant, ...]:
    """Add a grant; drop those that have ended or are not larger."""
    larger_grants = [
        grant
        for grant in _active_grants(grants, now_unix_ms)
        if grant.slots > new_grant.slots
    ]
    return (*larger_grants, new_grant)
