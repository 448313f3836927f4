"""Schedulers that place at once and often too much."""

from typing import Any

from sardinespool.messages import tasks
from testing.proof.engine import Host
from testing.proof.engine import Steps

INTERVAL_MS = 500
CALL_TIMEOUT_MS = 2_000
CARELESS_SHARE = 0.3
"""Share of the placements that ignore what a worker has left."""

HOLDING = ("placed", "running", "stopping")


class SchedulerHost(Host):
    """Places queued tasks in order; several run in a domain."""

    def __init__(self, world: Any, name: str, domain: str) -> None:
        super().__init__(world, name, domain)
        self.evictions_due = 0

    def on_start(self) -> None:
        self.spawn(self._plan())

    def _plan(self) -> Steps:
        version = 0
        yield self.sleep(self.engine.random.randrange(INTERVAL_MS))
        while True:
            request: Any = tasks.SchedulerSync(
                scheduler_id=self.name, configuration_version=version
            )
            view = yield self.call(self.domain, request, CALL_TIMEOUT_MS)
            if isinstance(view, tasks.SchedulingView):
                version = view.configuration_version
                self.world.oracle.acted_on(self.name, version, "")
                for request in self._decide(view):
                    self.call(self.domain, request, CALL_TIMEOUT_MS)(
                        lambda reply: None
                    )
            yield self.sleep(INTERVAL_MS)

    def _decide(self, view: tasks.SchedulingView) -> list[Any]:
        decisions: list[Any] = []
        running = [t.task_id for t in view.tasks if t.state == "running"]
        if running and self.evictions_due:
            self.evictions_due -= 1
            chosen = (self.engine.random.choice(running),)
            decisions.append(tasks.EvictTasks(task_ids=chosen, reason="test"))
        placements = tuple(self._place(view))
        if placements:
            decisions.append(
                tasks.PlaceTasks(scheduler_id=self.name, placements=placements)
            )
        return decisions

    def _place(self, view: tasks.SchedulingView) -> list[tasks.Placement]:
        free = {
            worker.worker_id: worker.processors_millicores
            for worker in view.workers
            if not worker.lost and not worker.leaving
        }
        for task in view.tasks:
            if task.worker_id in free and task.state in HOLDING:
                free[task.worker_id] -= task.reserved_processors_millicores
        placements = []
        for task in view.tasks:
            if task.state != "queued" or not free:
                continue
            size = task.job.processors_millicores
            worker = max(free, key=lambda name: (free[name], name))
            if self.engine.random.random() < CARELESS_SHARE:
                worker = self.engine.random.choice(sorted(free))
            elif free[worker] < size:
                continue
            free[worker] -= size
            placements.append(
                tasks.Placement(
                    task_id=task.task_id,
                    worker_id=worker,
                    expected_attempt=task.attempt,
                    processors_millicores=size,
                    memory_mb=task.job.memory_mb,
                )
            )
        return placements
