"""Store processes: the daemon's `GroupBatches` on a disk in memory."""

import functools
import zlib
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from sardinespool.clock import Instant
from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.groups.domain_service import DomainService
from sardinespool.groups.global_machine import GlobalMachine
from sardinespool.groups.global_service import GlobalService
from sardinespool.messages.commands import Command
from sardinespool.messages.jobs import DomainSync
from sardinespool.programs.store import domain_link
from sardinespool.programs.store import runner_events
from sardinespool.programs.store.group_batches import GroupBatches
from sardinespool.programs.store.sends import Durable
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from testing.proof.engine import CrashedError
from testing.proof.engine import Host
from testing.proof.entries import ENTRIES_OF_A_DOMAIN
from testing.replication.memory_disk import MemoryDisk

TICK_INTERVAL_MS = 50
SNAPSHOT_EVERY_ENTRIES = 60
"""Small, so that snapshots are taken and streamed in short runs."""

GLOBAL_GROUP = "global"


class Disk(MemoryDisk):
    """Survives crashes; can crash its host before or after a sync."""

    def __init__(self, incarnation: str, host: Host) -> None:
        super().__init__(incarnation)
        self.crash_at = ""
        self._host = host

    def persist(self, effects: Iterable[Any]) -> None:
        crash_at, self.crash_at = self.crash_at, ""
        if crash_at != "before":
            super().persist(effects)
        if crash_at:
            raise CrashedError(self._host)


class ReplySlot:
    """Takes the place of the future in which a runner puts its reply."""

    def __init__(self, take: Callable[[Any], None]) -> None:
        self._take = take
        self._done = False

    def done(self) -> bool:
        return self._done

    def set_result(self, reply: Any) -> None:
        self._done = True
        self._take(reply)

    set_exception = set_result


class NoMetrics:
    """Accepts every observation."""

    def __getattr__(self, name: str) -> Any:
        return self

    def __call__(self, *values: Any, **labels: Any) -> None:
        """Ignore the value."""


class WatchedRunner(GroupBatches):
    """The daemon's group; tells the watch what happens."""

    host: Host
    learners = 0

    def _propose(self, bodies: Any, now: Instant) -> Any:
        for body, _ in bodies:
            self.host.world.watch.command(self.host, self.group, body, True)
        return super()._propose(bodies, now)

    def _snapshot_if_due(self) -> Iterator[Durable]:
        if self._entries_since_snapshot >= self._snapshot_every_entries:
            self.host.world.watch.fire("snapshot-taken", self.host, self.group)
        yield from super()._snapshot_if_due()


class StoreHost(Host):
    """One store process with a member of each of its groups."""

    def __init__(
        self, world: Any, name: str, groups: dict[str, tuple[str, ...]]
    ) -> None:
        super().__init__(world, name, name.partition("-")[0])
        self.groups = groups
        self.disks: dict[str, Disk] = {}
        self.runners: dict[str, WatchedRunner] = {}
        self._inbox: dict[str, list[Any]] = {}
        self.lose_disk()

    def lose_disk(self) -> None:
        for group in self.groups:
            incarnation = f"{self.engine.random.getrandbits(32):08x}"
            self.disks[group] = Disk(incarnation, self)

    def on_start(self) -> None:
        for group in self.groups:
            self.disks[group].crash_at = ""
            self._inbox[group] = []
            self.runners[group] = self._make_runner(group)
            self.every(TICK_INTERVAL_MS, functools.partial(self._run, group))
            if group != GLOBAL_GROUP:
                interval_ms = domain_link.SYNC_INTERVAL_MS
                self.every(interval_ms, functools.partial(self._sync, group))

    def on_crash(self) -> None:
        self.runners = {}
        self._inbox = {}

    def post(self, group: str, event: Any) -> None:
        """Queue an event; a batch follows within a millisecond."""
        inbox = self._inbox.get(group)
        if inbox is None:
            return
        inbox.append(event)
        if len(inbox) == 1:
            delay_ms = self.engine.random.randint(0, 1)
            self.engine.at(delay_ms, self, lambda: self._run(group, True))

    def serve(self, group: str, request: Any, take: Any) -> None:
        slot: Any = ReplySlot(take)
        self.post(group, runner_events.CallReceived(request, slot))

    def leads(self, group: str) -> bool:
        """Return whether this member leads and its lease is valid."""
        return self.up and self.runners[group].serving

    def transfer(self, group: str) -> None:
        self.world.watch.fire("leadership-transferred", self, group)
        self.post(group, runner_events.TransferRequested())

    def _run(self, group: str, only_events: bool = False) -> None:
        inbox, self._inbox[group] = self._inbox[group], []
        if only_events and not inbox:
            return
        runner = self.runners[group]
        runner.run_batch(inbox)
        if not runner._serving:
            return
        before, after = runner.learners, len(runner.status.learners)
        runner.learners = after
        if before != after:
            step = "member-joined" if after else "member-promoted"
            self.world.watch.fire(step, self, group)

    def _sync(self, group: str) -> None:
        def send(request: Any) -> None:
            if request is not None:
                deadline_unix_ms = (
                    self.now().unix_ms + domain_link.SYNC_TIMEOUT_MS
                )
                self.world.clients.call(
                    self, GLOBAL_GROUP, request, deadline_unix_ms, take, True
                )

        def take(reply: Any) -> None:
            if isinstance(reply, DomainSync):
                if reply.start_permit_deadline_unix_ms:
                    self.world.watch.fire("permit-given", self, group)
                self.post(group, runner_events.SyncReceived(reply))

        slot: Any = ReplySlot(send)
        self.post(group, runner_events.SyncRequested(slot))

    def _make_runner(self, group: str) -> WatchedRunner:
        disk: Any = self.disks[group]
        metrics: Any = NoMetrics()
        state = disk.state()
        settings = ReplicaSettings(
            group=group,
            name=self.name,
            peers=tuple(n for n in self.groups[group] if n != self.name),
            bootstrap=True,
            retained_entries=20,
        )
        seed = zlib.crc32(f"{self.name}{group}{self.starts}".encode())
        machine, service = self._make_state(group)
        runner = WatchedRunner(
            group=group,
            replica=Replica(settings, state, seed, self.now()),
            store=disk,
            machine=machine,
            service=service,
            send=lambda to, message: self._send(group, to, message),
            clock=self.now,
            metrics=metrics,
            snapshot=state.snapshot,
            snapshot_every_entries=SNAPSHOT_EVERY_ENTRIES,
            reformed=False,
        )
        runner.host = self
        return runner

    def _make_state(self, group: str) -> tuple[Any, Any]:
        machine: Any = GlobalMachine()
        service: Any = GlobalService(machine)
        if group != GLOBAL_GROUP:
            machine = DomainMachine(group)
            service = DomainService(machine, group, ENTRIES_OF_A_DOMAIN)
        apply = machine.apply

        def watched(command: Command, index: int) -> Any:
            result = apply(command, index)
            if self.leads(group):
                self.world.watch.command(self, group, command.body, False)
            return result

        machine.apply = watched
        return machine, service

    def _send(self, group: str, to: str, message: Any) -> None:
        peer = self.world.stores[to]
        event = runner_events.PeerReceived(self.name, message)
        self.world.network.send(self, peer, lambda: peer.post(group, event))
