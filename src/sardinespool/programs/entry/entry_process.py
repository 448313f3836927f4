"""Entry process: its tasks, signals and shutdown."""

import asyncio
import sys

from sardinespool.observability.logs import get_logger
from sardinespool.observability.signals import ProgramSignals
from sardinespool.observability.state_dump import dump_json
from sardinespool.programs.daemon import EXIT_FAILED
from sardinespool.programs.entry.groups import GLOBAL_GROUP
from sardinespool.programs.entry.groups import Groups
from sardinespool.programs.entry.wiring import EntryComponents
from sardinespool.programs.entry.wiring import wire_entry
from sardinespool.settings.model import EntrySettings
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.group_client import GroupClient

_LOG = get_logger("entry")


class EntryProcess:
    """Runs one entry.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._stop = asyncio.Event()
        self._abort = asyncio.Event()

    async def run(self) -> None:
        """Serve requests until a signal stops the process."""
        connector = Connector(
            self._settings.cluster, "entry", self._settings.name
        )
        components = wire_entry(
            self._settings, self._make_groups(connector), system_clock.now
        )
        member = components.member

        def log_dump() -> None:
            _LOG.info("state dump", dump=dump_json(components.dump()).decode())

        signals = ProgramSignals(self._stop.set, self._abort.set, log_dump)
        signals.install(asyncio.get_running_loop())
        sync_task = asyncio.create_task(components.sync.run())
        tasks = [
            asyncio.create_task(components.router.run()),
            asyncio.create_task(components.router.run_ticks()),
            sync_task,
        ]
        components.listener.start()
        _LOG.info(
            "started",
            name=member.name,
            failure_domain=member.failure_domain,
            address=member.address,
        )
        await self._wait_for_stop(tasks)
        graceful = await self._shut_down(components, sync_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await connector.close()
        if not graceful:
            sys.exit(EXIT_FAILED)

    def _make_groups(self, connector: Connector) -> Groups:
        cluster = self._settings.cluster
        clients = {}
        for group in (GLOBAL_GROUP, *cluster.failure_domains):
            addresses = {
                store.name: store.address
                for store in cluster.stores
                if group in store.groups
            }
            clients[group] = GroupClient(group, addresses, connector)
        return Groups(clients)

    async def _wait_for_stop(self, tasks: list[asyncio.Task[None]]) -> None:
        stopped = asyncio.create_task(self._stop.wait())
        # A task ends only if it fails, and the entry can't run without it.
        done, _ = await asyncio.wait(
            [stopped, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        stopped.cancel()
        for task in tasks:
            if task in done:
                task.result()

    async def _shut_down(
        self, components: EntryComponents, sync_task: asyncio.Task[None]
    ) -> bool:
        """Finish running requests; return False if they were aborted."""
        components.state.stopping = True
        _LOG.info("stopping", requests=components.callers.running)
        draining = asyncio.create_task(drain_and_close(components, sync_task))
        aborted = asyncio.create_task(self._abort.wait())
        await asyncio.wait(
            [draining, aborted],
            timeout=self._settings.stop_timeout_ms / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        aborted.cancel()
        if draining.done():
            draining.result()
            _LOG.info("stopped", name=components.member.name)
            return True
        draining.cancel()
        _LOG.warning(
            "stopped before all requests had finished",
            requests=components.callers.running,
        )
        return False


async def drain_and_close(
    components: EntryComponents, sync_task: asyncio.Task[None]
) -> None:
    """Finish running requests and close all connections.

    The entry already refuses new requests. The listener stays open until the
    running ones have ended, so that the load balancer reads "not ready" and
    callers get "not run" instead of a refused connection.
    """
    components.listener.close_after_responses()
    await components.callers.drain()
    await components.listener.wait_for_connections()
    await components.listener.stop()
    # A later synchronisation would request slot grants again.
    sync_task.cancel()
    await asyncio.wait([sync_task])
    await components.sync.sync(stopping=True)
    await components.endpoint_pool.close()
    await components.entry_pool.close()
