"""Store process: groups, listeners and shutdown."""

import asyncio
import pathlib
import zlib
from typing import Any

from sardinespool.errors import SardinespoolError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.groups.domain_service import DomainService
from sardinespool.groups.global_machine import GlobalMachine
from sardinespool.groups.global_service import GlobalService
from sardinespool.groups.interfaces import GroupMachine
from sardinespool.groups.interfaces import GroupService
from sardinespool.groups.refusal import refusal_from_error
from sardinespool.messages.commands import Refused
from sardinespool.messages.dump import DumpState
from sardinespool.messages.dump import StateDump
from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import Metrics
from sardinespool.observability.signals import ProgramSignals
from sardinespool.observability.state_dump import dump_json
from sardinespool.observability.status_server import ProbeResult
from sardinespool.observability.status_server import StatusServer
from sardinespool.programs.status_listener import status_listener
from sardinespool.programs.store.domain_sync_task import DomainSyncTask
from sardinespool.programs.store.group_endpoint import GroupEndpoint
from sardinespool.programs.store.group_event_handler import GroupEventHandler
from sardinespool.programs.store.group_runner import GroupRunner
from sardinespool.programs.store.store_metrics import StoreMetrics
from sardinespool.replication import messages as peer_messages
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from sardinespool.settings.model import StoreMember
from sardinespool.settings.model import StoreSettings
from sardinespool.storage.group_store import GroupStore
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.group_client import GroupClient
from sardinespool.transport.tls import peer_server_context

GLOBAL_GROUP = "global"
METRICS_INTERVAL_MS = 500
TRANSFER_TIMEOUT_MS = 3_000

_LOG = get_logger("store")


