"""Member of a control group, embedded in a process."""

import asyncio
import gc
import zlib

from sardinespool.dispatch.control_service import ControlService
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.replication import LogFullError
from sardinespool.errors.replication import NotLeaderError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.storage import CorruptLogError
from sardinespool.errors.storage import StorageError
from sardinespool.errors.transport import NotReadyError
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import Metrics
from sardinespool.programs.controller.settings import (
    cluster_settings_from_token,
)
from sardinespool.programs.controller.settings import CONTROL_GROUP
from sardinespool.programs.controller.settings import (
    ControlGroupMemberSettings,
)
from sardinespool.programs.controller.worker_caller import WorkerCaller
from sardinespool.programs.controller.worker_senders import WorkerSender
from sardinespool.programs.controller.worker_senders import WorkerSenders
from sardinespool.programs.store.group_endpoint import GroupEndpoint
from sardinespool.programs.store.group_event_handler import GroupEventHandler
from sardinespool.programs.store.group_runner import GroupRunner
from sardinespool.programs.store.store_metrics import StoreMetrics
from sardinespool.replication import messages as peer_messages
from sardinespool.replication.identity import member_name
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.storage.group_store import GroupStore
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.group_client import ATTEMPT_REFUSALS
from sardinespool.transport.group_client import GroupClient
from sardinespool.transport.listener_guard import ListenerGuard

SENDER_CLEANUP_INTERVAL_MS = 1_000
TRANSFER_TIMEOUT_MS = 1_000
"""Limit for a transfer of leadership; an election takes at most 1.5 s."""
STORAGE_RETRY_DELAY_MS = 1_000
"""Delay before the files are reopened; each attempt writes to the disk."""
LOG_FULL_RETRY_MS = 50
"""A commit takes about 10 ms."""
PLANNING_INTERVAL_MS = 2
"""Shortest time between two planning passes."""

_LOG = get_logger("controller")


