"""Table of all tasks and jobs of a failure domain, with indexes."""

import heapq
from collections.abc import Iterable

import msgspec

from sardinespool.messages.tasks import TaskState
from sardinespool.tasks.job_record import JobRecord
from sardinespool.tasks.record import task_id_of
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.reservation import Reservation
from sardinespool.tasks.reservation import reservation_of


def _sort_key(task: TaskRecord) -> tuple[str, int]:
    return (task.job_id, task.number)


class TaskTable:
    """Records of tasks and jobs.

    `put` updates the indexes by state, worker, team and job, so that no
    command has to scan the table. The indexes are derived data, which `load`
    rebuilds.

    Attributes
    ----------
    tasks : dict
        Task id to record.
    jobs : dict
        Job id to record.
    finished_jobs, released_jobs : set
        Ids of finished and released jobs that the global group has not
        recorded yet.
    movable_jobs : set
        Ids of open jobs that move to another failure domain when this one is
        taken out of service.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, TaskRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.finished_jobs: set[str] = set()
        self.released_jobs: set[str] = set()
        self.movable_jobs: set[str] = set()
        self._ids_by_state: dict[TaskState, set[str]] = {}
        self._ids_by_worker: dict[str, set[str]] = {}
        self._reserved_by_worker: dict[str, Reservation] = {}
        self._reserved_by_team: dict[str, Reservation] = {}
        self._open_task_counts: dict[str, int] = {}
        self._active_task_counts: dict[str, int] = {}
        self._removal_queue: list[tuple[int, str]] = []

    def load(
        self, jobs: Iterable[JobRecord], tasks: Iterable[TaskRecord]
    ) -> None:
        """Fill an empty table."""
        for job in jobs:
            self._put_job(job)
        for task in tasks:
            self._put_task(task)

    def put(self, task: TaskRecord) -> None:
        """Replace the record of a task; finish its job if no task is open."""
        self._put_task(task)
        self._finish_job_if_done(task.job_id)

    def add_job(self, job: JobRecord, tasks: Iterable[TaskRecord]) -> None:
        """Add a job with its tasks; replaces a released job with its id."""
        self.remove_job(job.job.job_id)
        self._put_job(job)
        for task in tasks:
            self._put_task(task)
        self._finish_job_if_done(job.job.job_id)

    def put_job(self, job: JobRecord) -> None:
        """Add or replace the record of a job."""
        self._put_job(job)

    def remove_job(self, job_id: str) -> None:
        """Remove a job and its tasks."""
        self.remove_tasks(job_id)
        self.jobs.pop(job_id, None)
        self._open_task_counts.pop(job_id, None)
        self._active_task_counts.pop(job_id, None)
        for id_set in (
            self.finished_jobs,
            self.released_jobs,
            self.movable_jobs,
        ):
            id_set.discard(job_id)

    def remove_tasks(self, job_id: str) -> None:
        """Remove the tasks of a job."""
        for task in self.of_job(job_id):
            self._unindex(task)
            del self.tasks[task.task_id]

    def due_removals(self, before_unix_ms: int) -> list[JobRecord]:
        """Remove due entries from the removal queue; return their jobs."""
        due_jobs = []
        while (
            self._removal_queue and self._removal_queue[0][0] <= before_unix_ms
        ):
            removal_unix_ms, job_id = heapq.heappop(self._removal_queue)
            job = self.jobs.get(job_id)
            if job is not None and job.removal_unix_ms == removal_unix_ms:
                due_jobs.append(job)
        return due_jobs

    def of_job(self, job_id: str) -> list[TaskRecord]:
        """Return the tasks of a job, ordered by number."""
        record = self.jobs.get(job_id)
        if record is None or record.forgotten:
            return []
        ids = (
            task_id_of(record.job, number)
            for number in range(record.job.task_count)
        )
        return [self.tasks[task] for task in ids if task in self.tasks]

    def on_worker(self, worker_id: str) -> list[TaskRecord]:
        """Return the active tasks of a worker, by job id and number."""
        ids = self._ids_by_worker.get(worker_id, ())
        return sorted((self.tasks[task] for task in ids), key=_sort_key)

    def in_state(self, *states: TaskState) -> list[TaskRecord]:
        """Return the tasks in any of the states, by job id and number."""
        found = [
            self.tasks[task]
            for state in states
            for task in self._ids_by_state.get(state, ())
        ]
        return sorted(found, key=_sort_key)

    def count(self, state: TaskState) -> int:
        """Return the number of tasks in a state."""
        return len(self._ids_by_state.get(state, ()))

    def all_tasks(self) -> list[TaskRecord]:
        """Return all tasks, by job id and number."""
        return sorted(self.tasks.values(), key=_sort_key)

    def reserved_on(self, worker_id: str) -> Reservation:
        """Return the sum of the reservations on a worker."""
        return self._reserved_by_worker.get(worker_id, Reservation())

    def reserved_by(self, team: str) -> Reservation:
        """Return the sum of the reservations of a team."""
        return self._reserved_by_team.get(team, Reservation())

    def active_task_count(self, job_id: str) -> int:
        """Return the number of active tasks of a job."""
        return self._active_task_counts.get(job_id, 0)

    def open_task_count(self, job_id: str) -> int:
        """Return the number of tasks of a job without a final state."""
        return self._open_task_counts.get(job_id, 0)

    def _finish_job_if_done(self, job_id: str) -> None:
        job = self.jobs[job_id]
        if job.state == "open" and self.open_task_count(job_id) == 0:
            self._put_job(msgspec.structs.replace(job, state="finished"))

    def _put_job(self, record: JobRecord) -> None:
        job_id = record.job.job_id
        self.jobs[job_id] = record
        unrecorded = record.recorded_unix_ms == 0
        for id_set, is_member in (
            (self.finished_jobs, record.state == "finished" and unrecorded),
            (self.released_jobs, record.state == "released"),
            (
                self.movable_jobs,
                record.state == "open"
                and record.job.when_domain_lost == "move",
            ),
        ):
            if is_member:
                id_set.add(job_id)
            else:
                id_set.discard(job_id)
        if not unrecorded:
            heapq.heappush(
                self._removal_queue, (record.removal_unix_ms, job_id)
            )

    def _put_task(self, task: TaskRecord) -> None:
        old = self.tasks.get(task.task_id)
        if old is not None:
            self._unindex(old)
        self.tasks[task.task_id] = task
        self._ids_by_state.setdefault(task.state, set()).add(task.task_id)
        if task.is_active:
            self._ids_by_worker.setdefault(task.worker_id, set()).add(
                task.task_id
            )
            self._update_reservations(task, reservation_of(task))
        self._update_counts(task, 1)

    def _unindex(self, task: TaskRecord) -> None:
        self._ids_by_state[task.state].discard(task.task_id)
        if task.is_active:
            self._ids_by_worker[task.worker_id].discard(task.task_id)
            if not self._ids_by_worker[task.worker_id]:
                del self._ids_by_worker[task.worker_id]
            self._update_reservations(
                task, Reservation().minus(reservation_of(task))
            )
        self._update_counts(task, -1)

    def _update_reservations(
        self, task: TaskRecord, change: Reservation
    ) -> None:
        team = self.jobs[task.job_id].job.team
        for sums, key in (
            (self._reserved_by_worker, task.worker_id),
            (self._reserved_by_team, team),
        ):
            total = sums.get(key, Reservation()).plus(change)
            if total.running_tasks:
                sums[key] = total
            else:
                sums.pop(key, None)

    def _update_counts(self, task: TaskRecord, change: int) -> None:
        if not task.is_terminal:
            self._open_task_counts[task.job_id] = (
                self._open_task_counts.get(task.job_id, 0) + change
            )
        if task.is_active:
            self._active_task_counts[task.job_id] = (
                self._active_task_counts.get(task.job_id, 0) + change
            )