class StoreProcess:
    """Runs the members of all groups that the store belongs to.

    Parameters
    ----------
    settings : StoreSettings
        Validated settings of the process.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self._settings = settings
        self._cluster = settings.cluster
        self._member = _find_member(settings)
        self._metrics = Metrics("store", settings.name)
        self._store_metrics = StoreMetrics(self._metrics)
        self._stopping = asyncio.Event()
        self._aborted = asyncio.Event()
        self._runners: dict[str, GroupRunner] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Serve until a signal stops the process."""
        signals = ProgramSignals(
            self._stopping.set, self._aborted.set, self._log_dump
        )
        signals.install(asyncio.get_running_loop())
        self._connector = Connector(
            self._cluster, "store", self._settings.name
        )
        server = FrameServer(
            self._cluster.cluster_token,
            GroupEndpoint(self._runners, self._store_metrics, self._stopping),
            peer_server_context(self._cluster.tls),
        )
        status_server = StatusServer(
            status_listener(self._settings.http_address),
            self._metrics,
            health=lambda: True,
            ready=self._probe_ready,
            dump=self._dump,
        )
        self._start_groups()
        server.start_listening(self._member.address)
        status_server.start()
        _LOG.info(
            "started",
            name=self._settings.name,
            address=self._member.address,
            groups=",".join(self._runners),
        )
        await self._wait_for_end()
        await self._transfer_leadership()
        await self._cancel_tasks()
        server.close()
        await status_server.stop()
        await self._connector.close()
        _LOG.info("stopped", name=self._settings.name)

    def _start_groups(self) -> None:
        for group in self._member.groups:
            runner = self._make_runner(group)
            self._runners[group] = runner
            self._tasks.append(asyncio.create_task(runner.run()))
            if group != GLOBAL_GROUP:
                sync_task = DomainSyncTask(
                    runner,
                    GroupClient(
                        GLOBAL_GROUP,
                        self._group_addresses(GLOBAL_GROUP),
                        self._connector,
                    ),
                )
                self._tasks.append(asyncio.create_task(sync_task.run()))
        self._tasks.append(asyncio.create_task(self._update_metrics()))

    def _make_runner(self, group: str) -> GroupRunner:
        store = GroupStore(pathlib.Path(self._settings.data_folder) / group)
        state = store.load()
        addresses = self._group_addresses(group)
        peers = tuple(
            name for name in addresses if name != self._settings.name
        )
        seed = zlib.crc32(f"{self._settings.name}/{group}".encode())
        timing = self._settings.replication
        replica = Replica(
            ReplicaSettings(
                group=group,
                name=self._settings.name,
                peers=peers,
                bootstrap=self._settings.bootstrap,
                heartbeat_interval_ms=timing.heartbeat_interval_ms,
                lease_ms=timing.lease_ms,
                election_timeout_min_ms=timing.election_timeout_min_ms,
                election_timeout_max_ms=timing.election_timeout_max_ms,
                retained_limit_bytes=timing.snapshot_every_bytes,
                uncommitted_limit_bytes=timing.snapshot_every_bytes,
            ),
            state,
            seed,
            system_clock.now(),
        )
        machine, service = self._make_machine_and_service(group)

        def send(name: str, message: PeerMessage) -> None:
            address = addresses.get(name)
            if address is not None:
                self._connector.send_replication_message(
                    address,
                    group,
                    self._settings.name,
                    peer_messages.encode_peer_message(message),
                )

        event_handler = GroupEventHandler(
            group,
            replica,
            store,
            machine,
            service,
            send,
            system_clock.now,
            self._store_metrics,
            state.snapshot,
            timing.snapshot_every_entries,
            self._settings.reformed,
            snapshot_every_bytes=timing.snapshot_every_bytes,
        )
        return GroupRunner(event_handler)

    def _make_machine_and_service(
        self, group: str
    ) -> tuple[GroupMachine, GroupService]:
        if group == GLOBAL_GROUP:
            machine = GlobalMachine()
            return machine, GlobalService(machine)
        entry_count = sum(
            entry.failure_domain == group for entry in self._cluster.entries
        )
        domain_machine = DomainMachine(group)
        return domain_machine, DomainService(
            domain_machine, group, entry_count
        )

    def _group_addresses(self, group: str) -> dict[str, str]:
        return {
            store.name: store.address
            for store in self._cluster.stores
            if group in store.groups
        }

    def _probe_ready(self) -> ProbeResult:
        statuses = {
            group: runner.status for group, runner in self._runners.items()
        }
        # A member that started from an outdated copy of its data folder
        # knows the leader but receives no entries from it.
        all_following = all(
            status.leader and status.commit_index
            for status in statuses.values()
        )
        return ProbeResult(
            all_following and not self._stopping.is_set(),
            {
                "leaders": {
                    group: status.leader for group, status in statuses.items()
                },
                "commit_indexes": {
                    group: status.commit_index
                    for group, status in statuses.items()
                },
            },
        )

    async def _dump(self) -> dict[str, Any]:
        dump: dict[str, Any] = {"name": self._settings.name, "groups": {}}
        for group, runner in self._runners.items():
            group_dump: dict[str, Any] = {"replica": runner.status}
            if runner.serving:
                group_dump["state"] = await _dump_group(runner)
            dump["groups"][group] = group_dump
        return dump

    def _log_dump(self) -> None:
        task = asyncio.ensure_future(self._dump())
        task.add_done_callback(
            lambda finished: _LOG.info(
                "state dump", dump=dump_json(finished.result()).decode()
            )
        )

    async def _update_metrics(self) -> None:
        while True:
            for group, runner in self._runners.items():
                status = runner.status
                metrics = self._store_metrics
                metrics.term.set(status.term, group=group)
                metrics.commit_index.set(status.commit_index, group=group)
                metrics.serving.set(int(runner.serving), group=group)
            await asyncio.sleep(METRICS_INTERVAL_MS / 1000)

    async def _wait_for_end(self) -> None:
        stopping = asyncio.ensure_future(self._stopping.wait())
        # A group task ends by itself only if its files are unusable.
        done, _ = await asyncio.wait(
            [stopping, *self._tasks], return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
        for task in done - {stopping}:
            await task

    async def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        aborted = asyncio.create_task(self._aborted.wait())
        tasks_ended = asyncio.create_task(
            _wait_until_done_or_aborted(aborted, self._tasks)
        )
        await asyncio.wait(
            [tasks_ended], timeout=self._settings.stop_timeout_ms / 1000
        )
        aborted.cancel()
        tasks_ended.cancel()

    async def _transfer_leadership(self) -> None:
        led_runners = [
            runner
            for runner in self._runners.values()
            if runner.serving and len(runner.status.voters) > 1
        ]
        for runner in led_runners:
            await runner.transfer_leadership()
        transfers = [
            asyncio.create_task(runner.not_serving.wait())
            for runner in led_runners
        ]
        aborted = asyncio.create_task(self._aborted.wait())
        # If no voter takes over in time, the others elect a leader after
        # this process has exited.
        if transfers:
            await asyncio.wait(
                [
                    asyncio.ensure_future(
                        _wait_until_done_or_aborted(aborted, transfers)
                    )
                ],
                timeout=TRANSFER_TIMEOUT_MS / 1000,
            )
        for task in (aborted, *transfers):
            task.cancel()


async def _wait_until_done_or_aborted(
    aborted: asyncio.Task[Any], tasks: list[asyncio.Task[Any]]
) -> None:
    """Return once all of `tasks` are done, or `aborted` is."""
    remaining = set(tasks)
    while remaining and not aborted.done():
        done, _ = await asyncio.wait(
            remaining | {aborted}, return_when=asyncio.FIRST_COMPLETED
        )
        remaining -= done


async def _dump_group(runner: GroupRunner) -> StateDump | Refused:
    """Return the state of a group, or the refusal of the call."""
    try:
        reply = await runner.call(DumpState())
    except SardinespoolError as error:
        # Leadership may be lost between the check and the call.
        return refusal_from_error(error)
    assert isinstance(reply, StateDump | Refused)
    return reply


def _find_member(settings: StoreSettings) -> StoreMember:
    for store in settings.cluster.stores:
        if store.name == settings.name:
            return store
    raise InvalidMessageError(
        "The cluster settings list no store with this name.",
        name=settings.name,
    )
