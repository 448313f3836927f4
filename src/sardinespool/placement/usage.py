"""Ratio of observed to declared use, learned by class."""

import random

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import declared_demand
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import task_class
from sardinespool.placement.estimates import ShrunkenMeans
from sardinespool.placement.fleet import Fleet
from sardinespool.placement.settings import PolicySettings

LARGEST_RATIO = 20.0
"""Bound of one sample; declared sizes are known to miss by ten."""

SAMPLES_PER_PLAN = 512
"""Tasks that one pass learns from; bounds the cost."""


class UsageModel:
    """Sizes new tasks by what earlier tasks of their class used.

    A reservation only ever grows by this: it is never below the declared
    size, so that a wrong estimate can't overcommit a host.
    """

    def __init__(self, settings: PolicySettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._processors = ShrunkenMeans[str](
            1.0, 0.1, 2.0, settings.half_life_ms, settings.confidence
        )
        self._memory = ShrunkenMeans[str](
            1.0, 0.1, 2.0, settings.half_life_ms, settings.confidence
        )

    def observe(self, fleet: Fleet) -> None:
        """Learn from some tasks that have reported their use."""
        workers = list(fleet.workers.values())
        limit = self._settings.learning_workers_per_plan
        if len(workers) > limit:
            workers = self._rng.sample(workers, limit)
        tasks = [
            task
            for worker in workers
            for task in worker.tasks
            if task.observed_memory_mb > 0 and task.throttle_share >= 1.0
        ]
        if len(tasks) > SAMPLES_PER_PLAN:
            tasks = self._rng.sample(tasks, SAMPLES_PER_PLAN)
        for task in tasks:
            name = task_class(task)
            self._processors.add(
                name,
                min(
                    LARGEST_RATIO,
                    task.observed_processors_millicores
                    / max(1, task.job.processors_millicores),
                ),
                1.0,
                fleet.unix_ms,
            )
            self._memory.add(
                name,
                min(
                    LARGEST_RATIO,
                    task.observed_memory_mb / max(1, task.job.memory_mb),
                ),
                1.0,
                fleet.unix_ms,
            )

    def size(self, task: TaskView, own: Demand) -> Demand:
        """Return the demand of a new task, at least `own`."""
        if not self._settings.has("usage"):
            return own
        name = task_class(task)
        declared = declared_demand(task)
        margin = self._settings.usage_margin
        return Demand(
            max(
                own.processors_millicores,
                int(
                    declared.processors_millicores
                    * self._processors.mean(name)
                    * margin
                ),
            ),
            max(
                own.memory_mb,
                int(declared.memory_mb * self._memory.mean(name) * margin),
            ),
            own.accelerators,
        )

    def expected_millicores(self, task: TaskView) -> float:
        """Return the processors that the task will probably use."""
        declared = task.job.processors_millicores
        if not self._settings.has("usage"):
            return float(declared)
        return declared * self._processors.mean(task_class(task))
