"""One failure domain: endpoints, entries and their way of sharing slots."""

import functools
import random
from collections.abc import Mapping

from bench.routing_fakes.endpoint import FakeEndpoint
from bench.routing_fakes.endpoint import Phase
from bench.routing_fakes.entry import FakeEntry
from bench.routing_fakes.leader import FakeLeader
from bench.routing_fakes.leader import Follower
from bench.routing_fakes.loop import VirtualLoop
from bench.routing_fakes.measures import Outcome
from bench.routing_fakes.measures import Request
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import SlotGrant
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.keys import rendezvous_order
from sardinespool.routing.router import Router

SLOTS = 8
HOP_MS = 0.4
TAKEOVER_MS = 3_250.0
"""Grant deadline and clock error: the same proof of silence for all ways."""
_NO_DEADLINE_UNIX_MS = 9**15


def announce(number: int) -> Endpoint:
    """Return the announcement of a worker of both services."""
    return Endpoint(
        worker_id=f"w{number}",
        incarnation=1,
        address=f"10.0.0.{number + 1}:80",
        services=("seats", "report"),
        slots=SLOTS,
        connections=64,
        leaving=False,
    )


class Domain:
    """Entries that share endpoints in one of four ways.

    `sharing` is ``grants`` (as built), ``owners`` (one entry per endpoint),
    ``static`` or ``pool`` (all entries use one router).
    """

    def __init__(
        self,
        endpoint_count: int,
        sharing: str,
        seed: int,
        entry_count: int = 3,
        queue_length: int = 64,
        phases: Mapping[int, tuple[Phase, ...]] | None = None,
        hedging: bool = False,
        joins_ms: Mapping[int, float] | None = None,
    ) -> None:
        self.loop = VirtualLoop()
        self.sharing = sharing
        self._generator = random.Random(seed)
        self._joins = dict(joins_ms or {})
        announced = [announce(number) for number in range(endpoint_count)]
        self._endpoints = {
            each.worker_id: FakeEndpoint(
                self.loop, each, seed, (phases or {}).get(number, ())
            )
            for number, each in enumerate(announced)
        }
        routers = 1 if sharing == "pool" else entry_count
        alone = sharing in ("owners", "pool")
        sharers = 1 if alone else entry_count
        self.entries = [
            FakeEntry(
                f"e{number}",
                self.loop,
                Router(sharers, queue_length, seed * 100 + number),
                self._endpoints,
                KeySource("centro", ("centro",), random.Random(seed)),
                hedging,
            )
            for number in range(routers)
        ]
        present = tuple(
            each
            for number, each in enumerate(announced)
            if number not in self._joins
        )
        self._followers = [
            Follower(entry, present, self._fixed(position, present))
            for position, entry in enumerate(self.entries)
        ]
        if sharing == "owners":
            self._give_to_owners(present)
        self._leader = FakeLeader(self.loop, self._followers)
        for number, time_ms in self._joins.items():
            join = functools.partial(self._join, announced[number])
            self.loop.at(time_ms, join)

    @property
    def over_slots(self) -> int:
        """Requests that reached an endpoint with all slots in use."""
        return sum(each.over_slots for each in self._endpoints.values())

    def outcomes(self) -> list[Outcome]:
        """Return the endings at all entries."""
        return [each for entry in self.entries for each in entry.outcomes]

    def arrive(self, entry: int, request: Request) -> None:
        """Let a request arrive at an entry, or one that still lives."""
        if self.sharing == "pool":
            self.entries[0].arrive(request)
            return
        living = [each for each in self.entries if each.alive]
        receiver = self.entries[entry]
        if not receiver.alive:
            receiver = living[request.number % len(living)]
        if self.sharing != "owners":
            receiver.arrive(request)
            return
        owner = self._owner(living)
        if owner is receiver:
            receiver.arrive(request)
        else:
            # Half on the way there, half on the way back.
            self.loop.after(HOP_MS, lambda: owner.arrive(request))

    def kill(self, entry: int) -> int:
        """Let an entry die; return how many requests were lost with it."""
        lost = self.entries[entry].die()
        if self.sharing == "owners":
            self.loop.after(TAKEOVER_MS, self._take_over)
        return lost

    def _owner(self, living: list[FakeEntry]) -> FakeEntry:
        """Draw two by their number of endpoints; the less loaded wins."""
        sizes = [
            max(1, len(follower.endpoints))
            for follower in self._followers
            if follower.entry.alive
        ]
        drawn = self._generator.choices(range(len(living)), sizes, k=2)

        def load(number: int) -> float:
            router = living[number].router
            return (router.in_progress() + router.queued()) / sizes[number]

        return living[min(drawn, key=load)]

    def _fixed(
        self, position: int, endpoints: tuple[Endpoint, ...]
    ) -> tuple[SlotGrant, ...] | None:
        if self.sharing != "static":
            return () if self.sharing in ("owners", "pool") else None
        count = len(self.entries)
        remainder = SLOTS % count
        return tuple(
            SlotGrant(
                worker_id=each.worker_id,
                slots=1,
                deadline_unix_ms=_NO_DEADLINE_UNIX_MS,
            )
            for number, each in enumerate(endpoints)
            if (number + position) % count < remainder
        )

    def _give_to_owners(self, endpoints: tuple[Endpoint, ...]) -> None:
        living = {f.entry.name: f for f in self._followers if f.entry.alive}
        owned: dict[str, list[Endpoint]] = {name: [] for name in living}
        for each in endpoints:
            owned[rendezvous_order(each.worker_id, sorted(living))[0]].append(
                each
            )
        for name, follower in living.items():
            follower.replace(tuple(owned[name]))

    def _take_over(self) -> None:
        announced = [e.announcement for e in self._endpoints.values()]
        self._give_to_owners(tuple(announced))

    def _join(self, endpoint: Endpoint) -> None:
        for follower in self._followers:
            follower.replace((*follower.endpoints, endpoint))
