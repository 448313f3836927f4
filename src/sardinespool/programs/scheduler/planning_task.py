"""The loop that reads the domain's state, plans and sends decisions."""

import asyncio
from collections.abc import Callable
from typing import Any

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.tasks import SchedulerSync
from sardinespool.messages.tasks import SchedulingView
from sardinespool.observability.logs import get_logger
from sardinespool.placement.plan import Plan
from sardinespool.placement.plan import UnplaceableJob
from sardinespool.placement.policy import PlacementPolicy
from sardinespool.programs.scheduler.plan_sender import Caller
from sardinespool.programs.scheduler.plan_sender import send_plan
from sardinespool.programs.scheduler.scheduler_metrics import SchedulerMetrics

CALL_TIMEOUT_MS = 2_000
"""Below the start permit's 2,500 ms: a later plan could start nothing."""

READY_AGE_MS = 5_000
"""A scheduler whose last pass is older is not ready."""

_LOG = get_logger("scheduler")


class PlanningTask:
    """Owns the policy of one failure domain.

    Parameters
    ----------
    scheduler_id : str
        Name of the process.
    caller : Caller
        Client of the domain's group.
    policy : PlacementPolicy
        The policy; its state is rebuilt after a restart.
    metrics : SchedulerMetrics
        Series to update.
    now : callable
        Reads the clocks.
    interval_ms : int
        Time from the start of a pass to that of the next.
    """

    def __init__(
        self,
        scheduler_id: str,
        caller: Caller,
        policy: PlacementPolicy,
        metrics: SchedulerMetrics,
        now: Callable[[], Instant],
        interval_ms: int,
    ) -> None:
        self._scheduler_id = scheduler_id
        self._caller = caller
        self._policy = policy
        self._metrics = metrics
        self._now = now
        self._interval_ms = interval_ms
        self._version = 0
        self._passed_boot_ms: int | None = None
        self._failure_code = ""
        self._unplaceable: tuple[UnplaceableJob, ...] = ()
        self._last: dict[str, Any] = {}

    async def run(self, stopping: asyncio.Event) -> None:
        """Plan at every interval until `stopping` is set."""
        while not stopping.is_set():
            started = self._now()
            await self.run_pass()
            elapsed_ms = self._now().boot_ms - started.boot_ms
            wait_ms = max(0, self._interval_ms - elapsed_ms)
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await stopping.wait()
            except TimeoutError:
                continue

    async def run_pass(self) -> None:
        """Read, plan and send once; a failed call is logged and counted."""
        try:
            await self._read_and_plan()
        except SardinespoolError as error:
            self._metrics.pass_failures.inc(code=error.code)
            if error.code != self._failure_code:
                _LOG.warning("pass failed", code=error.code, reason=error.text)
            self._failure_code = error.code
            return
        if self._failure_code:
            _LOG.info("passes succeed again", after=self._failure_code)
        self._failure_code = ""
        self._passed_boot_ms = self._now().boot_ms

    def is_ready(self) -> bool:
        """Return whether a pass succeeded a short time ago."""
        return (
            self._passed_boot_ms is not None
            and self._now().boot_ms - self._passed_boot_ms <= READY_AGE_MS
        )

    def dump(self) -> dict[str, Any]:
        """Return the last pass for the state dump."""
        return {
            "scheduler_id": self._scheduler_id,
            "ready": self.is_ready(),
            "failure_code": self._failure_code,
            "unplaceable": self._unplaceable,
            "last_pass": self._last,
            "policy": self._policy.describe(),
        }

    async def _read_and_plan(self) -> None:
        reply = await self._caller.call(
            SchedulerSync(
                scheduler_id=self._scheduler_id,
                configuration_version=self._version,
            ),
            self._now().unix_ms + CALL_TIMEOUT_MS,
        )
        if not isinstance(reply, SchedulingView):
            raise InvalidMessageError(
                "The group answered a sync with another message.",
                reply=type(reply).__name__,
            )
        self._version = reply.configuration_version
        started = self._now()
        plan = self._policy.plan(reply)
        self._note(reply, plan, self._now().boot_ms - started.boot_ms)
        refused = await send_plan(
            self._caller,
            plan,
            self._scheduler_id,
            self._now().unix_ms + CALL_TIMEOUT_MS,
        )
        for result in refused:
            self._metrics.refused_placements.inc(code=result.code)
            _LOG.debug(
                "placement refused", task=result.task_id, code=result.code
            )

    def _note(self, view: SchedulingView, plan: Plan, plan_ms: int) -> None:
        metrics = self._metrics
        metrics.passes.inc()
        metrics.plan_ms.observe(plan_ms)
        queued = sum(task.state == "queued" for task in view.tasks)
        metrics.queued_tasks.set(queued)
        metrics.unplaceable_jobs.set(len(plan.unplaceable))
        counts = {
            "placement": len(plan.placements),
            "eviction": len(plan.evictions),
            "throttle": len(plan.throttles),
            "failure": len(plan.failures),
        }
        for kind, count in counts.items():
            metrics.decisions.add(count, kind=kind)
        self._last = {
            "unix_ms": view.unix_ms,
            "version": view.configuration_version,
            "plan_ms": plan_ms,
            "queued": queued,
            **counts,
        }
        known = set(self._unplaceable)
        for job in plan.unplaceable:
            if job not in known:
                _LOG.warning(
                    "job fits no worker", job=job.job_id, reason=job.reason
                )
        self._unplaceable = plan.unplaceable
