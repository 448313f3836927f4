"""Scheduler process: planning task, signals and shutdown."""

import asyncio
import sys
import zlib

from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import Metrics
from sardinespool.observability.signals import ProgramSignals
from sardinespool.observability.state_dump import dump_json
from sardinespool.observability.status_server import StatusServer
from sardinespool.placement.policy import PlacementPolicy
from sardinespool.placement.settings import PolicySettings
from sardinespool.programs.daemon import EXIT_FAILED
from sardinespool.programs.scheduler.planning_task import PlanningTask
from sardinespool.programs.scheduler.scheduler_metrics import SchedulerMetrics
from sardinespool.programs.status_listener import status_listener
from sardinespool.settings.model import SchedulerSettings
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.group_client import GroupClient

_LOG = get_logger("scheduler")


class SchedulerProcess:
    """Runs the planning task of one failure domain.

    Parameters
    ----------
    settings : SchedulerSettings
        Validated settings of the process.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._stopping = asyncio.Event()
        self._aborted = asyncio.Event()

    async def run(self) -> None:
        """Run planning passes until a signal stops the process."""
        settings = self._settings
        connector = Connector(settings.cluster, "scheduler", settings.name)
        metrics = Metrics("scheduler", settings.name)
        planning_task = self._make_planning_task(connector, metrics)
        status_server = StatusServer(
            status_listener(settings.http_address),
            metrics,
            health=lambda: True,
            ready=lambda: (
                planning_task.is_ready() and not self._stopping.is_set()
            ),
            dump=planning_task.dump,
        )

        def log_dump() -> None:
            dump = dump_json(planning_task.dump()).decode()
            _LOG.info("state dump", dump=dump)

        ProgramSignals(
            self._stopping.set, self._aborted.set, log_dump
        ).install(asyncio.get_running_loop())
        status_server.start()
        _LOG.info(
            "started",
            name=settings.name,
            failure_domain=settings.failure_domain,
            address=settings.http_address,
        )
        loop_task = asyncio.create_task(planning_task.run(self._stopping))
        graceful = await self._wait_for_end(loop_task)
        await status_server.stop()
        await connector.close()
        if not graceful:
            _LOG.warning(
                "graceful shutdown did not complete", name=settings.name
            )
            sys.exit(EXIT_FAILED)
        _LOG.info("stopped", name=settings.name)

    def _make_planning_task(
        self, connector: Connector, metrics: Metrics
    ) -> PlanningTask:
        settings = self._settings
        group = settings.failure_domain
        addresses = {
            store.name: store.address
            for store in settings.cluster.stores
            if group in store.groups
        }
        # The seed depends on the process name, so that two schedulers of a
        # domain sample different candidates.
        seed = zlib.crc32(f"{settings.name}/{group}".encode())
        return PlanningTask(
            settings.name,
            GroupClient(group, addresses, connector),
            PlacementPolicy(
                PolicySettings(throttle_above=settings.throttle_above), seed
            ),
            SchedulerMetrics(metrics),
            system_clock.now,
            settings.interval_ms,
        )

    async def _wait_for_end(self, loop_task: asyncio.Task[None]) -> bool:
        """Let the current pass finish; return False if it was cancelled."""
        stopping = asyncio.create_task(self._stopping.wait())
        # Before a signal arrives, the loop ends only with an exception.
        await asyncio.wait(
            [stopping, loop_task], return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
        if not self._stopping.is_set():
            await loop_task
        aborted = asyncio.create_task(self._aborted.wait())
        await asyncio.wait(
            [loop_task, aborted],
            timeout=self._settings.stop_timeout_ms / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        aborted.cancel()
        if not loop_task.done():
            loop_task.cancel()
            await asyncio.gather(loop_task, return_exceptions=True)
            return False
        loop_task.result()
        return True
