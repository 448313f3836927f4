"""Control group in virtual time whose commands have any size."""

import heapq
import pathlib
import random
from typing import Any

from sardinespool.clock import Instant
from sardinespool.errors.storage import StorageError
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.groups.interfaces import Proposal
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.tasks import Accepted
from sardinespool.programs.store.group_event_handler import GroupEventHandler
from sardinespool.programs.store.runner_events import CallReceived
from sardinespool.programs.store.runner_events import PeerMessageReceived
from sardinespool.replication.messages import decode_peer_message
from sardinespool.replication.messages import encode_peer_message
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.storage.group_store import GroupStore
from testing.proof.stores import NullMetrics

STEP_MS = 10
REOPEN_DELAY_MS = 300
COMMAND_BYTES_MAX = 24_000
SEGMENT_BYTES = 32_000
NAMES = "abcde"


class ManifestService:
    """Proposes each manifest; has no state of its own."""

    def become_leader(self, now: Instant) -> None:
        """Do nothing."""

    def step_down(self) -> None:
        """Do nothing."""

    def handle(self, request: Any, now: Instant) -> ImmediateReply | Proposal:
        return Proposal(request)

    def build_reply(self, request: Any, result: Any, now: Instant) -> Any:
        return result

    def tick(self, now: Instant) -> list[Any]:
        return []

    def on_applied(self, body: Any, result: Any, now: Instant) -> None:
        """Do nothing."""


class Answer:
    """Future of a change that records its acknowledgement."""

    def __init__(self, group: "SizedGroup", version: int) -> None:
        self._group = group
        self._version = version

    def done(self) -> bool:
        return False

    def set_result(self, reply: Any) -> None:
        if reply == Accepted():
            self._group.acknowledged.append(self._version)

    def set_exception(self, error: Exception) -> None:
        self._group.refusals.append(type(error).__name__)


class Member:
    """One member; `handler` is None while it is down."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.handler: GroupEventHandler | None = None
        self.opens_at_ms = 0
        self.events: list[Any] = []
        self.machine = ControlMachine()

    @property
    def replica(self) -> Any:
        assert self.handler is not None
        return self.handler._replica


class SizedGroup:
    """Members, their network and the changes that were acknowledged."""

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        settings: dict[str, int],
        snapshot_every_bytes: int,
    ) -> None:
        self.random = random.Random(seed)
        self.now_ms = 10_000
        self.acknowledged: list[int] = []
        self.refusals: list[str] = []
        self.cut: set[str] = set()
        self.version = 0
        self._settings = settings
        self._snapshot_every_bytes = snapshot_every_bytes
        self._messages: list[tuple[int, int, str, str, bytes]] = []
        self._message_count = 0
        self.members = {name: Member(folder / name) for name in NAMES}
        for name in NAMES:
            self.open(name)

    def now(self) -> Instant:
        return Instant(self.now_ms, self.now_ms)

    def open(self, name: str) -> None:
        """Load the files of a member and start it."""
        member = self.members[name]
        store = GroupStore(member.folder)
        state = store.load()
        member.machine = ControlMachine()
        metrics: Any = NullMetrics()
        member.handler = GroupEventHandler(
            "g",
            Replica(
                ReplicaSettings(
                    group="g",
                    name=name,
                    peers=tuple(set(NAMES) - {name}),
                    bootstrap=True,
                    **self._settings,
                ),
                state,
                self.random.getrandbits(32),
                self.now(),
            ),
            store,
            member.machine,
            ManifestService(),
            lambda to, message: self._send(name, to, message),
            self.now,
            metrics,
            state.snapshot,
            100_000,
            False,
            snapshot_every_bytes=self._snapshot_every_bytes,
        )

    def kill(self, name: str) -> None:
        """End a member; it is opened again after `REOPEN_DELAY_MS`."""
        member = self.members[name]
        if member.handler is not None:
            member.handler.close()
            member.handler = None
        member.events.clear()
        member.opens_at_ms = self.now_ms + REOPEN_DELAY_MS

    def submit(self, size_bytes: int) -> None:
        """Send the next change to each member that serves."""
        self.version += 1
        change = PublishManifest(
            version=self.version,
            queues=(),
            pools=(),
            source=bytes(size_bytes),
        )
        for member in self.members.values():
            if member.handler is not None and member.handler.serving:
                answer: Any = Answer(self, self.version)
                member.events.append(CallReceived(change, answer))

    def step(self) -> None:
        self.now_ms += STEP_MS
        while self._messages and self._messages[0][0] <= self.now_ms:
            _, _, sender, to, data = heapq.heappop(self._messages)
            if self.members[to].handler is not None:
                self.members[to].events.append(
                    PeerMessageReceived(sender, decode_peer_message(data))
                )
        for name, member in self.members.items():
            events, member.events = member.events, []
            try:
                if member.handler is not None:
                    member.handler.handle_batch_blocking(events)
                elif self.now_ms >= member.opens_at_ms:
                    self.open(name)
            except StorageError:
                self.kill(name)

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def close(self) -> None:
        for member in self.members.values():
            if member.handler is not None:
                member.handler.close()

    def _send(self, sender: str, to: str, message: PeerMessage) -> None:
        if sender in self.cut or to in self.cut:
            return
        self._message_count += 1
        heapq.heappush(
            self._messages,
            (
                self.now_ms + self.random.randint(1, 40),
                self._message_count,
                sender,
                to,
                encode_peer_message(message),
            ),
        )
