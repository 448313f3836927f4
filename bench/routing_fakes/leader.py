"""Stand-in for a domain's leader: the real grant table."""

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
class Follower:
    """An entry and the endpoints it is told of.

    `fixed` grants replace the grant table's if they are not None.
    """

    entry: FakeEntry
    endpoints: tuple[Endpoint, ...]
    fixed: tuple[SlotGrant, ...] | None = None
    known_table_version: int = 0
    table_version: int = 1

    def replace(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Tell of other endpoints with the next synchronisation."""
        self.endpoints = endpoints
        self.table_version += 1


class FakeLeader:
    """Answers the entries' synchronisations every 250 ms."""

    def __init__(
        self,
        loop: VirtualLoop,
        followers: Sequence[Follower],
    ) -> None:
        self._loop = loop
        self._grants = GrantTable(len(followers))
        for position, follower in enumerate(followers):
            self._view(follower)
            offset_ms = SYNC_MS * position / len(followers)
            loop.after(
                offset_ms + 1.0, functools.partial(self._sync, follower)
            )

    def _sync(self, follower: Follower) -> None:
        if follower.entry.alive:
            self._view(follower)
            self._loop.after(SYNC_MS, lambda: self._sync(follower))

    def _view(self, follower: Follower) -> None:
        router = follower.entry.router
        sync = EntrySync(
            entry_id=follower.entry.name,
            address="",
            known_version=1,
            known_table_version=follower.known_table_version,
            demands=router.table.take_demands(router.queued_by_service()),
        )
        now = self._loop.instant()
        grants = follower.fixed
        if grants is None:
            grants = self._grants.sync(sync, follower.endpoints, now.unix_ms)
        changed = follower.known_table_version != follower.table_version
        view = EntryView(
            unix_ms=now.unix_ms,
            group_incarnation="inc",
            version=1,
            configuration=_CONFIGURATION,
            table_version=follower.table_version,
            endpoints=follower.endpoints if changed else None,
            grants=grants,
        )
        follower.known_table_version = follower.table_version
        self._loop.after(
            _ROUND_TRIP_MS if self._loop.now_ms else 0.0,
            lambda: follower.entry.route(ViewReceived(view)),
        )
