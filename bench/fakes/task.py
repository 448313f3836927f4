"""Simulated task with its true resource use."""

import dataclasses

from sardinespool.messages.jobs import Job
from sardinespool.messages.tasks import TaskState
from sardinespool.messages.tasks import TaskView


@dataclasses.dataclass(slots=True)
class FakeTask:
    """Simulated task; `work_ms` is its run time without interference."""

    task_id: str
    job: Job
    class_index: int
    processors_millicores: int
    memory_mb: int
    work_ms: float
    broken: bool = False
    progress_ms: float = 0.0
    state: TaskState = "queued"
    attempt: int = 0
    worker_id: str = ""
    throttle_share: float = 1.0
    placed_unix_ms: int = 0
    queued_unix_ms: int = 0
    reserved_processors_millicores: int = 0
    reserved_memory_mb: int = 0
    observed_processors_millicores: int = 0
    observed_memory_mb: int = 0
    observed_slowdown: float = 0.0
    slowdown: float = 1.0
    failed_workers: tuple[str, ...] = ()
    cached_view: TaskView | None = None

    def requeue(self, unix_ms: int) -> None:
        """Put the task back into the queue; its progress is kept."""
        self.state = "queued"
        self.worker_id = ""
        self.queued_unix_ms = unix_ms
        self.throttle_share = 1.0
        self.observed_slowdown = 0.0
        self.observed_processors_millicores = 0
        self.observed_memory_mb = 0
        self.reserved_processors_millicores = 0
        self.reserved_memory_mb = 0
        self.cached_view = None

    def view(self) -> TaskView:
        """Return the scheduler's view of the task."""
        if self.cached_view is None:
            view = TaskView(
                task_id=self.task_id,
                job=self.job,
                state=self.state,
                attempt=self.attempt,
                worker_id=self.worker_id,
                throttle_share=self.throttle_share,
                placed_unix_ms=self.placed_unix_ms,
                queued_unix_ms=self.queued_unix_ms,
                reserved_processors_millicores=(
                    self.reserved_processors_millicores
                ),
                reserved_memory_mb=self.reserved_memory_mb,
                observed_processors_millicores=(
                    self.observed_processors_millicores
                ),
                observed_memory_mb=self.observed_memory_mb,
                observed_slowdown=self.observed_slowdown,
                failed_workers=self.failed_workers,
            )
            if self.state != "queued":
                return view
            self.cached_view = view
        return self.cached_view
