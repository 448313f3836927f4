"""Workers of a scheduling view with their tasks and free capacity."""

from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import TaskView
from sardinespool.messages.tasks import WorkerView
from sardinespool.placement.demand import Demand
from sardinespool.placement.demand import task_class

ACTIVE_STATES = frozenset({"placed", "running", "stopping"})
"""States in which a task holds a reservation on a worker."""


class WorkerCapacity:
    """A worker, its tasks and its free capacity during one pass."""

    __slots__ = (
        "_class_shares",
        "free_accelerators",
        "free_memory_mb",
        "free_processors_millicores",
        "bucket_index",
        "bucket_position",
        "probe",
        "starts",
        "tasks",
        "view",
    )

    def __init__(self, view: WorkerView) -> None:
        self.view = view
        self.tasks: list[TaskView] = []
        self.free_processors_millicores = view.processors_millicores
        self.free_memory_mb = view.memory_mb
        self.free_accelerators = view.accelerators
        self.starts = 0
        self.probe = False
        self.bucket_index = 0
        self.bucket_position = 0
        self._class_shares: dict[str, float] | None = None

    def fits(self, demand: Demand) -> bool:
        """Return whether the demand fits into the free capacity."""
        return (
            demand.processors_millicores <= self.free_processors_millicores
            and demand.memory_mb <= self.free_memory_mb
            and demand.accelerators <= self.free_accelerators
        )

    def reserve(self, demand: Demand) -> None:
        """Subtract a demand from the free capacity."""
        self.free_processors_millicores -= demand.processors_millicores
        self.free_memory_mb -= demand.memory_mb
        self.free_accelerators -= demand.accelerators

    def start(
        self, class_name: str, demand: Demand, processor_share: float
    ) -> None:
        """Reserve capacity for a task that this pass places here."""
        class_shares = self.class_shares()
        class_shares[class_name] = (
            class_shares.get(class_name, 0.0) + processor_share
        )
        self.reserve(demand)
        self.starts += 1

    def class_shares(self) -> dict[str, float]:
        """Return the share of the processors that each task class uses."""
        if self._class_shares is None:
            class_shares: dict[str, float] = {}
            for task in self.tasks:
                class_name = task_class(task)
                class_shares[class_name] = class_shares.get(
                    class_name, 0.0
                ) + self.task_share(task)
            self._class_shares = class_shares
        return self._class_shares

    def task_share(self, task: TaskView) -> float:
        """Return the share of the processors that a task here uses."""
        used = task.observed_processors_millicores
        if used == 0:
            used = int(
                task.reserved_processors_millicores * task.throttle_share
            )
        return used / max(1, self.view.processors_millicores)


class FleetState:
    """Workers and tasks of one scheduling view.

    Attributes
    ----------
    workers : dict of str to WorkerCapacity
        All workers by id, including lost and leaving ones.
    queued : list of TaskView
        Tasks without a placement.
    failed : list of TaskView
        Tasks with a failed attempt, in any state.
    team_use : dict of str to list of int
        Processors, memory, accelerators and number of active tasks by team.
    job_racks : dict of str to dict of str to int
        Number of tasks by rack, for each latency-critical job.
    active_tasks : int
        Number of tasks that hold a reservation.
    """

    def __init__(self, view: SchedulingView, margin: float) -> None:
        self.unix_ms = view.unix_ms
        self.workers = {
            worker.worker_id: WorkerCapacity(worker) for worker in view.workers
        }
        self.queued: list[TaskView] = []
        self.failed: list[TaskView] = []
        self.team_use: dict[str, list[int]] = {}
        self.job_racks: dict[str, dict[str, int]] = {}
        self.active_tasks = 0
        for task in view.tasks:
            if task.failed_workers:
                self.failed.append(task)
            state = task.state
            if state == "queued":
                self.queued.append(task)
            elif state in ACTIVE_STATES:
                self._add_active(task, margin)

    def _add_active(self, task: TaskView, margin: float) -> None:
        # Inlines `reservation`, `add_team_use` and `reserve`: this runs for
        # every task in every pass, and the calls would double its time.
        self.active_tasks += 1
        job = task.job
        processors = job.processors_millicores
        if task.reserved_processors_millicores > processors:
            processors = task.reserved_processors_millicores
        observed = task.observed_processors_millicores * margin
        if observed > processors:
            processors = int(observed)
        memory_mb = job.memory_mb
        if task.reserved_memory_mb > memory_mb:
            memory_mb = task.reserved_memory_mb
        observed = task.observed_memory_mb * margin
        if observed > memory_mb:
            memory_mb = int(observed)
        use = self.team_use.get(job.team)
        if use is None:
            use = self.team_use[job.team] = [0, 0, 0, 0]
        use[0] += processors
        use[1] += memory_mb
        use[2] += job.accelerators
        use[3] += 1
        worker = self.workers.get(task.worker_id)
        if worker is None:
            return
        worker.tasks.append(task)
        worker.free_processors_millicores -= processors
        worker.free_memory_mb -= memory_mb
        worker.free_accelerators -= job.accelerators
        if job.kind == "latency-critical":
            self.count_rack(job.job_id, worker.view.rack)

    def add_team_use(self, team: str, demand: Demand) -> None:
        """Add a demand and one task to the use of a team."""
        use = self.team_use.setdefault(team, [0, 0, 0, 0])
        use[0] += demand.processors_millicores
        use[1] += demand.memory_mb
        use[2] += demand.accelerators
        use[3] += 1

    def count_rack(self, job_id: str, rack: str) -> None:
        """Count a task of a latency-critical job on a rack."""
        racks = self.job_racks.setdefault(job_id, {})
        racks[rack] = racks.get(rack, 0) + 1

    def usable(self) -> list[WorkerCapacity]:
        """Return the workers that are neither lost nor leaving."""
        return [
            worker
            for worker in self.workers.values()
            if not worker.view.lost and not worker.view.leaving
        ]
