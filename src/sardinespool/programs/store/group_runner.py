"""Task that owns one group."""

import asyncio

from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import SyncDomain
from sardinespool.programs.store.group_batches import GroupBatches
from sardinespool.programs.store.runner_events import CallReceived
from sardinespool.programs.store.runner_events import PeerReceived
from sardinespool.programs.store.runner_events import RunnerEvent
from sardinespool.programs.store.runner_events import SyncReceived
from sardinespool.programs.store.runner_events import SyncRequested
from sardinespool.programs.store.runner_events import TransferRequested
from sardinespool.programs.store.runner_events import Woken
from sardinespool.programs.store.sends import Durable
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.status import ReplicaStatus

TICK_INTERVAL_MS = 30
BATCH_EVENTS_MAX = 500
QUEUE_EVENTS_MAX = 10_000


class GroupRunner:
    """Runs one group: all events that wait are handled as one batch.

    Parameters
    ----------
    batches : GroupBatches
        The group, owned by this task.

    Attributes
    ----------
    group : str
        Name of the group.
    not_serving : asyncio.Event
        Set while this member does not lead with a valid lease.
    """

    def __init__(self, batches: GroupBatches) -> None:
        self.group = batches.group
        self.not_serving = batches.not_serving
        self._batches = batches
        self._queue: asyncio.Queue[RunnerEvent] = asyncio.Queue(
            QUEUE_EVENTS_MAX
        )

    @property
    def status(self) -> ReplicaStatus:
        """State of the replica."""
        return self._batches.status

    @property
    def serving(self) -> bool:
        """Whether this member leads and its lease is valid."""
        return self._batches.serving

    async def call(self, request: Request) -> Reply:
        """Serve a request of another process.

        Raises
        ------
        SardinespoolError
            The request is refused, or this member does not lead.
        """
        reply: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        await self._queue.put(CallReceived(request, reply))
        result = await reply
        # The process can have been frozen since the reply was made.
        if not self._batches.serving:
            raise self._batches.not_leader()
        return result

    def deliver(self, sender: str, message: PeerMessage) -> None:
        """Take a replication message; drop it if too many wait."""
        if not self._queue.full():
            self._queue.put_nowait(PeerReceived(sender, message))

    async def sync_request(self) -> SyncDomain | None:
        """Return the report to the global group, None if not leading."""
        request: asyncio.Future[SyncDomain | None] = (
            asyncio.get_running_loop().create_future()
        )
        await self._queue.put(SyncRequested(request))
        return await request

    async def sync_reply(self, reply: DomainSync) -> None:
        """Take the answer of the global group."""
        await self._queue.put(SyncReceived(reply))

    def wake(self) -> None:
        """Ask soon for the leader's own commands."""
        if self._queue.empty():
            self._queue.put_nowait(Woken())

    async def transfer_leadership(self) -> None:
        """Ask another member to lead, before this one stops."""
        await self._queue.put(TransferRequested())

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            while True:
                for durable in self._batches.steps(await self._next_batch()):
                    await self._persist(durable)
        finally:
            self._batches.close()

    async def _persist(self, durable: Durable) -> None:
        """Sync in a thread, so that other tasks go on meanwhile."""
        loop = asyncio.get_running_loop()
        sync = loop.run_in_executor(None, self._batches.persist, durable)
        try:
            await asyncio.shield(sync)
        except asyncio.CancelledError:
            # The files must not be closed under the thread.
            await asyncio.wait([sync])
            raise

    async def _next_batch(self) -> list[RunnerEvent]:
        batch: list[RunnerEvent] = []
        try:
            # asyncio.wait_for of Python 3.11 drops a cancellation that
            # arrives together with an event.
            async with asyncio.timeout(TICK_INTERVAL_MS / 1000):
                batch.append(await self._queue.get())
        except TimeoutError:
            return batch
        while len(batch) < BATCH_EVENTS_MAX and not self._queue.empty():
            batch.append(self._queue.get_nowait())
        return batch
