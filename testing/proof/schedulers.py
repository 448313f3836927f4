"""Simulated schedulers, which often exceed the capacity of a worker."""

from typing import Any

from sardinespool.messages import tasks
from testing.proof.engine import Coroutine
from testing.proof.engine import Host

PLAN_INTERVAL_MS = 500
CALL_TIMEOUT_MS = 2_000
OVERCOMMIT_PROBABILITY = 0.3
"""Probability that a placement ignores the free capacity."""

RESERVING_STATES = ("placed", "running", "stopping")


class SchedulerHost(Host):
    """Places queued tasks in order; each domain has several schedulers."""

    def __init__(self, world: Any, name: str, domain: str) -> None:
        super().__init__(world, name, domain)
        self.evictions_due = 0

    def on_start(self) -> None:
        self.spawn(self._plan())

    def _plan(self) -> Coroutine:
        version = 0
        yield self.sleep(self.engine.random.randrange(PLAN_INTERVAL_MS))
        while True:
            request: Any = tasks.SchedulerSync(
                scheduler_id=self.name, configuration_version=version
            )
            view = yield self.call(self.domain, request, CALL_TIMEOUT_MS)
            if isinstance(view, tasks.SchedulingView):
                version = view.configuration_version
                self.world.oracle.record_version(self.name, version, "")
                for request in self._decide(view):
                    self.call(self.domain, request, CALL_TIMEOUT_MS)(
                        lambda reply: None
                    )
            yield self.sleep(PLAN_INTERVAL_MS)

    def _decide(self, view: tasks.SchedulingView) -> list[Any]:
        decisions: list[Any] = []
        running = [t.task_id for t in view.tasks if t.state == "running"]
        if running and self.evictions_due:
            self.evictions_due -= 1
            task_ids = (self.engine.random.choice(running),)
            decisions.append(
                tasks.EvictTasks(task_ids=task_ids, reason="test")
            )
        placements = tuple(self._place(view))
        if placements:
            decisions.append(
                tasks.PlaceTasks(scheduler_id=self.name, placements=placements)
            )
        return decisions

    def _place(self, view: tasks.SchedulingView) -> list[tasks.Placement]:
        free_millicores = {
            worker.worker_id: worker.processors_millicores
            for worker in view.workers
            if not worker.lost and not worker.leaving
        }
        for task in view.tasks:
            if (
                task.worker_id in free_millicores
                and task.state in RESERVING_STATES
            ):
                free_millicores[task.worker_id] -= (
                    task.reserved_processors_millicores
                )
        placements = []
        for task in view.tasks:
            if task.state != "queued" or not free_millicores:
                continue
            processors_millicores = task.job.processors_millicores
            worker = max(
                free_millicores, key=lambda name: (free_millicores[name], name)
            )
            if self.engine.random.random() < OVERCOMMIT_PROBABILITY:
                worker = self.engine.random.choice(sorted(free_millicores))
            elif free_millicores[worker] < processors_millicores:
                continue
            free_millicores[worker] -= processors_millicores
            placements.append(
                tasks.Placement(
                    task_id=task.task_id,
                    worker_id=worker,
                    expected_attempt=task.attempt,
                    processors_millicores=processors_millicores,
                    memory_mb=task.job.memory_mb,
                )
            )
        return placements
