"""Placement of queued tasks in one pass."""

import random
from collections.abc import Iterable

from sardinespool.messages.tasks import Placement
from sardinespool.messages.tasks import TaskView
from sardinespool.placement.candidates import CandidateIndex
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import task_class
from sardinespool.placement.fleet import Fleet
from sardinespool.placement.fleet import WorkerState
from sardinespool.placement.ordering import Quotas
from sardinespool.placement.scoring import PlacementCost
from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.usage import UsageModel

NO_RACKS: dict[str, int] = {}


class PlacingPass:
    """Chooses workers for tasks while capacity lasts.

    Free capacity only shrinks within a pass, so a demand that found no room
    rules out every larger one without another search.
    """

    def __init__(
        self,
        settings: PolicySettings,
        fleet: Fleet,
        quotas: Quotas,
        cost: PlacementCost,
        usage: UsageModel,
        rng: random.Random,
        workers: Iterable[WorkerState],
        probes: Iterable[WorkerState],
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._quotas = quotas
        self._cost = cost
        self._usage = usage
        self._rng = rng
        workers = list(workers)
        self._plain = CandidateIndex(
            worker for worker in workers if not worker.view.accelerators
        )
        self._accelerated = CandidateIndex(
            worker for worker in workers if worker.view.accelerators
        )
        self._probes = list(probes)
        self._full: list[Demand] = []
        self._scans_left = settings.full_scans_per_plan
        self.placements: list[Placement] = []

    def place(self, task: TaskView, demand: Demand) -> bool:
        """Place a task within its team's quota; return whether it was."""
        if not self._quotas.allow(task.job.team, demand):
            return False
        if self._probe(task, demand):
            return True
        if any(demand.covers(full) for full in self._full):
            return False
        worker = self._best(task, demand)
        if worker is None:
            return False
        self._start(task, demand, worker)
        self.update(worker)
        return True

    def update(self, worker: WorkerState) -> None:
        """Move a worker in the index after its free capacity changed."""
        if worker.probe:
            return
        if worker.view.accelerators:
            self._accelerated.update(worker)
        else:
            self._plain.update(worker)

    def _start(
        self, task: TaskView, demand: Demand, worker: WorkerState
    ) -> None:
        worker.start(task_class(task), demand, self._exposure(task, worker))
        self._fleet.charge(task.job.team, demand)
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

    def _exposure(self, task: TaskView, worker: WorkerState) -> float:
        expected = self._usage.expected_millicores(task)
        return expected / max(1, worker.view.processors_millicores)

    def _probe(self, task: TaskView, demand: Demand) -> bool:
        # Only a batch task of normal priority whose job has not failed yet:
        # a probe is likely to fail and its outcome should be clear.
        job = task.job
        if not self._probes or job.kind != "batch":
            return False
        if job.priority == "urgent" or task.failed_workers:
            return False
        for position, worker in enumerate(self._probes):
            if worker.fits(demand):
                del self._probes[position]
                self._start(task, demand, worker)
                return True
        return False

    def _best(self, task: TaskView, demand: Demand) -> WorkerState | None:
        found = self._candidates(demand)
        if not found:
            self._full = [
                full for full in self._full if not full.covers(demand)
            ]
            self._full.append(demand)
            return None
        allowed = [
            worker
            for worker in found
            if worker.view.worker_id not in task.failed_workers
        ]
        racks = NO_RACKS
        if task.job.kind == "latency-critical" and self._settings.has(
            "rack-spread"
        ):
            racks = self._fleet.job_racks.get(task.job.job_id, NO_RACKS)
        return min(
            allowed,
            key=lambda worker: self._cost.cost(
                task, demand, self._exposure(task, worker), worker, racks
            ),
            default=None,
        )

    def _candidates(self, demand: Demand) -> list[WorkerState]:
        count = self._settings.candidates
        indexes = [self._accelerated]
        if not demand.accelerators:
            indexes.insert(0, self._plain)
        for index in indexes:
            found = index.sample(demand, count, self._rng)
            if found:
                return found
        if self._scans_left > 0:
            self._scans_left -= 1
            for index in indexes:
                for worker in index.scan(demand):
                    return [worker]
        return []
