"""Baseline placement policies for comparison."""

import random
from typing import Literal

from sardinespool.messages.tasks import Placement
from sardinespool.messages.tasks import SchedulingView
from sardinespool.placement.demand import declared_demand
from sardinespool.placement.demand import reservation
from sardinespool.placement.fleet import FleetState
from sardinespool.placement.fleet import WorkerCapacity
from sardinespool.placement.plan import Plan

Rule = Literal["random", "least-loaded", "best-fit"]


class Baseline:
    """Places tasks in order of arrival by one rule, within hard limits.

    It observes the limits that the group checks (the larger of declared and
    observed use), so that refused placements don't distort the comparison.
    """

    def __init__(self, rule: Rule, seed: int) -> None:
        self._rule = rule
        self._rng = random.Random(seed)

    def plan(self, view: SchedulingView) -> Plan:
        """Return the plan of one scheduling pass."""
        if not view.in_service:
            return Plan()
        fleet = FleetState(view, 1.25)
        placements = []
        for task in sorted(fleet.queued, key=lambda t: t.queued_unix_ms):
            demand = reservation(task, 1.25)
            candidates = [w for w in fleet.workers.values() if w.fits(demand)]
            if not candidates:
                continue
            worker = self._choose(candidates)
            worker.reserve(demand)
            declared = declared_demand(task)
            placements.append(
                Placement(
                    task_id=task.task_id,
                    worker_id=worker.view.worker_id,
                    expected_attempt=task.attempt,
                    processors_millicores=declared.processors_millicores,
                    memory_mb=declared.memory_mb,
                )
            )
        return Plan(placements=tuple(placements))

    def _choose(self, candidates: list[WorkerCapacity]) -> WorkerCapacity:
        if self._rule == "random":
            return self._rng.choice(candidates)
        select = min if self._rule == "best-fit" else max
        return select(candidates, key=lambda w: w.free_processors_millicores)
