"""Replicated record of a task."""

from sardinespool.messages.base import Record
from sardinespool.messages.jobs import Job
from sardinespool.messages.tasks import TaskState

ACTIVE_STATES: frozenset[TaskState] = frozenset(
    ("placed", "running", "stopping")
)
"""States in which a task may run on its worker and holds its reservation."""

TERMINAL_STATES: frozenset[TaskState] = frozenset(
    ("completed", "failed", "cancelled")
)
"""Final states, which no report or command changes."""


class TaskRecord(Record, frozen=True, kw_only=True, omit_defaults=True):
    """State of one task; immutable, replaced on each change.

    `attempt` is the number of the latest attempt, 0 before the first.
    `worker_id`, `worker_incarnation`, the reservation and the start deadline
    belong to that attempt while the state is active. `checkpoint_attempt`
    is the attempt that wrote `checkpoint`, and `checkpoint_unix_ms` the send
    time of the heartbeat that reported it. `cancel_requested` and
    `stop_checkpointed` (the checkpoint of the eviction was reported) are used
    only in state ``stopping``.
    """

    task_id: str
    job_id: str
    number: int
    state: TaskState = "queued"
    attempt: int = 0
    worker_id: str = ""
    worker_incarnation: int = 0
    checkpoint: str = ""
    checkpoint_attempt: int = 0
    checkpoint_unix_ms: int = 0
    throttle_share: float = 1.0
    queued_unix_ms: int = 0
    placed_unix_ms: int = 0
    start_deadline_unix_ms: int = 0
    reserved_processors_millicores: int = 0
    reserved_memory_mb: int = 0
    reserved_accelerators: int = 0
    cancel_requested: bool = False
    stop_checkpointed: bool = False
    failed_workers: tuple[str, ...] = ()
    reason: str = ""

    @property
    def is_active(self) -> bool:
        """Whether the task may run on its worker."""
        return self.state in ACTIVE_STATES

    @property
    def is_terminal(self) -> bool:
        """Whether the task is in a final state."""
        return self.state in TERMINAL_STATES

    def is_current(
        self, worker_id: str, worker_incarnation: int, attempt: int
    ) -> bool:
        """Whether the attempt on the worker is the one that may run."""
        return (
            self.is_active
            and self.worker_id == worker_id
            and self.worker_incarnation == worker_incarnation
            and self.attempt == attempt
        )


def task_id_of(job: Job, number: int) -> str:
    """Return the id of a task by its number in the job, which starts at 0."""
    return f"{job.job_id}/{number}"
