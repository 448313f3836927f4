"""Simulated control group on files that lose what was not synced."""

import pathlib
import random

import pytest

from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages import codec
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import Refused
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import EndWorkflow
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.programs.store.message_sending import can_send_before_sync
from sardinespool.programs.store.message_sending import DiskEffects
from sardinespool.programs.store.message_sending import send_entries
from sardinespool.programs.store.message_sending import send_other_messages
from sardinespool.replication.effects import Apply
from sardinespool.replication.effects import Effect
from sardinespool.replication.effects import InstallSnapshot
from sardinespool.replication.effects import LeadershipChanged
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.effects import ProposalAccepted
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.events import Event
from sardinespool.replication.events import Propose
from sardinespool.replication.events import SnapshotTaken
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.replication.state import PersistedState
from sardinespool.settings.model import ReplicationSettings
from sardinespool.storage import group_store
from sardinespool.storage.group_store import GroupStore
from testing.replication.cluster import Cluster
from testing.replication.cluster import Node
from testing.replication.memory_disk import MemoryDisk
from testing.storage.power_loss import PowerLossFiles

QUEUE = QueueSpec(
    name="q",
    host="h",
    prefix="/",
    pool="p",
    priority=0,
    failures_max=2,
    stretch=1.5,
    latency_objective_ms=100,
)
SPEC = WorkflowSpec(payload="", steps=(StepSpec(count=2),))
TIMING = ReplicationSettings()
DIGEST_BYTES = 32


