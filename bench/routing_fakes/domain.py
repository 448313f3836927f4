"""Simulated failure domain: endpoints, entries and slot sharing."""

import functools
import random
from collections.abc import Mapping

from bench.routing_fakes.endpoint import FakeEndpoint
from bench.routing_fakes.endpoint import FaultPhase
from bench.routing_fakes.entry import FakeEntry
from bench.routing_fakes.leader import FakeLeader
from bench.routing_fakes.leader import SyncedEntry
from bench.routing_fakes.loop import VirtualLoop
from bench.routing_fakes.measures import Outcome
from bench.routing_fakes.measures import Request
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import SlotGrant
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.keys import rendezvous_order
from sardinespool.routing.router import Router

SLOTS_PER_ENDPOINT = 8
FORWARD_HOP_MS = 0.4
OWNER_TAKEOVER_MS = 3_250.0
"""Grant lifetime plus clock error: a crashed entry then no longer sends.

Owners change after the same time as grants, so that the two are comparable.
"""
_NO_DEADLINE_UNIX_MS = 9**15


def endpoint_announcement(number: int) -> Endpoint:
    """Return the announcement of a worker that serves both services."""
    return Endpoint(
        worker_id=f"w{number}",
        incarnation=1,
        address=f"10.0.0.{number + 1}:80",
        services=("seats", "report"),
        slots=SLOTS_PER_ENDPOINT,
        connections=64,
        leaving=False,
    )


class Domain:
    """Entries that share the slots of endpoints.

    `sharing` is ``grants`` (the grant table, as implemented), ``owners`` (each
    endpoint belongs to one entry), ``static`` (fixed, even shares) or
    ``pool`` (all entries use one router).
    """

    def __init__(
        self,
        endpoint_count: int,
        sharing: str,
        seed: int,
        entry_count: int = 3,
        queue_length: int = 64,
        phases: Mapping[int, tuple[FaultPhase, ...]] | None = None,
        hedging: bool = False,
        join_times_ms: Mapping[int, float] | None = None,
    ) -> None:
        self.loop = VirtualLoop()
        self.sharing = sharing
        self._rng = random.Random(seed)
        self._join_times_ms = dict(join_times_ms or {})
        announcements = [
            endpoint_announcement(number) for number in range(endpoint_count)
        ]
        self._endpoints = {
            endpoint.worker_id: FakeEndpoint(
                self.loop, endpoint, seed, (phases or {}).get(number, ())
            )
            for number, endpoint in enumerate(announcements)
        }
        router_count = 1 if sharing == "pool" else entry_count
        exclusive = sharing in ("owners", "pool")
        sharing_entries = 1 if exclusive else entry_count
        self.entries = [
            FakeEntry(
                f"e{number}",
                self.loop,
                Router(sharing_entries, queue_length, seed * 100 + number),
                self._endpoints,
                KeySource("centro", ("centro",), random.Random(seed)),
                hedging,
            )
            for number in range(router_count)
        ]
        initial_endpoints = tuple(
            endpoint
            for number, endpoint in enumerate(announcements)
            if number not in self._join_times_ms
        )
        self._synced_entries = [
            SyncedEntry(
                entry,
                initial_endpoints,
                self._fixed_grants(position, initial_endpoints),
            )
            for position, entry in enumerate(self.entries)
        ]
        if sharing == "owners":
            self._assign_to_owners(initial_endpoints)
        self._leader = FakeLeader(self.loop, self._synced_entries)
        for number, time_ms in self._join_times_ms.items():
            add_endpoint = functools.partial(
                self._add_endpoint, announcements[number]
            )
            self.loop.call_at(time_ms, add_endpoint)

    @property
    def over_slots(self) -> int:
        """Number of requests that reached an endpoint without a free slot."""
        return sum(
            endpoint.over_slots for endpoint in self._endpoints.values()
        )

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes at all entries."""
        return [
            outcome for entry in self.entries for outcome in entry.outcomes
        ]

    def arrive(self, entry_index: int, request: Request) -> None:
        """Deliver a request to an entry, or to another one if it crashed."""
        if self.sharing == "pool":
            self.entries[0].arrive(request)
            return
        alive_entries = [entry for entry in self.entries if entry.alive]
        receiver = self.entries[entry_index]
        if not receiver.alive:
            receiver = alive_entries[request.number % len(alive_entries)]
        if self.sharing != "owners":
            receiver.arrive(request)
            return
        owner = self._choose_owner(alive_entries)
        if owner is receiver:
            receiver.arrive(request)
        else:
            # Charges both directions of the forward at once.
            self.loop.call_later(FORWARD_HOP_MS, lambda: owner.arrive(request))

    def crash_entry(self, entry_index: int) -> int:
        """Crash an entry and return the number of requests lost."""
        lost = self.entries[entry_index].crash()
        if self.sharing == "owners":
            self.loop.call_later(OWNER_TAKEOVER_MS, self._reassign_endpoints)
        return lost

    def _choose_owner(self, alive_entries: list[FakeEntry]) -> FakeEntry:
        """Return the less loaded of two entries drawn by endpoint count."""
        sizes = [
            max(1, len(synced.endpoints))
            for synced in self._synced_entries
            if synced.entry.alive
        ]
        candidates = self._rng.choices(range(len(alive_entries)), sizes, k=2)

        def load(number: int) -> float:
            router = alive_entries[number].router
            return (router.in_progress() + router.queued()) / sizes[number]

        return alive_entries[min(candidates, key=load)]

    def _fixed_grants(
        self, position: int, endpoints: tuple[Endpoint, ...]
    ) -> tuple[SlotGrant, ...] | None:
        if self.sharing != "static":
            return () if self.sharing in ("owners", "pool") else None
        count = len(self.entries)
        remainder = SLOTS_PER_ENDPOINT % count
        return tuple(
            SlotGrant(
                worker_id=endpoint.worker_id,
                slots=1,
                deadline_unix_ms=_NO_DEADLINE_UNIX_MS,
            )
            for number, endpoint in enumerate(endpoints)
            if (number + position) % count < remainder
        )

    def _assign_to_owners(self, endpoints: tuple[Endpoint, ...]) -> None:
        alive_entries = {
            synced.entry.name: synced
            for synced in self._synced_entries
            if synced.entry.alive
        }
        endpoints_by_owner: dict[str, list[Endpoint]] = {
            name: [] for name in alive_entries
        }
        for endpoint in endpoints:
            endpoints_by_owner[
                rendezvous_order(endpoint.worker_id, sorted(alive_entries))[0]
            ].append(endpoint)
        for name, synced in alive_entries.items():
            synced.replace_endpoints(tuple(endpoints_by_owner[name]))

    def _reassign_endpoints(self) -> None:
        announcements = [e.announcement for e in self._endpoints.values()]
        self._assign_to_owners(tuple(announcements))

    def _add_endpoint(self, endpoint: Endpoint) -> None:
        for synced in self._synced_entries:
            synced.replace_endpoints((*synced.endpoints, endpoint))
