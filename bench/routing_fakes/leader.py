"""Simulated leader of a domain group with the production grant table."""

import dataclasses
import functools
from collections.abc import Sequence

from bench.routing_fakes.entry import FakeEntry
from bench.routing_fakes.loop import VirtualLoop
from sardinespool.capacity.grants import GrantTable
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.capacity import SlotGrant
from sardinespool.messages.configuration import Configuration
from sardinespool.routing.router_events import ViewReceived

SYNC_MS = 250.0
_ROUND_TRIP_MS = 1.0
_CONFIGURATION = Configuration(
    version=1,
    values={
        "services/seats": {"kind": "latency-critical"},
        "services/report": {"kind": "batch"},
    },
)


@dataclasses.dataclass(slots=True)
class SyncedEntry:
    """Entry with the endpoints that its synchronisations report.

    `fixed` grants replace those of the grant table unless they are None.
    """

    entry: FakeEntry
    endpoints: tuple[Endpoint, ...]
    fixed_grants: tuple[SlotGrant, ...] | None = None
    known_table_version: int = 0
    table_version: int = 1

    def replace_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Report other endpoints from the next synchronisation on."""
        self.endpoints = endpoints
        self.table_version += 1


class FakeLeader:
    """Answers a synchronisation of each entry every 250 ms."""

    def __init__(
        self,
        loop: VirtualLoop,
        synced_entries: Sequence[SyncedEntry],
    ) -> None:
        self._loop = loop
        self._grants = GrantTable(len(synced_entries))
        for position, synced in enumerate(synced_entries):
            self._send_view(synced)
            offset_ms = SYNC_MS * position / len(synced_entries)
            loop.call_later(
                offset_ms + 1.0,
                functools.partial(self._sync_periodically, synced),
            )

    def _sync_periodically(self, synced: SyncedEntry) -> None:
        if synced.entry.alive:
            self._send_view(synced)
            self._loop.call_later(
                SYNC_MS, lambda: self._sync_periodically(synced)
            )

    def _send_view(self, synced: SyncedEntry) -> None:
        router = synced.entry.router
        sync = EntrySync(
            entry_id=synced.entry.name,
            address="",
            known_version=1,
            known_table_version=synced.known_table_version,
            demands=router.table.collect_demands(router.queued_by_service()),
        )
        now = self._loop.instant()
        grants = synced.fixed_grants
        if grants is None:
            grants = self._grants.sync(sync, synced.endpoints, now.unix_ms)
        changed = synced.known_table_version != synced.table_version
        view = EntryView(
            unix_ms=now.unix_ms,
            group_incarnation="inc",
            version=1,
            configuration=_CONFIGURATION,
            table_version=synced.table_version,
            endpoints=synced.endpoints if changed else None,
            grants=grants,
        )
        synced.known_table_version = synced.table_version
        self._loop.call_later(
            _ROUND_TRIP_MS if self._loop.now_ms else 0.0,
            lambda: synced.entry.route(ViewReceived(view)),
        )