class StoredDisk(MemoryDisk):
    """Stores the state in a folder and keeps a copy in memory."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._store = GroupStore(folder)
        super().__init__(self._store.load().hard_state.incarnation)

    def persist(self, effects: DiskEffects) -> None:
        self._store.persist(effects)
        super().persist(effects)

    def state(self) -> PersistedState:
        self._store.close()
        self._store = GroupStore(self.folder)
        state = self._store.load()
        self.hard_state = state.hard_state
        self.snapshot = state.snapshot
        self.entries = {entry.index: entry for entry in state.entries}
        return state

    def close(self) -> None:
        self._store.close()


class DurableCluster(Cluster):
    """Control group whose callers record what was acknowledged.

    The members know only the first three as seeds, as in their settings at
    the first start, whether these still exist or not.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        folder: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        chance = random.Random(seed)
        monkeypatch.setattr(
            group_store.secrets,
            "token_hex",
            lambda n: chance.randbytes(n).hex(),
        )
        self._folder = folder
        self.files = PowerLossFiles(folder, monkeypatch)
        self.machines: dict[str, ControlMachine] = {}
        self.acknowledged: list[CommandBody] = []
        self._pending: dict[str, dict[tuple[int, int], CommandBody]] = {}
        self._command_count = 0
        self._first_start = True
        super().__init__(3, seed)
        self.run(3_000)
        self._first_start = False
        for position in range(3, size):
            self.add(chr(ord("a") + position))
        self.run_until_voters(set(self.names), 15_000)

    def start(self, name: str) -> None:
        node = self.nodes[name]
        settings = ReplicaSettings(
            group="g",
            name=name,
            peers=tuple(seed for seed in "abc" if seed != name),
            bootstrap=self._first_start and name in "abc",
            open_membership=True,
            heartbeat_interval_ms=TIMING.heartbeat_interval_ms,
            lease_ms=TIMING.lease_ms,
            election_timeout_min_ms=TIMING.election_timeout_min_ms,
            election_timeout_max_ms=TIMING.election_timeout_max_ms,
            append_limit_bytes=3_000,
            retained_entries=5,
        )
        state = node.disk.state()
        node.applied_index = 0
        node.digest = b""
        self.machines[name] = ControlMachine()
        self._pending[name] = {}
        if state.snapshot:
            self._restore(node, state.snapshot.index, state.snapshot.data)
        node.replica = Replica(
            settings, state, self.random.getrandbits(32), self.now(node)
        )

    def add(self, name: str) -> None:
        """Start a member at a new address."""
        self.names.append(name)
        self.nodes[name] = Node(name, self._new_disk())
        self.start(name)

    def remove(self, name: str) -> None:
        """Remove a member for good."""
        self.crash(name)
        self.names.remove(name)

    def voters(self) -> set[str]:
        """Return the names of the leader's voters; empty without a leader."""
        for node in self.leaders():
            assert node.replica is not None
            status = node.replica.status()
            return {voter.partition("#")[0] for voter in status.voters}
        return set()

    def run_until_voters(self, names: set[str], limit_ms: int) -> None:
        end_ms = self.now_ms + limit_ms
        while self.voters() != names:
            assert self.now_ms < end_ms, "not all members are voters"
            self.run(100)

    def submit(self) -> None:
        """Send the next change to every member that holds a lease."""
        number = self._command_count = self._command_count + 1
        body: CommandBody
        match number % 4:
            case 1:
                body = PublishManifest(
                    version=number,
                    queues=(QUEUE,),
                    pools=(PoolSpec(name="p"),),
                    source=b"s",
                )
            case 2:
                body = AcceptWorkflow(
                    job_id=f"j{number}", queue="q", spec=SPEC
                )
            case 3:
                body = SetEvacuation(
                    failure_domain=f"d{number}", evacuated=True
                )
            case _:
                body = EndWorkflow(job_id=f"j{number - 2}")
        payload = codec.encode(Command(proposed_unix_ms=0, body=body))
        for node in self.leaders():
            pending = self._pending[node.name]
            for effect in self.handle(node, Propose((payload,))):
                if isinstance(effect, ProposalAccepted):
                    pending[effect.first_index, effect.term] = body

    def submit_many(self, count: int) -> None:
        for _ in range(count):
            self.submit()
            self.run(10)

    def lose_power(self, wiped: set[str]) -> None:
        """Stop all members at once; those in `wiped` come back empty."""
        self.files.calls_until_power_loss = None
        self._messages_in_flight.clear()
        for name in self.names:
            node = self.nodes[name]
            self.crash(name)
            node.disk.close()
            if name in wiped:
                self.files.forget(node.disk.folder)
                node.disk = self._new_disk()
            else:
                self.files.lose_power(node.disk.folder, self.random)

    def assert_acknowledged_state(self, machine: ControlMachine) -> None:
        """Check that everything that callers were told is in the state."""
        for body in self.acknowledged:
            match body:
                case PublishManifest(version=version):
                    current = machine.manifest.current
                    assert current is not None
                    assert current.version >= version
                case AcceptWorkflow(job_id=job_id):
                    assert job_id in machine.table.workflows
                case SetEvacuation(failure_domain=domain):
                    assert domain in machine.evacuated
                case EndWorkflow(job_id=job_id):
                    workflow = machine.table.workflows.get(job_id)
                    assert workflow is None or workflow.state == "cancelled"

    def handle(self, node: Node, event: Event) -> list[Effect]:
        """Execute the effects in the order of `GroupEventHandler`."""
        if node.replica is None:
            return []
        if isinstance(event, SnapshotTaken):
            machine = self.machines[node.name]
            event = SnapshotTaken(
                event.index, node.digest + machine.snapshot()
            )
        effects = node.replica.handle(event, self.now(node))
        durable: DiskEffects = [
            effect
            for effect in effects
            if isinstance(effect, Persist | PersistSnapshot)
        ]

        def send(to: str, message: PeerMessage) -> None:
            self.history.record_vote(message)
            self._send(node.name, to, message)

        send_before_sync = can_send_before_sync(durable)
        if send_before_sync:
            send_entries(effects, send)
        if durable:
            node.disk.persist(durable)
        if not send_before_sync:
            send_entries(effects, send)
        send_other_messages(effects, send)
        for effect in effects:
            match effect:
                case Apply(entries):
                    self._apply(node, entries)
                case InstallSnapshot(index, data):
                    self._restore(node, index, data)
                case LeadershipChanged(is_leader=True):
                    self.history.check_leader_completeness(node.disk)
                case _:
                    pass
        return effects

    def _apply(self, node: Node, entries: tuple[Entry, ...]) -> None:
        super()._apply(node, entries)
        for entry in entries:
            if entry.kind is not EntryKind.COMMAND:
                continue
            command = codec.decode_command(entry.payload)
            reply = self.machines[node.name].apply(command, entry.index)
            assert not isinstance(reply, Refused)
            body = self._pending[node.name].pop(
                (entry.index, entry.term), None
            )
            if body is not None and node in self.leaders():
                self.acknowledged.append(body)

    def _restore(self, node: Node, index: int, data: bytes) -> None:
        digest = data[:DIGEST_BYTES]
        assert self.history.digests[index] == digest
        node.applied_index = index
        node.digest = digest
        self.machines[node.name].restore(data[DIGEST_BYTES:])

    def _new_disk(self) -> MemoryDisk:
        self._disk_count += 1
        return StoredDisk(self._folder / str(self._disk_count))
