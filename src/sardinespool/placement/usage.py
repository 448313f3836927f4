"""Ratio of observed to declared use, learned by task class."""

import random

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import declared_demand
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import task_class
from sardinespool.placement.estimates import ShrunkenMeans
from sardinespool.placement.fleet import FleetState
from sardinespool.placement.settings import PolicySettings

MAXIMUM_RATIO = 20.0
"""Upper limit of a sample; declared sizes can be wrong by a factor of ten."""

SAMPLES_PER_PLAN = 512
"""Maximum number of tasks that one pass learns from, to bound its cost."""


class UsageModel:
    """Sizes new tasks by the use of earlier tasks of their class.

    The model only increases reservations: they are never below the declared
    size, so that a wrong estimate can't overcommit a host.
    """

    def __init__(self, settings: PolicySettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._processor_ratios = ShrunkenMeans[str](
            1.0, 0.1, 2.0, settings.half_life_ms, settings.confidence
        )
        self._memory_ratios = ShrunkenMeans[str](
            1.0, 0.1, 2.0, settings.half_life_ms, settings.confidence
        )

    def observe(self, fleet: FleetState) -> None:
        """Learn from a sample of the tasks that have reported their use."""
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
            class_name = task_class(task)
            self._processor_ratios.add(
                class_name,
                min(
                    MAXIMUM_RATIO,
                    task.observed_processors_millicores
                    / max(1, task.job.processors_millicores),
                ),
                1.0,
                fleet.unix_ms,
            )
            self._memory_ratios.add(
                class_name,
                min(
                    MAXIMUM_RATIO,
                    task.observed_memory_mb / max(1, task.job.memory_mb),
                ),
                1.0,
                fleet.unix_ms,
            )

    def size_demand(self, task: TaskView, minimum: Demand) -> Demand:
        """Return the demand of a new task, which is at least `minimum`."""
        if not self._settings.has("usage"):
            return minimum
        class_name = task_class(task)
        declared = declared_demand(task)
        margin = self._settings.usage_margin
        return Demand(
            max(
                minimum.processors_millicores,
                int(
                    declared.processors_millicores
                    * self._processor_ratios.mean(class_name)
                    * margin
                ),
            ),
            max(
                minimum.memory_mb,
                int(
                    declared.memory_mb
                    * self._memory_ratios.mean(class_name)
                    * margin
                ),
            ),
            minimum.accelerators,
        )

    def expected_millicores(self, task: TaskView) -> float:
        """Return the expected processor use of a task."""
        declared = task.job.processors_millicores
        if not self._settings.has("usage"):
            return float(declared)
        return declared * self._processor_ratios.mean(task_class(task))
