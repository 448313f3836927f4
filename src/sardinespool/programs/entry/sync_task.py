"""Periodic synchronisation of the entry with its domain group."""

import asyncio
from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import EntryView
from sardinespool.observability.logs import get_logger
from sardinespool.programs.entry.entry_metrics import EntryMetrics
from sardinespool.programs.entry.entry_state import EntryState
from sardinespool.programs.entry.groups import Groups
from sardinespool.programs.entry.router_task import RouterTask
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.router_events import ViewReceived
from sardinespool.settings.model import EntryMember

SYNC_INTERVAL_MS = 250
SYNC_TIMEOUT_MS = 1_000
_FAILURES_UNTIL_UNREACHABLE = 2

_LOG = get_logger("entry")


class SyncTask:
    """Sends `EntrySync` every 250 ms and passes the view to the router.

    While the group is unreachable the router keeps using the last view;
    grants expire at their own deadlines.

    Parameters
    ----------
    member : EntryMember
        This entry.
    groups : Groups
        Clients of all groups.
    router : RouterTask
        Receives the views.
    keys : KeySource
        Updated with the incarnation and reachability of the group.
    state : EntryState
        Marked as synchronised after the first success.
    clock : callable
        Returns the current instant.
    metrics : EntryMetrics
        Metrics of the process.
    """

    def __init__(
        self,
        member: EntryMember,
        groups: Groups,
        router: RouterTask,
        keys: KeySource,
        state: EntryState,
        clock: Callable[[], Instant],
        metrics: EntryMetrics,
    ) -> None:
        self._member = member
        self._groups = groups
        self._router = router
        self._keys = keys
        self._state = state
        self._clock = clock
        self._metrics = metrics
        self._consecutive_failures = 0
        self._incarnation = clock().unix_ms

    async def run(self) -> None:
        """Synchronise until cancelled."""
        while True:
            started = self._clock()
            await self.sync()
            elapsed_ms = self._clock().boot_ms - started.boot_ms
            await asyncio.sleep(max(0, SYNC_INTERVAL_MS - elapsed_ms) / 1000)

    async def sync(self, stopping: bool = False) -> bool:
        """Synchronise once; return whether the group answered."""
        router = self._router.router
        now = self._clock()
        request = EntrySync(
            entry_id=self._member.name,
            address=self._member.address,
            known_version=router.table.version,
            known_table_version=router.table.table_version,
            demands=router.table.collect_demands(router.queued_by_service()),
            queued=router.queued(),
            stopping=stopping,
            incarnation=self._incarnation,
        )
        try:
            view = await self._groups.call(
                self._member.failure_domain,
                request,
                now.unix_ms + SYNC_TIMEOUT_MS,
                EntryView,
            )
        except SardinespoolError as error:
            self._record_failure(error)
            return False
        self._router.post(ViewReceived(view))
        await self._router.synced.wait()
        self._record_success(view)
        return True

    def _record_success(self, view: EntryView) -> None:
        now = self._clock()
        if not self._state.synced or self._consecutive_failures:
            _LOG.info(
                "synchronised with the domain group",
                failure_domain=self._member.failure_domain,
                version=view.version,
                table_version=view.table_version,
            )
        self._consecutive_failures = 0
        self._keys.group_incarnation = view.group_incarnation
        self._keys.own_group_reachable = True
        self._state.synced = True
        router = self._router.router
        metrics = self._metrics
        metrics.syncs.inc(result="ok")
        metrics.version.set(view.version)
        metrics.sync_age_ms.set(0)
        metrics.clock_difference_ms.set(view.unix_ms - now.unix_ms)
        metrics.queued.set(router.queued())
        metrics.in_progress.set(router.in_progress())

    def _record_failure(self, error: SardinespoolError) -> None:
        self._consecutive_failures += 1
        if self._consecutive_failures == 1:
            _LOG.warning(
                "synchronisation with the domain group failed",
                failure_domain=self._member.failure_domain,
                code=error.code,
            )
        if self._consecutive_failures >= _FAILURES_UNTIL_UNREACHABLE:
            self._keys.own_group_reachable = False
        self._metrics.syncs.inc(result=error.code)
        synced_boot_ms = self._router.router.table.synced_boot_ms
        if synced_boot_ms is not None:
            age_ms = self._clock().boot_ms - synced_boot_ms
            self._metrics.sync_age_ms.set(age_ms)
