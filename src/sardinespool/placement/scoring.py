"""Cost of the placement of a task on a worker."""

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import task_class
from sardinespool.placement.fleet import WorkerCapacity
from sardinespool.placement.interference import InterferenceModel
from sardinespool.placement.interference import service_class
from sardinespool.placement.settings import PolicySettings

SERVICE_WEIGHT = 3.0
"""Weight of request latency relative to the slowdown of batch tasks."""

LOAD_WEIGHT = 0.2
"""Weight of the worker's load, which spreads classes without estimates."""

RACK_COST = 10.0
"""Cost of each task of the same job on the rack.

It exceeds any cost of interference.
"""

FAILURE_COST = 1.0
"""Cost of each job that failed on the worker since the last success."""


class PlacementCost:
    """Predicted cost of a placement, based on upper confidence bounds."""

    def __init__(
        self, settings: PolicySettings, model: InterferenceModel
    ) -> None:
        self._settings = settings
        self._model = model
        self._cached_bounds: dict[tuple[str, str], float] = {}

    def start_pass(self) -> None:
        """Clear the cached bounds of the last pass."""
        self._cached_bounds.clear()

    def _upper_bound(self, affected: str, interfering: str) -> float:
        key = (affected, interfering)
        upper_bound = self._cached_bounds.get(key)
        if upper_bound is None:
            upper_bound = max(0.0, self._model.pairs.upper(key))
            self._cached_bounds[key] = upper_bound
        return upper_bound

    def cost(
        self,
        task: TaskView,
        demand: Demand,
        processor_share: float,
        worker: WorkerCapacity,
        rack_counts: dict[str, int],
    ) -> float:
        """Return the cost; lower is better.

        Parameters
        ----------
        task : TaskView
            Task to place.
        demand : Demand
            Demand that the placement reserves.
        processor_share : float
            Share of the worker's processors that the task will use.
        worker : WorkerCapacity
            Worker that the demand fits on.
        rack_counts : dict of str to int
            Number of tasks of the same job by rack, empty for batch jobs.
        """
        view = worker.view
        load = 1.0 - (
            worker.free_processors_millicores - demand.processors_millicores
        ) / max(1, view.processors_millicores)
        cost = LOAD_WEIGHT * load * load
        if view.accelerators and not demand.accelerators:
            cost += LOAD_WEIGHT
        if self._settings.has("quarantine") and view.failed_jobs:
            if view.last_success_unix_ms <= view.last_failure_unix_ms:
                cost += FAILURE_COST * len(view.failed_jobs)
        if rack_counts:
            cost += RACK_COST * rack_counts.get(view.rack, 0)
        if self._settings.has("interference"):
            cost += self._interference_cost(
                task_class(task), processor_share, worker
            )
        return cost

    def _interference_cost(
        self, class_name: str, processor_share: float, worker: WorkerCapacity
    ) -> float:
        upper_bound = self._upper_bound
        class_shares = worker.class_shares()
        cost = 0.0
        for other_class, share in class_shares.items():
            cost += (
                processor_share
                * share
                * (
                    upper_bound(class_name, other_class)
                    + upper_bound(other_class, class_name)
                )
            )
        if worker.view.services:
            service = service_class(worker)
            added_excess = upper_bound(service, class_name) * processor_share
            predicted_excess = sum(
                upper_bound(service, other_class) * share
                for other_class, share in class_shares.items()
            )
            reported_excess = max(0.0, self._model.service_excess(worker))
            current_excess = 0.5 * (predicted_excess + reported_excess)
            # Quadratic, to spread interference over the workers: the tail
            # latency over all workers is that of the worst one.
            cost += (
                SERVICE_WEIGHT
                * added_excess
                * (1.0 + 2.0 * current_excess + added_excess)
            )
        return cost
