"""Simulated group with virtual time, a seeded network and faults.

The invariants are checked at every step; see `Cluster.check_invariants`.
"""

import dataclasses
import heapq
import random

from sardinespool.clock import Instant
from sardinespool.replication.effects import Apply
from sardinespool.replication.effects import Effect
from sardinespool.replication.effects import InstallSnapshot
from sardinespool.replication.effects import LeadershipChanged
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.effects import Send
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.events import Event
from sardinespool.replication.events import PeerMessageReceived
from sardinespool.replication.events import Propose
from sardinespool.replication.events import SnapshotTaken
from sardinespool.replication.events import Tick
from sardinespool.replication.messages import decode_peer_message
from sardinespool.replication.messages import encode_peer_message
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from testing.replication.history import HistoryChecker
from testing.replication.memory_disk import MemoryDisk

STEP_MS = 10
SNAPSHOT_EVERY_ENTRIES = 15
SNAPSHOT_PADDING_BYTES = 900


@dataclasses.dataclass
class Node:
    """Member of the group; only its disk survives a crash."""

    name: str
    disk: MemoryDisk
    replica: Replica | None = None
    boot_offset_ms: int = 0
    frozen_until_ms: int = 0
    applied_index: int = 0
    digest: bytes = b""
    crash_at: str = ""


