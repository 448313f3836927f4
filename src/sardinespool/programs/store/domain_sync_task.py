"""Task that synchronises a domain group with the global group."""

import asyncio

from sardinespool.errors import SardinespoolError
from sardinespool.messages.jobs import DomainSync
from sardinespool.observability.logs import get_logger
from sardinespool.programs.store.group_runner import GroupRunner
from sardinespool.transport import system_clock
from sardinespool.transport.group_client import GroupClient

SYNC_INTERVAL_MS = 150
SYNC_TIMEOUT_MS = 2_000

_LOG = get_logger("store")


class DomainSyncTask:
    """Sends `SyncDomain` every 150 ms while this member leads its group.

    Parameters
    ----------
    runner : GroupRunner
        Runner of the domain group.
    client : GroupClient
        Client of the global group.
    """

    def __init__(self, runner: GroupRunner, client: GroupClient) -> None:
        self._runner = runner
        self._client = client
        self._reachable = False

    async def run(self) -> None:
        """Send sync requests until cancelled."""
        while True:
            await self._sync_once()
            await asyncio.sleep(SYNC_INTERVAL_MS / 1000)

    async def _sync_once(self) -> None:
        request = await self._runner.build_sync_request()
        if request is None:
            return
        try:
            reply = await self._client.call(
                request, system_clock.now().unix_ms + SYNC_TIMEOUT_MS
            )
        except SardinespoolError as error:
            if self._reachable:
                _LOG.warning(
                    "the global group can't be reached",
                    group=self._runner.group,
                    code=error.code,
                )
            self._reachable = False
            return
        self._reachable = True
        if isinstance(reply, DomainSync):
            await self._runner.handle_sync_reply(reply)
