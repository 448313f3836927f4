"""Simulated deployment in one process and in virtual time."""

import dataclasses
import itertools
import random
from collections.abc import Callable
from typing import Any

from sardinespool.programs.store import group_event_handler
from testing.proof.callers import CallerHost
from testing.proof.client import GroupClients
from testing.proof.engine import Engine
from testing.proof.engine import Host
from testing.proof.engine import Network
from testing.proof.entries import EntryHost
from testing.proof.operators import OperatorHost
from testing.proof.oracle import Oracle
from testing.proof.schedulers import SchedulerHost
from testing.proof.stores import GLOBAL_GROUP
from testing.proof.stores import StoreHost
from testing.proof.watch import StepMonitor
from testing.proof.workers import WorkerHost

POLL_MS = 100
START_LIMIT_MS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Store names by group; a store name starts with its failure domain."""

    name: str
    groups: dict[str, tuple[str, ...]]


THREES = Shape(
    "threes",
    {
        GLOBAL_GROUP: ("centro-1", "norte-1", "sur-1"),
        "centro": ("centro-1", "centro-2", "centro-3"),
        "norte": ("norte-1", "norte-2", "norte-3"),
    },
)
"""Two domains with three members; the third global voter is elsewhere."""

SMALL = Shape(
    "small",
    {
        GLOBAL_GROUP: ("centro-1", "centro-2", "norte-1"),
        "centro": ("centro-1", "centro-2"),
        "norte": ("norte-1",),
    },
)
"""A group of two and a group of one."""

SHAPES = {shape.name: shape for shape in (THREES, SMALL)}


class LivenessError(AssertionError):
    """The deployment made no progress after all faults were healed."""


class SeededSecrets:
    """Replaces `secrets`, so that group incarnations depend on the seed."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def token_hex(self, size: int) -> str:
        return f"{self._rng.getrandbits(8 * size):0{2 * size}x}"


class World:
    """All hosts of a deployment, its network and its oracle."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.groups = shape.groups
        self.domains = tuple(sorted(set(shape.groups) - {GLOBAL_GROUP}))
        self.engine = Engine(seed)
        self.network = Network(self.engine)
        seeded_secrets: Any = SeededSecrets(self.engine.random)
        setattr(group_event_handler, "secrets", seeded_secrets)  # noqa: B010
        self.step_monitor = StepMonitor()
        self.oracle = Oracle(self.engine)
        self.clients = GroupClients(self.engine, self.network)
        self.stores: dict[str, StoreHost] = {}
        for name in sorted(set(itertools.chain(*shape.groups.values()))):
            groups = {
                group: members
                for group, members in shape.groups.items()
                if name in members
            }
            self.stores[name] = StoreHost(self, name, groups)
        for group, names in shape.groups.items():
            self.clients.members[group] = [self.stores[name] for name in names]
        self.entries: dict[str, EntryHost] = {}
        self.workers: dict[str, WorkerHost] = {}
        self.schedulers: dict[str, SchedulerHost] = {}
        self.callers: dict[str, CallerHost] = {}
        for domain in self.domains:
            # The third worker runs tasks only.
            for number, services in (
                (1, ("seats",)),
                (2, ("seats",)),
                (3, ()),
            ):
                name = f"{domain}-w{number}"
                self.workers[name] = WorkerHost(self, name, domain, services)
            for number in (1, 2):
                name = f"{domain}-e{number}"
                self.entries[name] = EntryHost(self, name, domain)
                name = f"{domain}-s{number}"
                self.schedulers[name] = SchedulerHost(self, name, domain)
            self.callers[domain] = CallerHost(self, f"{domain}-c", domain)
        self.operators = [
            OperatorHost(self, name) for name in ("alice", "carol")
        ]
        for host in self.hosts():
            host.start()

    def hosts(self) -> list[Host]:
        """Return all hosts; the operators come last."""
        return [
            *self.stores.values(),
            *self.entries.values(),
            *self.workers.values(),
            *self.schedulers.values(),
            *self.callers.values(),
            *self.operators,
        ]

    def entries_of(self, domain: str) -> list[EntryHost]:
        return [
            entry for entry in self.entries.values() if entry.domain == domain
        ]

    def leader(self, group: str) -> StoreHost | None:
        """Return the leader of a group with a valid lease, if any."""
        members = (self.stores[name] for name in self.groups[group])
        return next(
            (member for member in members if member.is_leader(group)), None
        )

    def run(self, duration_ms: int) -> None:
        self.engine.run_until(self.engine.now_ms + duration_ms)

    def wait(
        self, limit_ms: int, description: str, condition: Callable[[], bool]
    ) -> None:
        """Advance the time until a condition holds."""
        end_ms = self.engine.now_ms + limit_ms
        while not condition():
            if self.engine.now_ms >= end_ms:
                raise LivenessError(
                    f"liveness: {description} within {limit_ms} ms"
                )
            self.run(POLL_MS)

    def is_ready(self) -> bool:
        """Return whether all groups, entries and workers are ready."""
        return (
            all(self.leader(group) for group in self.groups)
            and all(entry.synced for entry in self.entries.values())
            and all(
                worker.lease_end_ms for worker in self.oracle.workers.values()
            )
        )

    def may_lose_disk(self, store: StoreHost) -> bool:
        """Return whether all groups of a store keep a quorum without it.

        Each group needs three or more members, all of them live voters.
        """
        for group, names in store.groups.items():
            members = [self.stores[name] for name in names]
            leader = self.leader(group)
            if leader is None or len(names) < 3:
                return False
            voters = leader.runners[group].status.voters
            if not all(
                member.up and member.runners[group].status.identity in voters
                for member in members
            ):
                return False
        return True

    def isolate(self, host: Host, outgoing_only: bool = False) -> None:
        """Cut the links of a host, or only the outgoing ones."""
        for other in self.hosts():
            self.network.cut_links.add((host.name, other.name))
            if not outgoing_only:
                self.network.cut_links.add((other.name, host.name))

    def isolate_domain(self, domain: str) -> None:
        """Isolate a failure domain; operators are outside of it."""
        for host, other in itertools.product(self.hosts(), repeat=2):
            if (host.domain == domain) != (other.domain == domain):
                self.network.cut_links.add((host.name, other.name))

    def reconnect(self) -> None:
        self.network.cut_links.clear()

    def heal(self) -> None:
        """Remove all faults and start all hosts that are down."""
        self.network.heal()
        for host in self.hosts():
            host.frozen_until_ms = 0
            host.start()
