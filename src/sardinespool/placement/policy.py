"""Placement policy of one failure domain."""

import random
from typing import Any

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import declared_demand
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import reservation
from sardinespool.placement.estimates import ShrunkenMeans
from sardinespool.placement.failure_attribution import FailureAttribution
from sardinespool.placement.feasibility import Feasibility
from sardinespool.placement.fleet import FleetState
from sardinespool.placement.fleet import WorkerCapacity
from sardinespool.placement.interference import InterferenceModel
from sardinespool.placement.interference_control import InterferenceControl
from sardinespool.placement.ordering import order_tasks
from sardinespool.placement.ordering import priority_rank
from sardinespool.placement.ordering import Quotas
from sardinespool.placement.placement_pass import PlacementPass
from sardinespool.placement.plan import Eviction
from sardinespool.placement.plan import Plan
from sardinespool.placement.plan import TaskFailure
from sardinespool.placement.preemption import Preemption
from sardinespool.placement.ramp import StartRamp
from sardinespool.placement.scoring import PlacementCost
from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.token_bucket import TokenBucket
from sardinespool.placement.usage import UsageModel


class PlacementPolicy:
    """Decides placements, evictions, throttles and failures.

    The learned state may be lost at any time: a new policy starts from the
    priors and learns from the views that follow.

    Parameters
    ----------
    settings : PolicySettings
        Parameters and enabled parts.
    seed : int
        Seed of the random sampling of workers and tasks.
    model : InterferenceModel, optional
        Replaces the learned model. Benchmarks pass the true model to get an
        upper bound.
    """

    def __init__(
        self,
        settings: PolicySettings,
        seed: int,
        model: InterferenceModel | None = None,
    ) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._model = model or InterferenceModel(
            settings,
            ShrunkenMeans[tuple[str, str]](
                settings.prior_excess,
                settings.prior_excess,
                settings.prior_weight,
                settings.half_life_ms,
                settings.confidence,
            ),
            self._rng,
        )
        self._usage_model = UsageModel(settings, self._rng)
        self._placement_cost = PlacementCost(settings, self._model)
        self._interference_control = InterferenceControl(settings, self._model)
        self._failure_attribution = FailureAttribution(settings)
        self._ramp = StartRamp(settings)
        self._eviction_budget = TokenBucket()

    def plan(self, view: SchedulingView) -> Plan:
        """Return the decisions for one view of the domain."""
        settings = self._settings
        fleet = FleetState(view, settings.usage_margin)
        self._learn(fleet)
        startable = (
            view.in_service
            and view.unix_ms
            < view.start_permit_deadline_unix_ms - CLOCK_ERROR_MS
        )
        self._ramp.update(
            startable, fleet.active_tasks, len(fleet.workers), view.unix_ms
        )
        self._refill_eviction_budget(fleet)
        if not view.in_service:
            # The group itself checkpoints and stops the running tasks, in the
            # order of their finish deadlines.
            return Plan()
        workers = fleet.usable()
        quarantined = {
            worker.view.worker_id
            for worker in workers
            if self._failure_attribution.is_quarantined(worker)
        }
        failures = self._tasks_to_fail(fleet, quarantined)
        evicted: set[str] = set()
        evictions: list[Eviction] = []
        quotas = Quotas(view.quotas, fleet)
        feasibility = Feasibility(fleet, quotas)
        placement_pass = self._create_placement_pass(
            fleet, quotas, quarantined
        )
        if startable:
            preemption = Preemption(
                settings, placement_pass, self._eviction_budget, self._rng
            )
            failing_task_ids = {failure.task_id for failure in failures}
            self._place_tasks(
                fleet,
                [
                    task
                    for task in fleet.queued
                    if task.task_id not in failing_task_ids
                ],
                quotas,
                feasibility,
                placement_pass,
                preemption,
                quarantined,
            )
            evicted |= preemption.evicted
            evictions += preemption.evictions
        self._interference_control.decide(
            fleet, self._eviction_budget, evicted
        )
        return Plan(
            placements=tuple(placement_pass.placements),
            evictions=tuple(evictions + self._interference_control.evictions),
            throttles=tuple(self._interference_control.throttles),
            failures=failures,
            unplaceable=feasibility.unplaceable(),
        )

    def describe(self) -> dict[str, Any]:
        """Return the learned state for the state dump."""
        return {
            "baselines_ms": dict(self._model.baselines_ms),
            "eviction_tokens": self._eviction_budget.available(),
            "pair_estimates": self._model.describe(),
        }

    def _learn(self, fleet: FleetState) -> None:
        self._model.observe(fleet)
        if self._settings.has("usage"):
            self._usage_model.observe(fleet)
        self._placement_cost.start_pass()

    def _refill_eviction_budget(self, fleet: FleetState) -> None:
        count = len(fleet.workers)
        if not self._settings.has("eviction-budget"):
            self._eviction_budget.refill(1e6, 1e6, fleet.unix_ms)
            return
        self._eviction_budget.refill(
            self._settings.evictions_per_worker_minute * count / 60.0,
            max(4.0, self._settings.eviction_burst_share * count),
            fleet.unix_ms,
        )

    def _tasks_to_fail(
        self, fleet: FleetState, quarantined: set[str]
    ) -> tuple[TaskFailure, ...]:
        failing = self._failure_attribution.failing_jobs(fleet, quarantined)
        if not failing:
            return ()
        return tuple(
            TaskFailure(
                task.task_id,
                f"job failed on workers {', '.join(sorted(workers))}",
            )
            for task in fleet.queued
            if (workers := failing.get(task.job.job_id)) is not None
        )

    def _create_placement_pass(
        self, fleet: FleetState, quotas: Quotas, quarantined: set[str]
    ) -> PlacementPass:
        healthy: list[WorkerCapacity] = []
        probes: list[WorkerCapacity] = []
        for worker in fleet.usable():
            if worker.view.worker_id not in quarantined:
                healthy.append(worker)
            elif self._failure_attribution.is_probe_due(worker, fleet.unix_ms):
                worker.probe = True
                probes.append(worker)
        return PlacementPass(
            self._settings,
            fleet,
            quotas,
            self._placement_cost,
            self._usage_model,
            self._rng,
            healthy,
            probes,
        )

    def _place_tasks(
        self,
        fleet: FleetState,
        tasks: list[TaskView],
        quotas: Quotas,
        feasibility: Feasibility,
        placement_pass: PlacementPass,
        preemption: Preemption,
        quarantined: set[str],
    ) -> None:
        settings = self._settings
        limit = self._ramp.limit_starts(settings.placements_per_plan)
        preemption_workers = [
            worker
            for worker in fleet.usable()
            if worker.view.worker_id not in quarantined
        ]
        tasks_in_order = (
            order_tasks(tasks, quotas, fleet.unix_ms)
            if settings.has("order")
            else iter(sorted(tasks, key=lambda task: task.queued_unix_ms))
        )
        demands_by_job: dict[str, Demand | None] = {}
        blocked_jobs: set[str] = set()
        for task in tasks_in_order:
            job_id = task.job.job_id
            if job_id in blocked_jobs:
                continue
            if task.observed_memory_mb or job_id not in demands_by_job:
                demands_by_job[job_id] = self._demand_to_reserve(
                    feasibility, task
                )
            demand = demands_by_job[job_id]
            if demand is None or len(placement_pass.placements) >= limit:
                continue
            if placement_pass.place(task, demand):
                continue
            if priority_rank(task) > 0:
                # Free capacity and quotas only shrink within a pass, so the
                # other tasks of the job can't be placed either.
                if not task.failed_workers:
                    blocked_jobs.add(job_id)
            elif settings.has("preemption") and quotas.allow(
                task.job.team, demand
            ):
                preemption.reserve_or_evict(task, demand, preemption_workers)
        self._ramp.record_starts(len(placement_pass.placements))

    def _demand_to_reserve(
        self, feasibility: Feasibility, task: TaskView
    ) -> Demand | None:
        """Return the demand to reserve, or None if the task can never run.

        The size learned for the class is used only if an empty worker could
        hold it.
        """
        base_demand = feasibility.clamp(
            reservation(task, self._settings.usage_margin),
            declared_demand(task),
        )
        if not feasibility.check(task, base_demand):
            return None
        learned_demand = self._usage_model.size_demand(task, base_demand)
        return (
            learned_demand
            if feasibility.fits_empty_worker(learned_demand)
            else base_demand
        )
