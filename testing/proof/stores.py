"""Simulated stores: the daemon's `GroupEventHandler` on an in-memory disk."""

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
from sardinespool.programs.store import domain_sync_task
from sardinespool.programs.store import runner_events
from sardinespool.programs.store.group_event_handler import GroupEventHandler
from sardinespool.programs.store.message_sending import DiskEffects
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from testing.proof.engine import CrashedError
from testing.proof.engine import Host
from testing.proof.entries import ENTRIES_PER_DOMAIN
from testing.replication.memory_disk import MemoryDisk

RUN_INTERVAL_MS = 50
SNAPSHOT_EVERY_ENTRIES = 60
"""Small, so that short runs take and stream snapshots."""

GLOBAL_GROUP = "global"


class Disk(MemoryDisk):
    """Disk that survives crashes and can crash its host at a sync."""

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


class ReplyFuture:
    """Replaces the future that receives a runner's reply."""

    def __init__(self, on_reply: Callable[[Any], None]) -> None:
        self._on_reply = on_reply
        self._done = False

    def done(self) -> bool:
        return self._done

    def set_result(self, reply: Any) -> None:
        self._done = True
        self._on_reply(reply)

    set_exception = set_result


class NullMetrics:
    """Metrics that discard all values."""

    def __getattr__(self, name: str) -> Any:
        return self

    def __call__(self, *values: Any, **labels: Any) -> None:
        """Discard the value."""


class MonitoredRunner(GroupEventHandler):
    """The daemon's group runner; reports its steps to the monitor."""

    host: Host
    learner_count = 0

    def _propose(self, bodies: Any, now: Instant) -> Any:
        for body, _ in bodies:
            self.host.world.step_monitor.record_command(
                self.host, self.group, body, True
            )
        return super()._propose(bodies, now)

    def _snapshot_if_due(self) -> Iterator[DiskEffects]:
        if self._entries_since_snapshot >= self._snapshot_every_entries:
            self.host.world.step_monitor.record_step(
                "snapshot-taken", self.host, self.group
            )
        yield from super()._snapshot_if_due()


class StoreHost(Host):
    """One store process with a member of each of its groups."""

    def __init__(
        self, world: Any, name: str, groups: dict[str, tuple[str, ...]]
    ) -> None:
        super().__init__(world, name, name.partition("-")[0])
        self.groups = groups
        self.disks: dict[str, Disk] = {}
        self.runners: dict[str, MonitoredRunner] = {}
        self._queued_events: dict[str, list[Any]] = {}
        self.lose_disk()

    def lose_disk(self) -> None:
        for group in self.groups:
            incarnation = f"{self.engine.random.getrandbits(32):08x}"
            self.disks[group] = Disk(incarnation, self)

    def on_start(self) -> None:
        for group in self.groups:
            self.disks[group].crash_at = ""
            self._queued_events[group] = []
            self.runners[group] = self._make_runner(group)
            self.call_every(
                RUN_INTERVAL_MS, functools.partial(self._run, group)
            )
            if group != GLOBAL_GROUP:
                interval_ms = domain_sync_task.SYNC_INTERVAL_MS
                self.call_every(
                    interval_ms, functools.partial(self._sync, group)
                )

    def on_crash(self) -> None:
        self.runners = {}
        self._queued_events = {}

    def post(self, group: str, event: Any) -> None:
        """Queue an event; a batch runs within 1 ms."""
        queued_events = self._queued_events.get(group)
        if queued_events is None:
            return
        queued_events.append(event)
        if len(queued_events) == 1:
            delay_ms = self.engine.random.randint(0, 1)
            self.engine.call_later(
                delay_ms, self, lambda: self._run(group, True)
            )

    def serve(self, group: str, request: Any, on_reply: Any) -> None:
        future: Any = ReplyFuture(on_reply)
        self.post(group, runner_events.CallReceived(request, future))

    def is_leader(self, group: str) -> bool:
        """Return whether this member is the leader with a valid lease."""
        return self.up and self.runners[group].serving

    def transfer_leadership(self, group: str) -> None:
        self.world.step_monitor.record_step(
            "leadership-transferred", self, group
        )
        self.post(group, runner_events.TransferRequested())

    def _run(self, group: str, skip_if_idle: bool = False) -> None:
        queued_events, self._queued_events[group] = (
            self._queued_events[group],
            [],
        )
        if skip_if_idle and not queued_events:
            return
        runner = self.runners[group]
        runner.handle_batch_blocking(queued_events)
        if not runner._leader_service.serving:
            return
        before, after = runner.learner_count, len(runner.status.learners)
        runner.learner_count = after
        if before != after:
            step = "member-joined" if after else "member-promoted"
            self.world.step_monitor.record_step(step, self, group)

    def _sync(self, group: str) -> None:
        def send(request: Any) -> None:
            if request is not None:
                deadline_unix_ms = (
                    self.now().unix_ms + domain_sync_task.SYNC_TIMEOUT_MS
                )
                self.world.clients.call(
                    self,
                    GLOBAL_GROUP,
                    request,
                    deadline_unix_ms,
                    on_reply,
                    True,
                )

        def on_reply(reply: Any) -> None:
            if isinstance(reply, DomainSync):
                if reply.start_permit_deadline_unix_ms:
                    self.world.step_monitor.record_step(
                        "permit-given", self, group
                    )
                self.post(group, runner_events.SyncReceived(reply))

        future: Any = ReplyFuture(send)
        self.post(group, runner_events.SyncRequested(future))

    def _make_runner(self, group: str) -> MonitoredRunner:
        disk: Any = self.disks[group]
        metrics: Any = NullMetrics()
        state = disk.state()
        settings = ReplicaSettings(
            group=group,
            name=self.name,
            peers=tuple(n for n in self.groups[group] if n != self.name),
            bootstrap=True,
            retained_entries=20,
        )
        seed = zlib.crc32(f"{self.name}{group}{self.start_count}".encode())
        machine, service = self._make_state(group)
        runner = MonitoredRunner(
            group=group,
            replica=Replica(settings, state, seed, self.now()),
            store=disk,
            machine=machine,
            service=service,
            send=lambda recipient, message: self._send(
                group, recipient, message
            ),
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
            service = DomainService(machine, group, ENTRIES_PER_DOMAIN)
        apply = machine.apply

        def monitored_apply(command: Command, index: int) -> Any:
            result = apply(command, index)
            if self.is_leader(group):
                self.world.step_monitor.record_command(
                    self, group, command.body, False
                )
            return result

        machine.apply = monitored_apply
        return machine, service

    def _send(self, group: str, recipient: str, message: Any) -> None:
        peer = self.world.stores[recipient]
        event = runner_events.PeerMessageReceived(self.name, message)
        self.world.network.send(self, peer, lambda: peer.post(group, event))
