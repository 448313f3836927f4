"""Process that runs on a core machine."""

import asyncio
import pathlib

from sardinespool.errors.settings import SettingsError
from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import Metrics
from sardinespool.observability.status_server import StatusServer
from sardinespool.platform.control_handler import ControlHandler
from sardinespool.platform.explain_handler import ExplainHandler
from sardinespool.platform.fault_barrier import FaultBarrier
from sardinespool.platform.job_codec import JOB_BODY_LIMIT_BYTES
from sardinespool.platform.settings import PlatformSettings
from sardinespool.platform.worker_client import WorkerClient
from sardinespool.programs.controller.control_member import ControlGroupMember
from sardinespool.programs.controller.settings import CONTROL_GROUP
from sardinespool.programs.controller.settings import (
    ControlGroupMemberSettings,
)
from sardinespool.programs.controller.timely_orders import TimelyOrders
from sardinespool.programs.guard_metrics import GuardMetrics
from sardinespool.programs.status_listener import status_listener
from sardinespool.transport import system_clock
from sardinespool.transport.arrivals import LoopWatch
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ServerLimits
from sardinespool.transport.indexed_http_connections import (
    IndexedHttpConnections,
)
from sardinespool.transport.listener_guard import ListenerGuard

BODY_LIMIT_BYTES = 4 * 1_048_576
"""Fits a manifest of some thousand queues of 300 bytes each."""
CONTROL_RECEIVE_BUFFER_BYTES = 65_536
"""Heartbeats of 4 MiB cross a link of 50 ms in 3 s."""
LINGER_S = 0.5

_LOG = get_logger("core")


class CoreProcess:
    """Member of the control group that serves the control API.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the process.

    Raises
    ------
    SettingsError
        The settings have no data folder.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        if settings.data_folder is None:
            raise SettingsError(
                "Role core requires the setting data_directory."
            )
        self._settings = settings
        self._metrics = Metrics("controller", settings.node)
        self._guard_metrics = GuardMetrics(self._metrics)
        self._guard = ListenerGuard(
            settings.limits.guard, self._guard_metrics.report
        )
        self._controller = ControlGroupMember(
            ControlGroupMemberSettings(
                address=settings.internal_address,
                peers=settings.peers,
                bootstrap=settings.first_start
                and settings.internal_address in settings.peers,
                data_folder=pathlib.Path(settings.data_folder),
                cluster_token=CONTROL_GROUP,
                dispatch=settings.dispatch,
                replication=settings.limits.replication,
            ),
            WorkerClient(IndexedHttpConnections()),
            self._metrics,
            self._guard,
        )

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until `stopping` is set, then shut down gracefully."""
        watch = LoopWatch(system_clock.now)
        control_server = HttpListener(
            self._settings.listen.control,
            FaultBarrier(
                ControlHandler(
                    self._controller.call,
                    TimelyOrders(self._controller.call, system_clock.now).send,
                    self._heartbeat_address,
                ),
                _LOG,
            ),
            ServerLimits(
                BODY_LIMIT_BYTES,
                connection_class=ConnectionClass.CONTROL,
                receive_buffer_bytes=CONTROL_RECEIVE_BUFFER_BYTES,
            ),
            watch=watch,
            guard=self._guard,
        )
        status_server = StatusServer(
            status_listener(
                self._settings.status_address,
                self._guard,
                FaultBarrier(ExplainHandler(self._controller.call), _LOG),
                JOB_BODY_LIMIT_BYTES,
            ),
            self._metrics,
            health=lambda: True,
            ready=lambda: bool(self._controller.leader),
            dump=self._controller.describe,
        )
        self._controller.start()
        watch.start()
        control_server.start()
        status_server.start()
        _LOG.info(
            "started",
            node=self._settings.node,
            address=self._settings.internal_address,
            first_start=self._settings.first_start,
        )
        metrics_task = asyncio.create_task(
            self._guard_metrics.update(self._guard)
        )
        stop_task = asyncio.create_task(stopping.wait())
        await asyncio.wait(
            [stop_task, self._controller.group_task],
            return_when=asyncio.FIRST_COMPLETED,
        )
        if self._controller.group_task.done():
            # The group ended after a storage failure; raise its exception.
            await self._controller.group_task
        _LOG.info("stopping", node=self._settings.node)
        await self._controller.transfer_leadership()
        control_server.close_after_responses()
        await control_server.wait_for_connections(LINGER_S)
        await control_server.stop()
        watch.stop()
        metrics_task.cancel()
        await self._controller.stop()
        await status_server.stop()
        _LOG.info("stopped", node=self._settings.node)

    def _heartbeat_address(self) -> str:
        leader = self._controller.leader
        return self._settings.control_address_of(leader) if leader else ""
