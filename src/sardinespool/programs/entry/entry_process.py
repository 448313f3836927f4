"""The entry process: its tasks, signals and shutdown."""

import asyncio
import sys

from sardinespool.observability.logs import get_logger
from sardinespool.observability.signals import ProgramSignals
from sardinespool.observability.state_dump import dump_json
from sardinespool.programs.daemon import EXIT_FAILED
from sardinespool.programs.entry.groups import GLOBAL_GROUP
from sardinespool.programs.entry.groups import Groups
from sardinespool.programs.entry.wiring import EntryParts
from sardinespool.programs.entry.wiring import wire_entry
from sardinespool.settings.model import EntrySettings
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.rpc_client import GroupClient

_LOG = get_logger("entry")


class EntryProcess:
    """Runs one entry.

    Parameters
    ----------
    settings : EntrySettings
        Checked settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._stop = asyncio.Event()
        self._abort = asyncio.Event()

    async def run(self) -> None:
        """Serve until a signal ends the process."""
        connector = Connector(
            self._settings.cluster, "entry", self._settings.name
        )
        parts = wire_entry(
            self._settings, self._make_groups(connector), system_clock.now
        )
        member = parts.member

        def log_dump() -> None:
            _LOG.info("state dump", dump=dump_json(parts.dump()).decode())

        signals = ProgramSignals(self._stop.set, self._abort.set, log_dump)
        signals.install(asyncio.get_running_loop())
        syncing = asyncio.create_task(parts.sync.run())
        tasks = [
            asyncio.create_task(parts.router.run()),
            asyncio.create_task(parts.router.run_ticks()),
            syncing,
        ]
        parts.listener.start()
        _LOG.info(
            "started",
            name=member.name,
            failure_domain=member.failure_domain,
            address=member.address,
        )
        await self._wait_for_stop(tasks)
        graceful = await self._shut_down(parts, syncing)
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
        # A task ends by a fault only; the entry can't serve without it.
        done, _ = await asyncio.wait(
            [stopped, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        stopped.cancel()
        for task in tasks:
            if task in done:
                task.result()

    async def _shut_down(
        self, parts: EntryParts, syncing: asyncio.Task[None]
    ) -> bool:
        """Finish what is in progress; return False if it was cut off."""
        parts.state.stopping = True
        _LOG.info("stopping", requests=parts.callers.running)
        finishing = asyncio.create_task(finish(parts, syncing))
        aborted = asyncio.create_task(self._abort.wait())
        await asyncio.wait(
            [finishing, aborted],
            timeout=self._settings.stop_timeout_ms / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        aborted.cancel()
        if finishing.done():
            finishing.result()
            _LOG.info("stopped", name=parts.member.name)
            return True
        finishing.cancel()
        _LOG.warning("stop cut off", requests=parts.callers.running)
        return False


async def finish(parts: EntryParts, syncing: asyncio.Task[None]) -> None:
    """End an entry that refuses new requests already.

    The listener stays open until the requests in progress have ended, so
    that the load balancer reads "not ready" and callers get "not run"
    instead of a refused connection.
    """
    parts.listener.close_after_answers()
    await parts.callers.drain()
    await parts.listener.linger()
    await parts.listener.stop()
    # A report after the last one would ask for grants again.
    syncing.cancel()
    await asyncio.wait([syncing])
    await parts.sync.sync(stopping=True)
    await parts.endpoint_pool.close()
    await parts.entry_pool.close()
