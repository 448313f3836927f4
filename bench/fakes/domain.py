"""Simulated domain group with its tasks, workers and hard limits."""

from bench.fakes.task import FakeTask
from bench.fakes.worker import FakeWorker
from bench.ground_truth import GroundTruth
from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import WorkerView
from sardinespool.placement.demand import reservation
from sardinespool.placement.plan import Plan

RESERVATION_MARGIN = 1.25


class FakeDomain:
    """Applies plans with the group's capacity check and counts outcomes."""

    def __init__(self, name: str, workers: list[FakeWorker]) -> None:
        self.name = name
        self.workers = {worker.worker_id: worker for worker in workers}
        self.tasks: dict[str, FakeTask] = {}
        self.in_service = True
        self.evictions = 0
        self.noise_evictions = 0
        self.oom_kills = 0
        self.refused = 0
        self.overcommitted = 0
        self.failed_tasks = 0
        self.lost_work_ms = 0.0
        self.urgent_waits_ms: list[int] = []

    def view(self, unix_ms: int) -> SchedulingView:
        """Return the scheduler's view of the domain."""
        return SchedulingView(
            failure_domain=self.name,
            in_service=self.in_service,
            start_permit_deadline_unix_ms=unix_ms + 2500,
            unix_ms=unix_ms,
            configuration_version=1,
            quotas={},
            tasks=tuple(task.view() for task in self.tasks.values()),
            workers=tuple(
                self._worker_view(worker, unix_ms)
                for worker in self.workers.values()
            ),
        )

    def _worker_view(self, worker: FakeWorker, unix_ms: int) -> WorkerView:
        return WorkerView(
            worker_id=worker.worker_id,
            incarnation=1,
            failure_domain=self.name,
            rack=worker.rack,
            address="",
            services=(worker.service.removeprefix("service "),),
            slots=8,
            connections=64,
            processors_millicores=worker.processors_millicores,
            memory_mb=worker.memory_mb,
            accelerators=0,
            leaving=False,
            lost=False,
            lease_deadline_unix_ms=unix_ms + 6000,
            request_latency_p99_ms=worker.reported_latency_ms,
            failed_jobs=worker.failed_jobs,
            last_failure_unix_ms=worker.last_failure_unix_ms,
            last_success_unix_ms=worker.last_success_unix_ms,
        )

    def apply(self, plan: Plan, unix_ms: int) -> None:
        """Apply a plan; placements beyond a host's capacity are refused.

        Like the real group, it also stops all tasks while the domain is out
        of service.
        """
        if not self.in_service:
            for task in self.tasks.values():
                if task.state == "running":
                    task.state = "stopping"
        for eviction in plan.evictions:
            task = self.tasks[eviction.task_id]
            if task.state == "running":
                task.state = "stopping"
                self.evictions += 1
                self.noise_evictions += eviction.reason.startswith("disturbs")
        for throttle in plan.throttles:
            self.tasks[throttle.task_id].throttle_share = throttle.share
        for failure in plan.failures:
            self.failed_tasks += 1
            del self.tasks[failure.task_id]
        for placement in plan.placements:
            task = self.tasks[placement.task_id]
            worker = self.workers[placement.worker_id]
            reservations = [
                reservation(t.view(), RESERVATION_MARGIN)
                for t in worker.tasks.values()
            ]
            millicores = sum(
                demand.processors_millicores for demand in reservations
            )
            memory_mb = sum(demand.memory_mb for demand in reservations)
            if (
                millicores + placement.processors_millicores
                > worker.processors_millicores
                or memory_mb + placement.memory_mb > worker.memory_mb
            ):
                self.refused += 1
                continue
            self._start_task(task, worker, unix_ms)
            task.reserved_processors_millicores = (
                placement.processors_millicores
            )
            task.reserved_memory_mb = placement.memory_mb
        self._count_overcommitted()

    def _start_task(
        self, task: FakeTask, worker: FakeWorker, unix_ms: int
    ) -> None:
        task.state = "running"
        task.attempt += 1
        task.worker_id = worker.worker_id
        task.placed_unix_ms = unix_ms
        task.cached_view = None
        worker.tasks[task.task_id] = task
        if task.job.priority == "urgent":
            self.urgent_waits_ms.append(unix_ms - task.queued_unix_ms)

    def _count_overcommitted(self) -> None:
        for worker in self.workers.values():
            tasks = worker.tasks.values()
            millicores = sum(t.reserved_processors_millicores for t in tasks)
            memory_mb = sum(t.reserved_memory_mb for t in tasks)
            self.overcommitted += (
                millicores > worker.processors_millicores
                or memory_mb > worker.memory_mb
            )

    def step(
        self, truth: GroundTruth, unix_ms: int, step_ms: int, lagged: bool
    ) -> None:
        """Run every worker for one step and handle ended tasks."""
        for worker in self.workers.values():
            completed, failed = worker.step(truth, step_ms, lagged)
            for task in completed:
                worker.last_success_unix_ms = unix_ms
                worker.failed_jobs = ()
                del worker.tasks[task.task_id]
                del self.tasks[task.task_id]
            for task in failed:
                self._handle_failure(task, worker, unix_ms)
            for task in list(worker.tasks.values()):
                if task.state == "stopping":
                    del worker.tasks[task.task_id]
                    task.requeue(unix_ms)

    def _handle_failure(
        self, task: FakeTask, worker: FakeWorker, unix_ms: int
    ) -> None:
        worker.last_failure_unix_ms = unix_ms
        jobs = dict.fromkeys((*worker.failed_jobs, task.job.job_id))
        worker.failed_jobs = tuple(jobs)[-8:]
        failed_on = dict.fromkeys((*task.failed_workers, worker.worker_id))
        task.failed_workers = tuple(failed_on)
        self.lost_work_ms += (
            task.progress_ms * task.processors_millicores / 1000
        )
        task.progress_ms = 0.0
        self.oom_kills += not task.broken and not worker.black_hole
        del worker.tasks[task.task_id]
        task.requeue(unix_ms)

    def cancel(self, job_ids: set[str]) -> None:
        """Remove all tasks of the given jobs."""
        for task in list(self.tasks.values()):
            if task.job.job_id in job_ids:
                del self.tasks[task.task_id]
                if task.worker_id:
                    del self.workers[task.worker_id].tasks[task.task_id]
