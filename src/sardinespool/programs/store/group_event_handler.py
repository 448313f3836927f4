"""Event handling of one group: replica, files, state machine, service."""

import secrets
import time
from collections.abc import Callable
from collections.abc import Iterator

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.groups.interfaces import GroupMachine
from sardinespool.groups.interfaces import GroupService
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.groups.interfaces import Proposal
from sardinespool.messages import codec
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import FormGroup
from sardinespool.observability.logs import get_logger
from sardinespool.programs.store.backlog import Backlog
from sardinespool.programs.store.call_errors import not_leader_error
from sardinespool.programs.store.call_errors import reply_withheld_error
from sardinespool.programs.store.domain_sync import answer_sync_request
from sardinespool.programs.store.domain_sync import sync_proposals
from sardinespool.programs.store.fault_barrier import apply_command
from sardinespool.programs.store.fault_barrier import handle_request
from sardinespool.programs.store.leader_service import LeaderService
from sardinespool.programs.store.message_sending import can_send_before_sync
from sardinespool.programs.store.message_sending import DiskEffects
from sardinespool.programs.store.message_sending import send_entries
from sardinespool.programs.store.message_sending import send_other_messages
from sardinespool.programs.store.pending import fail
from sardinespool.programs.store.pending import PendingProposals
from sardinespool.programs.store.pending import resolve
from sardinespool.programs.store.pending import Waiter
from sardinespool.programs.store.proposals import Proposer
from sardinespool.programs.store.runner_events import CallReceived
from sardinespool.programs.store.runner_events import PeerMessageReceived
from sardinespool.programs.store.runner_events import RunnerEvent
from sardinespool.programs.store.runner_events import SyncReceived
from sardinespool.programs.store.runner_events import SyncRequested
from sardinespool.programs.store.runner_events import TransferRequested
from sardinespool.programs.store.runner_events import WakeRequested
from sardinespool.programs.store.store_metrics import StoreMetrics
from sardinespool.programs.store.work_log import WorkLog
from sardinespool.replication import effects as replica_effects
from sardinespool.replication import events as replica_events
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.replica import Replica
from sardinespool.replication.state import Snapshot
from sardinespool.replication.status import ReplicaStatus
from sardinespool.settings.model import ReplicationSettings
from sardinespool.storage.group_store import GroupStore

SERVICE_TICK_INTERVAL_MS = 100
SNAPSHOT_EVERY_BYTES = ReplicationSettings().snapshot_every_bytes

_LOG = get_logger("store")


