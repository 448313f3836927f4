"""Planning loop: read the state of the domain, plan, send decisions."""

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
from sardinespool.programs.scheduler.plan_sender import GroupCaller
from sardinespool.programs.scheduler.plan_sender import send_plan
from sardinespool.programs.scheduler.scheduler_metrics import SchedulerMetrics

CALL_TIMEOUT_MS = 2_000
"""Below the 2,500 ms of a start permit; a plan sent later starts no task."""

READY_PASS_AGE_MAX_MS = 5_000
"""Longest time since a successful pass for the scheduler to be ready."""

_LOG = get_logger("scheduler")


class PlanningTask:
    """Runs the placement policy of one failure domain periodically.

    Parameters
    ----------
    scheduler_id : str
        Name of the scheduler process.
    caller : Caller
        Client of the domain's group.
    policy : PlacementPolicy
        Placement policy; its state is rebuilt after a restart.
    metrics : SchedulerMetrics
        Metrics of the scheduler.
    now : callable
        Returns the current instant.
    interval_ms : int
        Time between the starts of two passes.
    """

    def __init__(
        self,
        scheduler_id: str,
        caller: GroupCaller,
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
        self._configuration_version = 0
        self._last_success_boot_ms: int | None = None
        self._failure_code = ""
        self._unplaceable: tuple[UnplaceableJob, ...] = ()
        self._last_pass: dict[str, Any] = {}

    async def run(self, stopping: asyncio.Event) -> None:
        """Run a pass at every interval until `stopping` is set."""
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
        """Run one planning pass; log and count a failed call."""
        try:
            await self._read_and_plan()
        except SardinespoolError as error:
            self._metrics.pass_failures.inc(code=error.code)
            if error.code != self._failure_code:
                _LOG.warning(
                    "planning pass failed", code=error.code, reason=error.text
                )
            self._failure_code = error.code
            return
        if self._failure_code:
            _LOG.info(
                "planning passes succeed again", after=self._failure_code
            )
        self._failure_code = ""
        self._last_success_boot_ms = self._now().boot_ms

    def is_ready(self) -> bool:
        """Return whether a pass succeeded recently enough."""
        return (
            self._last_success_boot_ms is not None
            and self._now().boot_ms - self._last_success_boot_ms
            <= READY_PASS_AGE_MAX_MS
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the scheduler for the state dump."""
        return {
            "scheduler_id": self._scheduler_id,
            "ready": self.is_ready(),
            "failure_code": self._failure_code,
            "unplaceable": self._unplaceable,
            "last_pass": self._last_pass,
            "policy": self._policy.describe(),
        }

    async def _read_and_plan(self) -> None:
        reply = await self._caller.call(
            SchedulerSync(
                scheduler_id=self._scheduler_id,
                configuration_version=self._configuration_version,
            ),
            self._now().unix_ms + CALL_TIMEOUT_MS,
        )
        if not isinstance(reply, SchedulingView):
            raise InvalidMessageError(
                "The group answered a sync with another message.",
                reply=type(reply).__name__,
            )
        self._configuration_version = reply.configuration_version
        started = self._now()
        plan = self._policy.plan(reply)
        self._record_pass(reply, plan, self._now().boot_ms - started.boot_ms)
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

    def _record_pass(
        self, view: SchedulingView, plan: Plan, plan_ms: int
    ) -> None:
        metrics = self._metrics
        metrics.passes.inc()
        metrics.plan_ms.observe(plan_ms)
        queued = sum(task.state == "queued" for task in view.tasks)
        metrics.queued_tasks.set(queued)
        metrics.unplaceable_jobs.set(len(plan.unplaceable))
        decision_counts = {
            "placement": len(plan.placements),
            "eviction": len(plan.evictions),
            "throttle": len(plan.throttles),
            "failure": len(plan.failures),
        }
        for kind, count in decision_counts.items():
            metrics.decisions.add(count, kind=kind)
        self._last_pass = {
            "unix_ms": view.unix_ms,
            "version": view.configuration_version,
            "plan_ms": plan_ms,
            "queued": queued,
            **decision_counts,
        }
        previous = set(self._unplaceable)
        for job in plan.unplaceable:
            if job not in previous:
                _LOG.warning(
                    "job fits no worker", job=job.job_id, reason=job.reason
                )
        self._unplaceable = plan.unplaceable
