"""Cost of a placement on one worker."""

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import task_class
from sardinespool.placement.fleet import WorkerState
from sardinespool.placement.interference import InterferenceModel
from sardinespool.placement.interference import service_class
from sardinespool.placement.settings import PolicySettings

SERVICE_WEIGHT = 3.0
"""Weight of request latency against the slowdown of batch tasks."""

LOAD_WEIGHT = 0.2
"""Weight of the load, so that unknown classes spread over workers."""

RACK_COST = 10.0
"""Cost of each task of the same job on the rack; above any interference."""

FAILURE_COST = 1.0
"""Cost of each job that failed on the worker since its last success."""


class PlacementCost:
    """Predicted cost of a task on a worker, by upper confidence bounds."""

    def __init__(
        self, settings: PolicySettings, model: InterferenceModel
    ) -> None:
        self._settings = settings
        self._model = model
        self._upper: dict[tuple[str, str], float] = {}

    def start_pass(self) -> None:
        """Forget the bounds of the last pass."""
        self._upper.clear()

    def _bound(self, disturbed: str, disturbing: str) -> float:
        key = (disturbed, disturbing)
        bound = self._upper.get(key)
        if bound is None:
            bound = max(0.0, self._model.pairs.upper(key))
            self._upper[key] = bound
        return bound

    def cost(
        self,
        task: TaskView,
        demand: Demand,
        exposure: float,
        worker: WorkerState,
        racks: dict[str, int],
    ) -> float:
        """Return the cost; lower is better.

        Parameters
        ----------
        task : TaskView
            Task to place.
        demand : Demand
            What the placement reserves.
        exposure : float
            Share of the worker's processors that the task will use.
        worker : WorkerState
            Worker with room for the demand.
        racks : dict of str to int
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
        if racks:
            cost += RACK_COST * racks.get(view.rack, 0)
        if self._settings.has("interference"):
            cost += self._interference(task_class(task), exposure, worker)
        return cost

    def _interference(
        self, name: str, exposure: float, worker: WorkerState
    ) -> float:
        bound = self._bound
        exposures = worker.exposures()
        cost = 0.0
        for other, share in exposures.items():
            cost += (
                exposure * share * (bound(name, other) + bound(other, name))
            )
        if worker.view.services:
            service = service_class(worker)
            added = bound(service, name) * exposure
            present = sum(
                bound(service, other) * share
                for other, share in exposures.items()
            )
            measured = max(0.0, self._model.service_excess(worker))
            excess = 0.5 * (present + measured)
            # Quadratic, so that noise is spread: the tail over all workers
            # is that of the worst one.
            cost += SERVICE_WEIGHT * added * (1.0 + 2.0 * excess + added)
        return cost