class ControlGroupMember:
    """Runs the replica, dispatcher and connections of one member.

    Parameters
    ----------
    settings : ControlGroupMemberSettings
        Checked settings.
    caller : WorkerCaller
        Client that sends lease renewals and orders to workers.
    metrics : Metrics
        Metrics of the process.
    guard : ListenerGuard or None
        Guard of the process; None for one with the default limits.
    """

    def __init__(
        self,
        settings: ControlGroupMemberSettings,
        caller: WorkerCaller,
        metrics: Metrics,
        guard: ListenerGuard | None = None,
    ) -> None:
        self._settings = settings
        self._caller = caller
        self._store_metrics = StoreMetrics(metrics)
        self._dispatch_metrics = DispatchMetrics(metrics)
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        cluster = cluster_settings_from_token(settings.cluster_token)
        self._connector = Connector(cluster, "controller", settings.address)
        self._senders = WorkerSenders(self._make_sender)
        self._runners: dict[str, GroupRunner] = {}
        self._open_group()
        self._server = FrameServer(
            settings.cluster_token,
            GroupEndpoint(self._runners, self._store_metrics, self._stopping),
            None,
            guard,
        )
        self._client = GroupClient(
            CONTROL_GROUP,
            {peer: peer for peer in settings.peers},
            self._connector,
            names_are_addresses=True,
        )

    @property
    def leader(self) -> str:
        """Address of the leader; empty if no leader is known."""
        return member_name(self._runner.status.leader)

    def describe(self) -> dict[str, object]:
        """Return the state of the member for the state dump."""
        return {"replica": self._runner.status}

    @property
    def group_task(self) -> asyncio.Task[None]:
        """Task of the group; it ends by itself only with an exception."""
        return self._tasks[0]

    def start(self) -> None:
        """Start the listener and join the group."""
        self._tasks.append(asyncio.create_task(self._run_group()))
        self._tasks.append(asyncio.create_task(self._remove_unknown_senders()))
        self._server.start_listening(self._settings.address)

    async def call(self, request: Request, timeout_ms: int) -> Reply:
        """Handle a request locally if leading, else forward it to the leader.

        Raises
        ------
        GroupUnavailableError
            No leader replied in time. ``details['sent']`` tells whether the
            request may still take effect.
        SardinespoolError
            The request is refused.
        """
        sent = False
        if self._runner.serving:
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    return await self._call_leader(request)
            except NotLeaderError:
                # The lease expired meanwhile; another member may lead.
                pass
            except ProposalLostError:
                sent = True
            except TimeoutError as error:
                raise _unavailable_error(sent=True) from error
        if self._stopping.is_set() and not self.leader:
            if sent:
                raise _unavailable_error(sent)
            raise NotReadyError("The process is stopping.")
        if self.leader and self.leader != self._settings.address:
            self._client.assume_leader(self.leader)
        deadline_unix_ms = system_clock.now().unix_ms + timeout_ms
        try:
            return await self._client.call(request, deadline_unix_ms)
        except (GroupUnavailableError, *ATTEMPT_REFUSALS) as error:
            # Only the last attempt is known to have had no effect.
            if not sent:
                raise
            raise _unavailable_error(sent) from error

    async def _call_leader(self, request: Request) -> Reply:
        """Handle a request locally; wait while the log has no room."""
        while True:
            try:
                return await self._runner.call(request)
            except LogFullError:
                await asyncio.sleep(LOG_FULL_RETRY_MS / 1000)

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another member if this one leads."""
        self._stopping.set()
        runner = self._runner
        if not runner.serving or len(runner.status.voters) < 2:
            return
        await runner.transfer_leadership()
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_MS / 1000):
                await runner.not_serving.wait()
        except TimeoutError:
            _LOG.warning("no member took over leadership before the timeout")

    async def stop(self) -> None:
        """Cancel all tasks and close all connections."""
        self._senders.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._server.close()
        await self._connector.close()

    def _open_group(self) -> None:
        """Load the files of the group and create its components.

        The previous state must not stay in memory beside the loaded one.
        """
        self._machine = ControlMachine()
        self._dispatcher = Dispatcher(
            self._machine,
            self._settings.dispatch,
            self._senders.wake,
            self._dispatch_metrics,
        )
        # The components of a dispatcher refer to each other.
        gc.collect()
        self._runner = GroupRunner(self._make_event_handler())
        self._runners[CONTROL_GROUP] = self._runner

    async def _run_group(self) -> None:
        """Run the group; reload its files after a failed write.

        A temporarily full disk must not end the process, which continues to
        forward calls to the leader.
        """
        while True:
            try:
                await self._runner.run()
            except StorageError as error:
                _LOG.error(error.text, address=self._settings.address)
            self._senders.close()
            while True:
                await asyncio.sleep(STORAGE_RETRY_DELAY_MS / 1000)
                try:
                    self._open_group()
                except CorruptLogError:
                    # A retry cannot repair corrupt files.
                    raise
                except StorageError as error:
                    _LOG.error(error.text, address=self._settings.address)
                else:
                    _LOG.info("group opened", address=self._settings.address)
                    break

    def _make_sender(self, worker_id: str) -> WorkerSender:
        return WorkerSender(
            worker_id,
            self._dispatcher,
            self._caller,
            self._settings.dispatch,
            lambda: self._runner.serving,
            self._runner.wake,
        )

    def _make_event_handler(self) -> GroupEventHandler:
        settings = self._settings
        store = GroupStore(settings.data_folder / CONTROL_GROUP)
        state = store.load()
        timing = settings.replication
        replica = Replica(
            ReplicaSettings(
                group=CONTROL_GROUP,
                name=settings.address,
                peers=tuple(
                    peer for peer in settings.peers if peer != settings.address
                ),
                bootstrap=settings.bootstrap,
                open_membership=True,
                heartbeat_interval_ms=timing.heartbeat_interval_ms,
                lease_ms=timing.lease_ms,
                election_timeout_min_ms=timing.election_timeout_min_ms,
                election_timeout_max_ms=timing.election_timeout_max_ms,
                retained_limit_bytes=timing.snapshot_every_bytes,
                uncommitted_limit_bytes=timing.snapshot_every_bytes,
            ),
            state,
            zlib.crc32(settings.address.encode()),
            system_clock.now(),
        )

        def send(name: str, message: PeerMessage) -> None:
            self._connector.send_replication_message(
                name,
                CONTROL_GROUP,
                settings.address,
                peer_messages.encode_peer_message(message),
            )

        return GroupEventHandler(
            CONTROL_GROUP,
            replica,
            store,
            self._machine,
            ControlService(self._machine, self._dispatcher, replica.status),
            send,
            system_clock.now,
            self._store_metrics,
            state.snapshot,
            timing.snapshot_every_entries,
            reformed=False,
            service_tick_interval_ms=PLANNING_INTERVAL_MS,
            snapshot_every_bytes=timing.snapshot_every_bytes,
        )

    async def _remove_unknown_senders(self) -> None:
        while True:
            await asyncio.sleep(SENDER_CLEANUP_INTERVAL_MS / 1000)
            self._senders.retain(set(self._dispatcher.fleet.workers))


def _unavailable_error(sent: bool) -> GroupUnavailableError:
    return GroupUnavailableError(
        "No leader of the group answered in time.",
        group=CONTROL_GROUP,
        sent=sent,
    )
