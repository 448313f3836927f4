"""A group in memory: virtual time, seeded network and faults.

Every step checks what must hold at any moment; see `Cluster.check`.
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
from testing.replication.history import History
from testing.replication.memory_disk import MemoryDisk

STEP_MS = 10
SNAPSHOT_EVERY_ENTRIES = 15
SNAPSHOT_PADDING_BYTES = 900


@dataclasses.dataclass
class Node:
    """One member: its disk survives a crash, the rest does not."""

    name: str
    disk: MemoryDisk
    replica: Replica | None = None
    boot_offset_ms: int = 0
    frozen_until_ms: int = 0
    applied: int = 0
    digest: bytes = b""
    crash_at: str = ""


@dataclasses.dataclass
class Network:
    """Faults of the links; delays are in milliseconds."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_max_ms: int = 3
    cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)


class Cluster:
    """Nodes, network and the record of what was committed."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 10_000
        self.network = Network()
        self.names = [chr(ord("a") + i) for i in range(size)]
        self.nodes: dict[str, Node] = {}
        self.history = History()
        self._queue: list[tuple[int, int, str, str, bytes]] = []
        self._sent = 0
        self._incarnations = 0
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
        node.applied = 0
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
        while self._queue and self._queue[0][0] <= self.now_ms:
            _, _, sender, recipient, data = heapq.heappop(self._queue)
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
            taken = node.replica.status().snapshot_index
            if node.applied - taken >= SNAPSHOT_EVERY_ENTRIES:
                data = node.digest + bytes(SNAPSHOT_PADDING_BYTES)
                self.handle(node, SnapshotTaken(node.applied, data))
        self.check()

    def handle(self, node: Node, event: Event) -> list[Effect]:
        """Deliver an event and execute its effects, or crash between."""
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
                    self.history.check_complete(node.disk)
                case _:
                    pass
        return effects

    def propose(self, payloads: tuple[bytes, ...]) -> None:
        """Propose on every node that claims to be the leader."""
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

    def is_whole(self) -> bool:
        """Return whether a leader lists every present identity as voter."""
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

    def settle(self, limit_ms: int) -> None:
        """Run until the group is whole and a new command is everywhere."""
        end_ms = self.now_ms + limit_ms
        while not self.is_whole():
            assert self.now_ms < end_ms, "no whole group after healing"
            self.run(100)
        marker = f"settled-{self.now_ms}".encode()
        self.propose((marker,))
        while True:
            assert self.now_ms < end_ms, "no progress after healing"
            self.run(100)
            last = max(self.committed)
            found = any(e.payload == marker for e in self.committed.values())
            if found and all(n.applied == last for n in self.nodes.values()):
                return
            if not found and self.leaders():
                self.propose((marker,))

    def check(self) -> None:
        """At most one lease, one pending change, and equal logs."""
        leaders = self.leaders()
        assert len(leaders) <= 1, "two leaders hold a lease"
        for leader in leaders:
            pending = [
                entry
                for entry in leader.disk.entries.values()
                if entry.kind is EntryKind.CONFIGURATION
                and entry.index > leader.applied
            ]
            assert len(pending) <= 1, "two membership changes at once"
        if self.random.random() < 0.05:
            self.check_logs()

    def check_logs(self) -> None:
        logs = [node.disk.entries for node in self.nodes.values()]
        for position, first in enumerate(logs):
            for second in logs[position + 1 :]:
                common = [
                    i
                    for i in first.keys() & second.keys()
                    if first[i].term == second[i].term
                ]
                top = max(common, default=0)
                for index in first.keys() & second.keys():
                    if index <= top:
                        assert first[index] == second[index]

    def _apply(self, node: Node, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            assert entry.index == node.applied + 1
            node.applied = entry.index
            node.digest = self.history.apply(entry, node.digest)

    def _restore(self, node: Node, index: int, data: bytes) -> None:
        digest = data[:-SNAPSHOT_PADDING_BYTES]
        assert self.history.digests[index] == digest
        node.applied = index
        node.digest = digest

    def _send(self, sender: str, to: str, message: PeerMessage) -> None:
        network = self.network
        if (sender, to) in network.cuts:
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
        self._sent += 1
        heapq.heappush(self._queue, (due_ms, self._sent, sender, to, data))

    def _new_disk(self) -> MemoryDisk:
        self._incarnations += 1
        return MemoryDisk(str(self._incarnations))