class GroupEventHandler:
    """Handles the events of a group in batches; starts no task itself.

    All events of a batch share one log sync. Effects are executed in the
    order persist, send, apply; only `AppendEntries` may precede the sync.

    Parameters
    ----------
    group : str
        Name of the group.
    replica : Replica
        Replica of the log.
    store : GroupStore
        Files of the group.
    machine : GroupMachine
        Replicated state machine.
    service : GroupService
        Request handling on the leader.
    send : callable
        Sends a replication message to the member with the given name.
    clock : callable
        Returns the current instant.
    metrics : StoreMetrics
        Metrics of the process.
    snapshot : Snapshot, optional
        Snapshot that the replica starts from.
    snapshot_every_entries : int
        Number of applied entries between two snapshots.
    reformed : bool
        Whether the group is formed again after all its disks were lost.
    service_tick_interval_ms : int
        Shortest time between two ticks of the service.
    snapshot_every_bytes : int
        Size of a log segment above which a snapshot is taken.
    """

    def __init__(
        self,
        group: str,
        replica: Replica,
        store: GroupStore,
        machine: GroupMachine,
        service: GroupService,
        send: Callable[[str, PeerMessage], None],
        clock: Callable[[], Instant],
        metrics: StoreMetrics,
        snapshot: Snapshot | None,
        snapshot_every_entries: int,
        reformed: bool,
        service_tick_interval_ms: int = SERVICE_TICK_INTERVAL_MS,
        snapshot_every_bytes: int = SNAPSHOT_EVERY_BYTES,
    ) -> None:
        self.group = group
        self._leader_service = LeaderService(group, service)
        self.not_serving = self._leader_service.not_serving
        self._replica = replica
        self._store = store
        self._machine = machine
        self._service = service
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._snapshot_every_entries = snapshot_every_entries
        self._snapshot_every_bytes = snapshot_every_bytes
        self._reformed = reformed
        self._service_tick_interval_ms = service_tick_interval_ms
        self._pending = PendingProposals()
        self._proposer = Proposer(
            group,
            replica,
            self._pending,
            snapshot_every_bytes,
            self._leader_service.on_encoding_failed,
        )
        self._formed = False
        self._applied_index = 0
        self._entries_since_snapshot = 0
        self._service_tick_deadline_boot_ms = 0
        self._work_log = WorkLog(group, clock, metrics)
        self.backlog = Backlog()
        if snapshot is not None:
            self._restore(snapshot.index, snapshot.data)

    @property
    def status(self) -> ReplicaStatus:
        """Status of the replica."""
        return self._replica.status()

    @property
    def serving(self) -> bool:
        """Whether this member leads and its lease is valid."""
        return self._replica.is_leader(self._clock())

    @property
    def _can_serve(self) -> bool:
        return self._leader_service.serving and self._formed

    def close(self) -> None:
        """Fail all pending proposals and close the files."""
        self.backlog.refuse_calls(
            not_leader_error(self.group, self.status.leader)
        )
        self._pending.fail_all()
        self._store.close()

    def handle_batch_blocking(self, batch: list[RunnerEvent]) -> None:
        """Handle a batch, which may be empty; blocks for its syncs."""
        for durable_effects in self.handle_batch(batch):
            self.persist(durable_effects)

    def handle_batch(self, batch: list[RunnerEvent]) -> Iterator[DiskEffects]:
        """Handle a batch; yield the effects to persist before it continues.

        The caller passes each yielded value to `persist`, in any thread,
        and starts no other batch before the iterator is exhausted.
        """
        now = self._clock()
        effects = list(self._replica.handle(replica_events.Tick(), now))
        for event in batch:
            if isinstance(event, PeerMessageReceived):
                effects += self._replica.handle(
                    replica_events.PeerMessageReceived(
                        event.sender, event.message
                    ),
                    now,
                )
        yield from self._execute(effects)
        self._apply_slice()
        # The clock is read again, since the writes may outlast the lease. A
        # call is judged in a lease that was valid after it had been read.
        now = self._clock()
        # The service starts once the committed entries are applied, because
        # the replica reports leadership as soon as it has returned them.
        self._leader_service.update_lease(
            self._replica.is_leader(now)
            and (self._leader_service.running or not self.backlog.entries),
            now,
        )
        effects = []
        proposals: list[tuple[CommandBody, Waiter]] = []
        self._begin_slice(now)
        lap_boot_ms = now.boot_ms
        events = self.backlog.take_events() + batch
        for position, event in enumerate(events):
            # Calls that can't be served are refused at once.
            if self._can_serve and self.backlog.is_slice_over(lap_boot_ms):
                self.backlog.defer(events[position:])
                break
            match event:
                case CallReceived():
                    self._handle_call(event, now, proposals)
                    lap_boot_ms = self._work_log.lap("call", event.request)
                case SyncRequested():
                    answer_sync_request(
                        event, self._service, self._can_serve, now
                    )
                case SyncReceived():
                    if self._leader_service.serving:
                        proposals += sync_proposals(event, self._service, now)
                case TransferRequested():
                    effects += self._replica.handle(
                        replica_events.TransferLeadership(), now
                    )
                case PeerMessageReceived() | WakeRequested():
                    pass
        self._add_leader_commands(now, proposals)
        effects += self._propose(proposals, now)
        yield from self._execute(effects)
        yield from self._snapshot_if_due()

    def _handle_call(
        self,
        event: CallReceived,
        now: Instant,
        proposals: list[tuple[CommandBody, Waiter]],
    ) -> None:
        waiter = Waiter(event.request, event.reply)
        if not self._can_serve:
            fail(waiter, not_leader_error(self.group, self.status.leader))
            return
        try:
            outcome = handle_request(
                self.group, self._service, event.request, now
            )
        except SardinespoolError as error:
            fail(waiter, error)
            return
        match outcome:
            case ImmediateReply(reply=reply):
                resolve(waiter, reply)
            case Proposal(body=body):
                proposals.append((body, waiter))

    def _add_leader_commands(
        self, now: Instant, proposals: list[tuple[CommandBody, Waiter]]
    ) -> None:
        # The service returns a due command until it is applied. Ticking
        # it only when none is pending avoids duplicate proposals.
        if not self._leader_service.serving or self._proposer.internal_pending:
            return
        if not self._formed:
            form_group = FormGroup(
                group_incarnation=secrets.token_hex(4),
                reformed=self._reformed,
            )
            proposals.append((form_group, Waiter()))
            return
        if now.boot_ms < self._service_tick_deadline_boot_ms:
            return
        self._service_tick_deadline_boot_ms = (
            now.boot_ms + self._service_tick_interval_ms
        )
        for body in self._leader_service.tick(now):
            proposals.append((body, Waiter()))
        self._work_log.lap("plan", None)

    def _propose(
        self, proposals: list[tuple[CommandBody, Waiter]], now: Instant
    ) -> list[replica_effects.Effect]:
        return self._proposer.propose(proposals, now)

    def persist(self, durable_effects: DiskEffects) -> None:
        """Write effects to disk; blocks until they are synced."""
        started_seconds = time.perf_counter()
        self._store.persist(durable_effects)
        self._metrics.sync_latency_ms.observe(
            (time.perf_counter() - started_seconds) * 1000,
            group=self.group,
        )

    def _execute(
        self, effects: list[replica_effects.Effect]
    ) -> Iterator[DiskEffects]:
        durable_effects = [
            effect
            for effect in effects
            if isinstance(
                effect,
                replica_effects.Persist | replica_effects.PersistSnapshot,
            )
        ]
        send_before_sync = can_send_before_sync(durable_effects)
        if send_before_sync:
            send_entries(effects, self._send)
        if durable_effects:
            yield durable_effects
        if not send_before_sync:
            send_entries(effects, self._send)
        send_other_messages(effects, self._send)
        for effect in effects:
            match effect:
                case replica_effects.Apply(entries=entries):
                    self.backlog.entries.extend(entries)
                    self._apply_slice()
                case replica_effects.InstallSnapshot(index=index, data=data):
                    self.backlog.entries.clear()
                    self._proposer.fail_all()
                    self._restore(index, data)
                case replica_effects.LeadershipChanged():
                    self._on_leadership_change(effect)

    def _begin_slice(self, now: Instant) -> None:
        """Begin a slice of work, which does not contain waits for the disk."""
        self.backlog.begin_slice(now)
        self._work_log.begin(now)

    def _apply_slice(self) -> None:
        """Apply committed entries until the slice ends, one at least."""
        if not self.backlog.entries:
            return
        self._begin_slice(self._clock())
        while self.backlog.entries:
            body = self._apply(self.backlog.entries.popleft())
            if self.backlog.is_slice_over(self._work_log.lap("apply", body)):
                return

    def _restore(self, index: int, data: bytes) -> None:
        self._machine.restore(data)
        self._applied_index = index
        self._entries_since_snapshot = 0
        self._formed = self._machine_is_formed()

    def _on_leadership_change(
        self, effect: replica_effects.LeadershipChanged
    ) -> None:
        _LOG.info(
            "leadership changed",
            group=self.group,
            term=effect.term,
            leader=effect.leader,
        )
        if self._leader_service.lead(effect.term if effect.is_leader else 0):
            self._proposer.fail_all()

    def _apply(self, entry: Entry) -> CommandBody | None:
        """Apply an entry; return its command, if it has one."""
        self._applied_index = entry.index
        self._entries_since_snapshot += 1
        if entry.kind is not EntryKind.COMMAND:
            self._pending.pop(entry.index, entry.term)
            return None
        command = codec.decode_command(entry.payload)
        result = apply_command(self.group, self._machine, command, entry.index)
        self._formed = self._formed or self._machine_is_formed()
        self._metrics.applied_entries.inc(group=self.group)
        now = self._clock()
        self._leader_service.on_applied(entry.term, command.body, result, now)
        waiter = self._pending.pop(entry.index, entry.term)
        if waiter is not None and waiter.request is None:
            self._proposer.internal_applied()
        elif waiter is not None and waiter.request is not None:
            # The reply can grant permits and leases, so this member's own
            # lease is checked again after the sync.
            if self._replica.is_leader(now):
                reply = self._service.build_reply(waiter.request, result, now)
                resolve(waiter, reply)
            else:
                fail(waiter, reply_withheld_error(self.group))
        return command.body

    def _snapshot_if_due(self) -> Iterator[DiskEffects]:
        if not self._entries_since_snapshot or (
            self._entries_since_snapshot < self._snapshot_every_entries
            and self._store.segment_bytes < self._snapshot_every_bytes
        ):
            return
        self._entries_since_snapshot = 0
        yield from self._execute(
            self._replica.handle(
                replica_events.SnapshotTaken(
                    self._applied_index, self._machine.snapshot()
                ),
                self._clock(),
            )
        )

    def _machine_is_formed(self) -> bool:
        return bool(getattr(self._machine, "group_incarnation", ""))
