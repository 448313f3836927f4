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
from sardinespool.placement.feasibility import Feasibility
from sardinespool.placement.fleet import Fleet
from sardinespool.placement.fleet import WorkerState
from sardinespool.placement.health import FailureAttribution
from sardinespool.placement.interference import InterferenceModel
from sardinespool.placement.noise import NoiseControl
from sardinespool.placement.ordering import ordered
from sardinespool.placement.ordering import Quotas
from sardinespool.placement.ordering import rank
from sardinespool.placement.placing import PlacingPass
from sardinespool.placement.plan import Eviction
from sardinespool.placement.plan import Plan
from sardinespool.placement.plan import TaskFailure
from sardinespool.placement.preemption import Preemption
from sardinespool.placement.ramp import StartRamp
from sardinespool.placement.scoring import PlacementCost
from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.tokens import TokenBucket
from sardinespool.placement.usage import UsageModel


class PlacementPolicy:
    """Decides placements, evictions, throttles and failures.

    What it learns between calls can be lost at any time: a new policy starts
    from the priors and learns again from the following views.

    Parameters
    ----------
    settings : PolicySettings
        Parameters and parts in use.
    seed : int
        Seed of the sampling of candidates.
    model : InterferenceModel, optional
        Replaces the learned model; used for the upper bound in
        measurements.
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
        self._usage = UsageModel(settings, self._rng)
        self._cost = PlacementCost(settings, self._model)
        self._noise = NoiseControl(settings, self._model)
        self._health = FailureAttribution(settings)
        self._ramp = StartRamp(settings)
        self._budget = TokenBucket()

    def plan(self, view: SchedulingView) -> Plan:
        """Plan one pass over a view of the domain."""
        settings = self._settings
        fleet = Fleet(view, settings.usage_margin)
        self._learn(fleet)
        startable = (
            view.in_service
            and view.unix_ms
            < view.start_permit_deadline_unix_ms - CLOCK_ERROR_MS
        )
        self._ramp.update(
            startable, fleet.active_tasks, len(fleet.workers), view.unix_ms
        )
        self._refill_budget(fleet)
        if not view.in_service:
            # The group itself checkpoints the running tasks, by deadline.
            return Plan()
        workers = fleet.usable()
        quarantined = {
            worker.view.worker_id
            for worker in workers
            if self._health.quarantined(worker)
        }
        failures = self._failures(fleet, quarantined)
        evicted: set[str] = set()
        evictions: list[Eviction] = []
        quotas = Quotas(view.quotas, fleet)
        feasibility = Feasibility(fleet, quotas)
        placing = self._placing(fleet, quotas, quarantined)
        if startable:
            preemption = Preemption(settings, placing, self._budget, self._rng)
            skipped = {failure.task_id for failure in failures}
            self._place(
                fleet,
                [task for task in fleet.queued if task.task_id not in skipped],
                quotas,
                feasibility,
                placing,
                preemption,
                quarantined,
            )
            evicted |= preemption.evicted
            evictions += preemption.evictions
        self._noise.decide(fleet, self._budget, evicted)
        return Plan(
            placements=tuple(placing.placements),
            evictions=tuple(evictions + self._noise.evictions),
            throttles=tuple(self._noise.throttles),
            failures=failures,
            unplaceable=feasibility.unplaceable(),
        )

    def describe(self) -> dict[str, Any]:
        """Return the learned state for the state dump."""
        return {
            "baselines_ms": dict(self._model.baselines_ms),
            "eviction_tokens": self._budget.available(),
            "pair_estimates": self._model.describe(),
        }

    def _learn(self, fleet: Fleet) -> None:
        self._model.observe(fleet)
        if self._settings.has("usage"):
            self._usage.observe(fleet)
        self._cost.start_pass()

    def _refill_budget(self, fleet: Fleet) -> None:
        count = len(fleet.workers)
        if not self._settings.has("eviction-budget"):
            self._budget.refill(1e6, 1e6, fleet.unix_ms)
            return
        self._budget.refill(
            self._settings.evictions_per_worker_minute * count / 60.0,
            max(4.0, self._settings.eviction_burst_share * count),
            fleet.unix_ms,
        )

    def _failures(
        self, fleet: Fleet, quarantined: set[str]
    ) -> tuple[TaskFailure, ...]:
        failing = self._health.failing_jobs(fleet, quarantined)
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

    def _placing(
        self, fleet: Fleet, quotas: Quotas, quarantined: set[str]
    ) -> PlacingPass:
        healthy: list[WorkerState] = []
        probes: list[WorkerState] = []
        for worker in fleet.usable():
            if worker.view.worker_id not in quarantined:
                healthy.append(worker)
            elif self._health.probe_due(worker, fleet.unix_ms):
                worker.probe = True
                probes.append(worker)
        return PlacingPass(
            self._settings,
            fleet,
            quotas,
            self._cost,
            self._usage,
            self._rng,
            healthy,
            probes,
        )

    def _place(
        self,
        fleet: Fleet,
        tasks: list[TaskView],
        quotas: Quotas,
        feasibility: Feasibility,
        placing: PlacingPass,
        preemption: Preemption,
        quarantined: set[str],
    ) -> None:
        settings = self._settings
        limit = self._ramp.allowance(settings.placements_per_plan)
        targets = [
            worker
            for worker in fleet.usable()
            if worker.view.worker_id not in quarantined
        ]
        queue = (
            ordered(tasks, quotas, fleet.unix_ms)
            if settings.has("order")
            else iter(sorted(tasks, key=lambda task: task.queued_unix_ms))
        )
        sizes: dict[str, Demand | None] = {}
        blocked: set[str] = set()
        for task in queue:
            job_id = task.job.job_id
            if job_id in blocked:
                continue
            if task.observed_memory_mb or job_id not in sizes:
                sizes[job_id] = self._demand(feasibility, task)
            demand = sizes[job_id]
            if demand is None or len(placing.placements) >= limit:
                continue
            if placing.place(task, demand):
                continue
            if rank(task) > 0:
                # Room and quotas only shrink within a pass.
                if not task.failed_workers:
                    blocked.add(job_id)
            elif settings.has("preemption") and quotas.allow(
                task.job.team, demand
            ):
                preemption.make_room(task, demand, targets)
        self._ramp.started(len(placing.placements))

    def _demand(
        self, feasibility: Feasibility, task: TaskView
    ) -> Demand | None:
        """Return what to reserve for a task, None if it can never run.

        The learned size is used only if some worker could hold it.
        """
        own = feasibility.clamp(
            reservation(task, self._settings.usage_margin),
            declared_demand(task),
        )
        if not feasibility.check(task, own):
            return None
        sized = self._usage.size(task, own)
        return sized if feasibility.fits_empty(sized) else own
