"""Detection of jobs that could not run even on an empty worker."""

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import Demand
from sardinespool.placement.fleet import FleetState
from sardinespool.placement.ordering import Quotas
from sardinespool.placement.plan import UnplaceableJob


class Feasibility:
    """Checks demands against empty workers and unused quotas.

    Lost workers are included because they may return; leaving workers are
    not. The cost depends on the number of distinct worker sizes and demands,
    not on workers times tasks.
    """

    def __init__(self, fleet: FleetState, quotas: Quotas) -> None:
        capacities = {
            Demand(
                worker.view.processors_millicores,
                worker.view.memory_mb,
                worker.view.accelerators,
            )
            for worker in fleet.workers.values()
            if not worker.view.leaving
        }
        self._maximal_capacities = [
            capacity
            for capacity in capacities
            if not any(
                other != capacity and other.covers(capacity)
                for other in capacities
            )
        ]
        self._quotas = quotas
        self._reasons: dict[tuple[str, Demand], str] = {}
        self._infeasible_jobs: dict[str, str] = {}

    def fits_empty_worker(self, demand: Demand) -> bool:
        """Return whether an empty worker could hold the demand.

        Always true while the domain knows no worker.
        """
        return not self._maximal_capacities or any(
            capacity.covers(demand) for capacity in self._maximal_capacities
        )

    def clamp(self, estimated: Demand, declared: Demand) -> Demand:
        """Limit an estimated demand to the capacity of one worker.

        Observed use plus its margin can exceed every worker, for example for
        a task that used all processors of its host. Such a task reserves a
        whole worker; otherwise it could never run again.
        """
        if self.fits_empty_worker(estimated):
            return estimated
        sufficient = [
            capacity
            for capacity in self._maximal_capacities
            if capacity.covers(declared)
        ]
        if not sufficient:
            return estimated
        capacity = max(
            sufficient,
            key=lambda capacity: (
                capacity.memory_mb,
                capacity.processors_millicores,
            ),
        )
        return Demand(
            min(
                estimated.processors_millicores, capacity.processors_millicores
            ),
            min(estimated.memory_mb, capacity.memory_mb),
            estimated.accelerators,
        )

    def check(self, task: TaskView, demand: Demand) -> bool:
        """Return whether the task could ever run; record its job if not."""
        key = (task.job.team, demand)
        reason = self._reasons.get(key)
        if reason is None:
            reason = ""
            if not self.fits_empty_worker(demand):
                reason = "larger than any worker"
            elif not self._quotas.allow_alone(task.job.team, demand):
                reason = "larger than the quota of its team"
            self._reasons[key] = reason
        if reason:
            self._infeasible_jobs[task.job.job_id] = reason
        return not reason

    def unplaceable(self) -> tuple[UnplaceableJob, ...]:
        """Return the jobs that `check` found to be infeasible."""
        return tuple(
            UnplaceableJob(job_id, reason)
            for job_id, reason in sorted(self._infeasible_jobs.items())
        )
