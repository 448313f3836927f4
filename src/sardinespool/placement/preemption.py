"""Eviction of batch tasks in favour of urgent tasks."""

import random

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import reservation
from sardinespool.placement.fleet import WorkerCapacity
from sardinespool.placement.placement_pass import PlacementPass
from sardinespool.placement.plan import Eviction
from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.token_bucket import TokenBucket


class Preemption:
    """Evicts batch tasks of normal priority in favour of urgent tasks.

    While an urgent task waits for a task to stop, the capacity is reserved
    for it, so that no further task is evicted for it and no other task is
    placed there.
    """

    def __init__(
        self,
        settings: PolicySettings,
        placement_pass: PlacementPass,
        eviction_budget: TokenBucket,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._placement_pass = placement_pass
        self._eviction_budget = eviction_budget
        self._rng = rng
        self.evictions: list[Eviction] = []
        self.evicted: set[str] = set()

    def reserve_or_evict(
        self, task: TaskView, demand: Demand, workers: list[WorkerCapacity]
    ) -> None:
        """Reserve capacity that is being freed, or evict tasks to free it."""
        if len(workers) > self._settings.candidates:
            workers = self._rng.sample(workers, self._settings.candidates)
        best: tuple[int, WorkerCapacity, list[TaskView]] | None = None
        for worker in workers:
            victims = self._victims(worker, demand)
            if victims is None:
                continue
            if best is None or len(victims) < best[0]:
                best = (len(victims), worker, victims)
            if not victims:
                break
        if best is None or not self._eviction_budget.take(best[0]):
            return
        _, worker, victims = best
        for victim in victims:
            self.evicted.add(victim.task_id)
            self.evictions.append(
                Eviction(victim.task_id, "room for an urgent task")
            )
        worker.reserve(demand)
        self._placement_pass.update(worker)

    def _victims(
        self, worker: WorkerCapacity, demand: Demand
    ) -> list[TaskView] | None:
        """Return the tasks to evict, or None if evictions can't suffice.

        The list is empty if tasks that already stop free enough capacity.
        """
        if demand.accelerators > worker.view.accelerators:
            return None
        available = [
            worker.free_processors_millicores,
            worker.free_memory_mb,
            worker.free_accelerators,
        ]
        eligible = []
        for task in worker.tasks:
            if task.state == "stopping" or task.task_id in self.evicted:
                self._add_reservation(available, task)
            elif task.job.kind == "batch" and task.job.priority != "urgent":
                eligible.append(task)
        # Evict the latest placement first: it loses the least work since its
        # checkpoint.
        eligible.sort(key=lambda task: task.placed_unix_ms)
        victims = []
        while not self._covers(available, demand):
            if not eligible:
                return None
            victim = eligible.pop()
            victims.append(victim)
            self._add_reservation(available, victim)
        return victims

    def _add_reservation(self, available: list[int], task: TaskView) -> None:
        reserved = reservation(task, self._settings.usage_margin)
        available[0] += reserved.processors_millicores
        available[1] += reserved.memory_mb
        available[2] += reserved.accelerators

    def _covers(self, available: list[int], demand: Demand) -> bool:
        return (
            available[0] >= demand.processors_millicores
            and available[1] >= demand.memory_mb
            and available[2] >= demand.accelerators
        )