@dataclasses.dataclass
class Network:
    """Faults of the network links between members."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_max_ms: int = 3
    blocked_links: set[tuple[str, str]] = dataclasses.field(
        default_factory=set
    )


class Cluster:
    """Nodes, network and the history of committed entries."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 10_000
        self.network = Network()
        self.names = [chr(ord("a") + i) for i in range(size)]
        self.nodes: dict[str, Node] = {}
        self.history = HistoryChecker()
        self._messages_in_flight: list[tuple[int, int, str, str, bytes]] = []
        self._message_count = 0
        self._disk_count = 0
        for name in self.names:
            offset = self.random.randrange(1_000_000)
            self.nodes[name] = Node(
                name, self._new_disk(), boot_offset_ms=offset
            )
            self.start(name)

    @property
    def committed(self) -> dict[int, Entry]:
        return self.history.committed

    def now(self, node: Node) -> Instant:
        return Instant(self.now_ms + node.boot_offset_ms, self.now_ms)

    def start(self, name: str) -> None:
        node = self.nodes[name]
        settings = ReplicaSettings(
            group="g",
            name=name,
            peers=tuple(other for other in self.names if other != name),
            bootstrap=True,
            append_limit_bytes=300,
            retained_entries=5,
        )
        state = node.disk.state()
        node.applied_index = 0
        node.digest = b""
        if state.snapshot:
            self._restore(node, state.snapshot.index, state.snapshot.data)
        node.replica = Replica(
            settings, state, self.random.getrandbits(32), self.now(node)
        )

    def crash(self, name: str) -> None:
        self.nodes[name].replica = None
        self.nodes[name].crash_at = ""

    def lose_disk(self, name: str) -> None:
        self.crash(name)
        self.nodes[name].disk = self._new_disk()

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def step(self) -> None:
        self.now_ms += STEP_MS
        while (
            self._messages_in_flight
            and self._messages_in_flight[0][0] <= self.now_ms
        ):
            _, _, sender, recipient, data = heapq.heappop(
                self._messages_in_flight
            )
            node = self.nodes[recipient]
            if self.now_ms < node.frozen_until_ms:
                self._enqueue(node.frozen_until_ms, sender, recipient, data)
                continue
            message = decode_peer_message(data)
            self.handle(node, PeerMessageReceived(sender, message))
        for node in self.nodes.values():
            self.handle(node, Tick())
            if node.replica is None:
                continue
            snapshot_index = node.replica.status().snapshot_index
            if node.applied_index - snapshot_index >= SNAPSHOT_EVERY_ENTRIES:
                data = node.digest + bytes(SNAPSHOT_PADDING_BYTES)
                self.handle(node, SnapshotTaken(node.applied_index, data))
        self.check_invariants()

    def handle(self, node: Node, event: Event) -> list[Effect]:
        """Deliver an event and execute its effects, or crash in between."""
        if node.replica is None or self.now_ms < node.frozen_until_ms:
            return []
        effects = node.replica.handle(event, self.now(node))
        if node.crash_at == "before persist" and effects:
            self.crash(node.name)
            return []
        node.disk.persist(
            effect
            for effect in effects
            if isinstance(effect, Persist | PersistSnapshot)
        )
        if node.crash_at == "after persist" and effects:
            self.crash(node.name)
            return []
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.history.record_vote(message)
                    self._send(node.name, to, message)
                case Apply(entries):
                    self._apply(node, entries)
                case InstallSnapshot(index, data):
                    self._restore(node, index, data)
                case LeadershipChanged(is_leader=True):
                    self.history.check_leader_completeness(node.disk)
                case _:
                    pass
        return effects

    def propose(self, payloads: tuple[bytes, ...]) -> None:
        """Propose on every node that holds a leader lease."""
        for node in self.leaders():
            self.handle(node, Propose(payloads))

    def leaders(self) -> list[Node]:
        return [
            node
            for node in self.nodes.values()
            if node.replica and node.replica.is_leader(self.now(node))
        ]

    def heal(self) -> None:
        self.network = Network()
        for name, node in self.nodes.items():
            node.crash_at = ""
            node.frozen_until_ms = 0
            if node.replica is None:
                self.start(name)

    def has_all_voters(self) -> bool:
        """Return whether the leader's voters are all running identities."""
        leaders = self.leaders()
        if len(leaders) != 1 or leaders[0].replica is None:
            return False
        status = leaders[0].replica.status()
        identities = {
            node.replica.status().identity
            for node in self.nodes.values()
            if node.replica
        }
        return (
            set(status.voters) == identities
            and len(identities) == len(self.names)
            and not status.learners
        )

    def run_until_converged(self, limit_ms: int) -> None:
        """Run until all members are voters and have applied a new command."""
        end_ms = self.now_ms + limit_ms
        while not self.has_all_voters():
            assert self.now_ms < end_ms, (
                "not all members are voters after healing"
            )
            self.run(100)
        marker = f"settled-{self.now_ms}".encode()
        self.propose((marker,))
        while True:
            assert self.now_ms < end_ms, (
                "a proposal was not applied on all members"
            )
            self.run(100)
            last = max(self.committed)
            found = any(e.payload == marker for e in self.committed.values())
            if found and all(
                n.applied_index == last for n in self.nodes.values()
            ):
                return
            if not found and self.leaders():
                self.propose((marker,))

    def check_invariants(self) -> None:
        """Check for a single lease, a single pending change and equal logs."""
        leaders = self.leaders()
        assert len(leaders) <= 1, "two leaders hold a lease"
        for leader in leaders:
            pending = [
                entry
                for entry in leader.disk.entries.values()
                if entry.kind is EntryKind.CONFIGURATION
                and entry.index > leader.applied_index
            ]
            assert len(pending) <= 1, "two uncommitted membership changes"
        if self.random.random() < 0.05:
            self.check_logs()

    def check_logs(self) -> None:
        logs = [node.disk.entries for node in self.nodes.values()]
        for position, first_log in enumerate(logs):
            for second_log in logs[position + 1 :]:
                matching_indexes = [
                    i
                    for i in first_log.keys() & second_log.keys()
                    if first_log[i].term == second_log[i].term
                ]
                last_common_index = max(matching_indexes, default=0)
                for index in first_log.keys() & second_log.keys():
                    if index <= last_common_index:
                        assert first_log[index] == second_log[index]

    def _apply(self, node: Node, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            assert entry.index == node.applied_index + 1
            node.applied_index = entry.index
            node.digest = self.history.apply(entry, node.digest)

    def _restore(self, node: Node, index: int, data: bytes) -> None:
        digest = data[:-SNAPSHOT_PADDING_BYTES]
        assert self.history.digests[index] == digest
        node.applied_index = index
        node.digest = digest

    def _send(self, sender: str, to: str, message: PeerMessage) -> None:
        network = self.network
        if (sender, to) in network.blocked_links:
            return
        copies = 1 + (self.random.random() < network.duplication)
        for _ in range(copies):
            if self.random.random() < network.loss:
                continue
            delay_ms = self.random.randint(1, network.delay_max_ms)
            self._enqueue(
                self.now_ms + delay_ms,
                sender,
                to,
                encode_peer_message(message),
            )

    def _enqueue(self, due_ms: int, sender: str, to: str, data: bytes) -> None:
        self._message_count += 1
        heapq.heappush(
            self._messages_in_flight,
            (due_ms, self._message_count, sender, to, data),
        )

    def _new_disk(self) -> MemoryDisk:
        self._disk_count += 1
        return MemoryDisk(str(self._disk_count))
