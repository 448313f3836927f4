"""Jobs that no worker could run even when it is empty."""

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import Demand
from sardinespool.placement.fleet import Fleet
from sardinespool.placement.ordering import Quotas
from sardinespool.placement.plan import UnplaceableJob


class Feasibility:
    """Checks demands against empty workers and whole quotas.

    Lost workers count, since they may return; leaving ones do not. Costs the
    number of distinct worker sizes and demands, not workers times tasks.
    """

    def __init__(self, fleet: Fleet, quotas: Quotas) -> None:
        sizes = {
            Demand(
                worker.view.processors_millicores,
                worker.view.memory_mb,
                worker.view.accelerators,
            )
            for worker in fleet.workers.values()
            if not worker.view.leaving
        }
        self._sizes = [
            size
            for size in sizes
            if not any(other != size and other.covers(size) for other in sizes)
        ]
        self._quotas = quotas
        self._checked: dict[tuple[str, Demand], str] = {}
        self._unplaceable: dict[str, str] = {}

    def fits_empty(self, demand: Demand) -> bool:
        """Return whether an empty worker could hold the demand.

        A domain that knows no worker yet rules nothing out.
        """
        return not self._sizes or any(
            size.covers(demand) for size in self._sizes
        )

    def clamp(self, own: Demand, declared: Demand) -> Demand:
        """Limit a demand from observed use to one whole worker.

        The margin on observed use can exceed every worker, for example for a
        task that used all processors of its host; it then takes a whole
        worker instead of never running again.
        """
        if self.fits_empty(own):
            return own
        covering = [size for size in self._sizes if size.covers(declared)]
        if not covering:
            return own
        size = max(
            covering,
            key=lambda size: (size.memory_mb, size.processors_millicores),
        )
        return Demand(
            min(own.processors_millicores, size.processors_millicores),
            min(own.memory_mb, size.memory_mb),
            own.accelerators,
        )

    def check(self, task: TaskView, demand: Demand) -> bool:
        """Return whether the task could ever run; note its job if not."""
        key = (task.job.team, demand)
        reason = self._checked.get(key)
        if reason is None:
            reason = ""
            if not self.fits_empty(demand):
                reason = "larger than any worker"
            elif not self._quotas.ever_allow(task.job.team, demand):
                reason = "larger than the quota of its team"
            self._checked[key] = reason
        if reason:
            self._unplaceable[task.job.job_id] = reason
        return not reason

    def unplaceable(self) -> tuple[UnplaceableJob, ...]:
        """Return the jobs that were found to fit no worker."""
        return tuple(
            UnplaceableJob(job_id, reason)
            for job_id, reason in sorted(self._unplaceable.items())
        )
