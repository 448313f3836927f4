"""Task that reports a failure domain to the global group."""

import asyncio

from sardinespool.errors import SardinespoolError
from sardinespool.messages.jobs import DomainSync
from sardinespool.observability.logs import get_logger
from sardinespool.programs.store.group_runner import GroupRunner
from sardinespool.transport import system_clock
from sardinespool.transport.rpc_client import GroupClient

SYNC_INTERVAL_MS = 150
SYNC_TIMEOUT_MS = 2_000

_LOG = get_logger("store")


class DomainLink:
    """Calls `SyncDomain` every 150 ms while this member leads its group.

    Parameters
    ----------
    runner : GroupRunner
        The domain group.
    client : GroupClient
        Client of the global group.
    """

    def __init__(self, runner: GroupRunner, client: GroupClient) -> None:
        self._runner = runner
        self._client = client
        self._connected = False

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await self._sync()
            await asyncio.sleep(SYNC_INTERVAL_MS / 1000)

    async def _sync(self) -> None:
        request = await self._runner.sync_request()
        if request is None:
            return
        try:
            reply = await self._client.call(
                request, system_clock.now().unix_ms + SYNC_TIMEOUT_MS
            )
        except SardinespoolError as error:
            if self._connected:
                _LOG.warning(
                    "the global group can't be reached",
                    group=self._runner.group,
                    code=error.code,
                )
            self._connected = False
            return
        self._connected = True
        if isinstance(reply, DomainSync):
            await self._runner.sync_reply(reply)
