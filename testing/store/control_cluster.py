"""Control group of three members in virtual time, with a slow network."""

import asyncio
from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.dispatch.control_service import ControlService
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.observability.metrics import Metrics
from sardinespool.programs.store.group_event_handler import GroupEventHandler
from sardinespool.programs.store.runner_events import CallReceived
from sardinespool.programs.store.runner_events import PeerMessageReceived
from sardinespool.programs.store.store_metrics import StoreMetrics
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from testing.replication.memory_disk import MemoryDisk

STEP_MS = 10
NAMES = ("a", "b", "c")
MANIFEST = PublishManifest(
    version=1,
    queues=(
        QueueSpec(
            name="q",
            host="h",
            prefix="/q/",
            pool="pool",
            priority=0,
            failures_max=3,
            stretch=2.0,
            latency_objective_ms=500,
        ),
    ),
    pools=(PoolSpec(name="pool"),),
    source=b"{}",
)


class Disk(MemoryDisk):
    """In-memory `GroupStore`."""

    def close(self) -> None:
        """Do nothing."""


class Member:
    """One member with its service and dispatcher.

    Parameters
    ----------
    name : str
        Name in the group.
    cluster : ControlCluster
        Clock and network.
    """

    def __init__(self, name: str, cluster: "ControlCluster") -> None:
        self.name = name
        self.machine = ControlMachine()
        self.dispatcher = Dispatcher(
            self.machine,
            DispatchSettings(),
            lambda worker_id: None,
            DispatchMetrics(Metrics("controller", name)),
        )
        disk = Disk(name)
        self.replica = Replica(
            ReplicaSettings(
                group="control",
                name=name,
                peers=tuple(other for other in NAMES if other != name),
                bootstrap=True,
            ),
            disk.state(),
            ord(name),
            cluster.clock(),
        )
        self.service = ControlService(
            self.machine, self.dispatcher, self.replica.status
        )
        self.handler = GroupEventHandler(
            "control",
            self.replica,
            disk,  # type: ignore[arg-type]
            self.machine,
            self.service,
            lambda to, message: cluster.send(name, to, message),
            cluster.clock,
            StoreMetrics(Metrics("store", name)),
            None,
            10_000,
            False,
            service_tick_interval_ms=2,
        )
        self.events: list[PeerMessageReceived | CallReceived] = []

    def handle_events(self) -> None:
        """Handle the queued events as one batch."""
        batch, self.events = self.events, []
        self.handler.handle_batch_blocking(list(batch))


class ControlCluster:
    """Three members whose messages can be held back.

    Attributes
    ----------
    held : callable
        Whether a message stays in the network for the time being.
    cut : set of str
        Members whose messages stay in the network, in both directions.
    frozen : set of str
        Members that handle no event; their events wait.
    """

    def __init__(self, manifest: PublishManifest = MANIFEST) -> None:
        self.now_ms = 10_000
        self.cut: set[str] = set()
        self.frozen: set[str] = set()
        self.held: Callable[[PeerMessage], bool] = lambda message: False
        self._loop = asyncio.new_event_loop()
        self._network: list[tuple[str, str, PeerMessage]] = []
        self.members = {name: Member(name, self) for name in NAMES}
        while not any(item.handler.serving for item in self.members.values()):
            self.step()
        self.run(200)
        self.call(manifest)

    @property
    def leader(self) -> Member:
        """The member that serves."""
        (leader,) = (
            item
            for name, item in self.members.items()
            if item.handler.serving and name not in self.frozen
        )
        return leader

    def clock(self) -> Instant:
        """Return the current instant, the same on all members."""
        return Instant(self.now_ms, self.now_ms + 1_000_000)

    def send(self, sender: str, to: str, message: PeerMessage) -> None:
        """Put a message into the network."""
        self._network.append((sender, to, message))

    def step(self) -> None:
        """Advance the clock, deliver messages and handle one batch each."""
        self.now_ms += STEP_MS
        network, self._network = self._network, []
        for sender, to, message in network:
            if self.held(message) or self.cut & {sender, to}:
                self._network.append((sender, to, message))
            else:
                self.members[to].events.append(
                    PeerMessageReceived(sender, message)
                )
        for name, member in self.members.items():
            if name not in self.frozen:
                member.handle_events()

    def run(self, duration_ms: int) -> None:
        """Run all members."""
        for _ in range(duration_ms // STEP_MS):
            self.step()

    def begin_call(
        self, request: Request, member: Member | None = None
    ) -> "asyncio.Future[Reply]":
        """Queue a request at a member, the leader by default."""
        reply: asyncio.Future[Reply] = self._loop.create_future()
        member = member or self.leader
        member.events.append(CallReceived(request, reply))
        return reply

    def call(self, request: Request) -> Reply:
        """Send a request to the leader and return its reply."""
        reply = self.begin_call(request)
        while not reply.done():
            self.step()
        return reply.result()


def make_description(worker_id: str, incarnation: int) -> WorkerDescription:
    """Return the description of a worker with four processors."""
    return WorkerDescription(
        worker_id=worker_id,
        incarnation=incarnation,
        address="10.0.0.1:80",
        pool="pool",
        failure_domain="centro",
        host=worker_id,
        labels=(),
        processors_millicores=4_000,
        memory_mb=8_000,
        accelerators=0,
    )
