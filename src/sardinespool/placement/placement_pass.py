"""Selection of workers for queued tasks in one planning pass."""

import random
from collections.abc import Iterable

from sardinespool.messages.tasks import Placement
from sardinespool.messages.tasks import TaskView
from sardinespool.placement.candidates import CandidateIndex
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import task_class
from sardinespool.placement.fleet import FleetState
from sardinespool.placement.fleet import WorkerCapacity
from sardinespool.placement.ordering import Quotas
from sardinespool.placement.scoring import PlacementCost
from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.usage import UsageModel

NO_RACK_COUNTS: dict[str, int] = {}


class PlacementPass:
    """Selects workers for tasks and reserves the capacity.

    Free capacity only shrinks within a pass. So once a demand fits on no
    worker, demands that are at least as large are rejected without a search.
    """

    def __init__(
        self,
        settings: PolicySettings,
        fleet: FleetState,
        quotas: Quotas,
        cost: PlacementCost,
        usage: UsageModel,
        rng: random.Random,
        workers: Iterable[WorkerCapacity],
        probes: Iterable[WorkerCapacity],
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._quotas = quotas
        self._cost = cost
        self._usage_model = usage
        self._rng = rng
        workers = list(workers)
        self._without_accelerators = CandidateIndex(
            worker for worker in workers if not worker.view.accelerators
        )
        self._with_accelerators = CandidateIndex(
            worker for worker in workers if worker.view.accelerators
        )
        self._probes = list(probes)
        self._rejected_demands: list[Demand] = []
        self._remaining_full_scans = settings.full_scans_per_plan
        self.placements: list[Placement] = []

    def place(self, task: TaskView, demand: Demand) -> bool:
        """Place a task within its team's quota; return whether it did."""
        if not self._quotas.allow(task.job.team, demand):
            return False
        if self._place_probe(task, demand):
            return True
        if any(demand.covers(rejected) for rejected in self._rejected_demands):
            return False
        worker = self._select_worker(task, demand)
        if worker is None:
            return False
        self._record_placement(task, demand, worker)
        self.update(worker)
        return True

    def update(self, worker: WorkerCapacity) -> None:
        """Update the index after the free capacity of a worker changed."""
        if worker.probe:
            return
        if worker.view.accelerators:
            self._with_accelerators.update(worker)
        else:
            self._without_accelerators.update(worker)

    def _record_placement(
        self, task: TaskView, demand: Demand, worker: WorkerCapacity
    ) -> None:
        worker.start(
            task_class(task), demand, self._processor_share(task, worker)
        )
        self._fleet.add_team_use(task.job.team, demand)
        if task.job.kind == "latency-critical":
            self._fleet.count_rack(task.job.job_id, worker.view.rack)
        self.placements.append(
            Placement(
                task_id=task.task_id,
                worker_id=worker.view.worker_id,
                expected_attempt=task.attempt,
                processors_millicores=demand.processors_millicores,
                memory_mb=demand.memory_mb,
            )
        )

    def _processor_share(
        self, task: TaskView, worker: WorkerCapacity
    ) -> float:
        expected = self._usage_model.expected_millicores(task)
        return expected / max(1, worker.view.processors_millicores)

    def _place_probe(self, task: TaskView, demand: Demand) -> bool:
        # Only batch tasks of normal priority without failures: a probe is
        # likely to fail, and its result has to be attributable to the worker.
        job = task.job
        if not self._probes or job.kind != "batch":
            return False
        if job.priority == "urgent" or task.failed_workers:
            return False
        for list_index, worker in enumerate(self._probes):
            if worker.fits(demand):
                del self._probes[list_index]
                self._record_placement(task, demand, worker)
                return True
        return False

    def _select_worker(
        self, task: TaskView, demand: Demand
    ) -> WorkerCapacity | None:
        fitting = self._candidates(demand)
        if not fitting:
            self._rejected_demands = [
                rejected
                for rejected in self._rejected_demands
                if not rejected.covers(demand)
            ]
            self._rejected_demands.append(demand)
            return None
        eligible = [
            worker
            for worker in fitting
            if worker.view.worker_id not in task.failed_workers
        ]
        rack_counts = NO_RACK_COUNTS
        if task.job.kind == "latency-critical" and self._settings.has(
            "rack-spread"
        ):
            rack_counts = self._fleet.job_racks.get(
                task.job.job_id, NO_RACK_COUNTS
            )
        return min(
            eligible,
            key=lambda worker: self._cost.cost(
                task,
                demand,
                self._processor_share(task, worker),
                worker,
                rack_counts,
            ),
            default=None,
        )

    def _candidates(self, demand: Demand) -> list[WorkerCapacity]:
        count = self._settings.candidates
        indexes = [self._with_accelerators]
        if not demand.accelerators:
            indexes.insert(0, self._without_accelerators)
        for index in indexes:
            fitting = index.sample(demand, count, self._rng)
            if fitting:
                return fitting
        if self._remaining_full_scans > 0:
            self._remaining_full_scans -= 1
            for index in indexes:
                for worker in index.scan(demand):
                    return [worker]
        return []
