"""Event loop of one group."""

import asyncio

from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import SyncDomain
from sardinespool.programs.store.call_errors import not_leader_error
from sardinespool.programs.store.call_errors import reply_withheld_error
from sardinespool.programs.store.group_event_handler import GroupEventHandler
from sardinespool.programs.store.message_sending import DiskEffects
from sardinespool.programs.store.runner_events import CallReceived
from sardinespool.programs.store.runner_events import PeerMessageReceived
from sardinespool.programs.store.runner_events import RunnerEvent
from sardinespool.programs.store.runner_events import SyncReceived
from sardinespool.programs.store.runner_events import SyncRequested
from sardinespool.programs.store.runner_events import TransferRequested
from sardinespool.programs.store.runner_events import WakeRequested
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.status import ReplicaStatus

TICK_INTERVAL_MS = 30
BACKLOG_PAUSE_S = 0.001
BATCH_EVENTS_MAX = 500
QUEUE_EVENTS_MAX = 10_000


class GroupRunner:
    """Queues the events of one group and handles them in batches.

    Parameters
    ----------
    event_handler : GroupEventHandler
        Event handling of the group; used by this runner only.

    Attributes
    ----------
    group : str
        Name of the group.
    not_serving : asyncio.Event
        Set while this member does not lead with a valid lease.
    """

    def __init__(self, event_handler: GroupEventHandler) -> None:
        self.group = event_handler.group
        self.not_serving = event_handler.not_serving
        self._event_handler: GroupEventHandler | None = event_handler
        self._last_status = event_handler.status
        self._queue: asyncio.Queue[RunnerEvent] = asyncio.Queue(
            QUEUE_EVENTS_MAX
        )

    @property
    def status(self) -> ReplicaStatus:
        """Status of the replica; the last one once the runner ended."""
        if self._event_handler is None:
            return self._last_status
        return self._event_handler.status

    @property
    def serving(self) -> bool:
        """Whether this member leads and its lease is valid."""
        return self._event_handler is not None and self._event_handler.serving

    async def call(self, request: Request) -> Reply:
        """Handle a request from another process and return the reply.

        Raises
        ------
        ProposalLostError
            Leadership or its lease ended; the request may have taken effect.
        SardinespoolError
            The request is refused, or this member is not the leader.
        """
        reply: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        if self._event_handler is None:
            raise not_leader_error(self.group, self._last_status.leader)
        await self._queue.put(CallReceived(request, reply))
        result = await reply
        # The lease may have expired since, if the process was suspended.
        if not self.serving:
            raise reply_withheld_error(self.group)
        return result

    def deliver(self, sender: str, message: PeerMessage) -> None:
        """Queue a replication message; drop it if the queue is full."""
        if not self._queue.full():
            self._queue.put_nowait(PeerMessageReceived(sender, message))

    async def build_sync_request(self) -> SyncDomain | None:
        """Return the next sync request; None if this member does not lead."""
        request: asyncio.Future[SyncDomain | None] = (
            asyncio.get_running_loop().create_future()
        )
        await self._queue.put(SyncRequested(request))
        return await request

    async def handle_sync_reply(self, reply: DomainSync) -> None:
        """Queue the reply of the global group to a sync request."""
        await self._queue.put(SyncReceived(reply))

    def wake(self) -> None:
        """Run a batch soon, so that the service is ticked."""
        if self._queue.empty():
            self._queue.put_nowait(WakeRequested())

    async def transfer_leadership(self) -> None:
        """Start a transfer of leadership before this process stops."""
        await self._queue.put(TransferRequested())

    async def run(self) -> None:
        """Handle events until cancelled.

        Then the log, the state and the files are released, so that they can
        be loaded again without a second copy in memory.
        """
        handler = self._event_handler
        assert handler is not None
        batch: list[RunnerEvent] = []
        try:
            while True:
                batch = []
                if handler.backlog:
                    # Lets the event loop read and send messages.
                    await asyncio.sleep(BACKLOG_PAUSE_S)
                batch = await self._collect_batch(
                    0 if handler.backlog else TICK_INTERVAL_MS
                )
                for durable_effects in handler.handle_batch(batch):
                    await self._persist(handler, durable_effects)
        finally:
            self._last_status = handler.status
            self._event_handler = None
            # Answers the calls that were proposed.
            handler.close()
            self._refuse_calls(batch)

    def _refuse_calls(self, batch: list[RunnerEvent]) -> None:
        """Refuse the calls of an unfinished batch and those in the queue."""
        while not self._queue.empty():
            batch.append(self._queue.get_nowait())
        error = not_leader_error(self.group, self._last_status.leader)
        for event in batch:
            if isinstance(event, CallReceived) and not event.reply.done():
                event.reply.set_exception(error)

    async def _persist(
        self, handler: GroupEventHandler, durable_effects: DiskEffects
    ) -> None:
        """Persist in a thread, so that the event loop is not blocked."""
        loop = asyncio.get_running_loop()
        sync = loop.run_in_executor(None, handler.persist, durable_effects)
        try:
            await asyncio.shield(sync)
        except asyncio.CancelledError:
            # The thread still uses the files, so they must stay open.
            await asyncio.wait([sync])
            raise

    async def _collect_batch(self, wait_ms: int) -> list[RunnerEvent]:
        batch: list[RunnerEvent] = []
        try:
            # In Python 3.11, asyncio.wait_for swallows a cancellation that
            # arrives at the same time as an event.
            async with asyncio.timeout(wait_ms / 1000):
                batch.append(await self._queue.get())
        except TimeoutError:
            return batch
        while len(batch) < BATCH_EVENTS_MAX and not self._queue.empty():
            batch.append(self._queue.get_nowait())
        return batch
