"""Room for urgent tasks by eviction of batch tasks."""

import random

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import reservation
from sardinespool.placement.fleet import WorkerState
from sardinespool.placement.placing import PlacingPass
from sardinespool.placement.plan import Eviction
from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.tokens import TokenBucket


class Preemption:
    """Evicts batch tasks of normal priority for urgent tasks.

    An urgent task that waits for a stopping task claims that room, so that
    neither a second eviction nor another task takes it.
    """

    def __init__(
        self,
        settings: PolicySettings,
        placing: PlacingPass,
        budget: TokenBucket,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._placing = placing
        self._budget = budget
        self._rng = rng
        self.evictions: list[Eviction] = []
        self.evicted: set[str] = set()

    def make_room(
        self, task: TaskView, demand: Demand, workers: list[WorkerState]
    ) -> None:
        """Claim room that is coming free, or evict to make room."""
        if len(workers) > self._settings.candidates:
            workers = self._rng.sample(workers, self._settings.candidates)
        best: tuple[int, WorkerState, list[TaskView]] | None = None
        for worker in workers:
            victims = self._victims(worker, demand)
            if victims is None:
                continue
            if best is None or len(victims) < best[0]:
                best = (len(victims), worker, victims)
            if not victims:
                break
        if best is None or not self._budget.take(best[0]):
            return
        _, worker, victims = best
        for victim in victims:
            self.evicted.add(victim.task_id)
            self.evictions.append(
                Eviction(victim.task_id, "room for an urgent task")
            )
        worker.reserve(demand)
        self._placing.update(worker)

    def _victims(
        self, worker: WorkerState, demand: Demand
    ) -> list[TaskView] | None:
        """Return tasks to evict, none if room comes free, or None."""
        if demand.accelerators > worker.view.accelerators:
            return None
        room = [
            worker.free_processors_millicores,
            worker.free_memory_mb,
            worker.free_accelerators,
        ]
        eligible = []
        for task in worker.tasks:
            if task.state == "stopping" or task.task_id in self.evicted:
                self._add(room, task)
            elif task.job.kind == "batch" and task.job.priority != "urgent":
                eligible.append(task)
        # The youngest attempt loses the least work since its checkpoint.
        eligible.sort(key=lambda task: task.placed_unix_ms)
        victims = []
        while not self._enough(room, demand):
            if not eligible:
                return None
            victim = eligible.pop()
            victims.append(victim)
            self._add(room, victim)
        return victims

    def _add(self, room: list[int], task: TaskView) -> None:
        held = reservation(task, self._settings.usage_margin)
        room[0] += held.processors_millicores
        room[1] += held.memory_mb
        room[2] += held.accelerators

    def _enough(self, room: list[int], demand: Demand) -> bool:
        return (
            room[0] >= demand.processors_millicores
            and room[1] >= demand.memory_mb
            and room[2] >= demand.accelerators
        )
