"""Messages about tasks, workers and schedulers at a domain group."""

from typing import Any
from typing import Literal

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record
from sardinespool.messages.jobs import Job

TaskState = Literal[
    "queued",
    "placed",
    "running",
    "stopping",
    "completed",
    "failed",
    "cancelled",
    "released",
]


class TaskReport(Record, frozen=True, kw_only=True, omit_defaults=True):
    """A worker's report on one attempt of one task.

    `slowdown` is the run time of the work of the last period divided by its
    run time without interference, by the worker's own counters; 0 if unknown.
    """

    task_id: str
    attempt: int
    state: Literal[
        "running", "checkpointed", "stopped", "completed", "failed", "refused"
    ]
    checkpoint: str = ""
    failure: str = ""
    processors_millicores: int = 0
    memory_mb: int = 0
    slowdown: float = 0.0


class Heartbeat(Message, frozen=True, kw_only=True):
    """Registration and report of a worker; answered by `HeartbeatReply`.

    A worker sends one every second through any entry of its failure domain.
    `incarnation` increases with each start of the worker. `address` is the
    ``ip:port`` of its request listener, empty if it has none.
    """

    worker_id: str
    incarnation: int
    failure_domain: str
    rack: str = ""
    address: str = ""
    services: tuple[str, ...] = ()
    slots: int = 0
    connections: int = 0
    processors_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    leaving: bool = False
    sent_unix_ms: int = 0
    request_latency_p99_ms: float = 0.0
    tasks: tuple[TaskReport, ...] = ()


class TaskDirective(Record, frozen=True, kw_only=True, omit_defaults=True):
    """Desired state of one task on a worker.

    The worker refuses a first start after `start_deadline_unix_ms`. The
    fields for the start are omitted once the worker reports the attempt.
    `throttle_share` is the share of its reserved processors that the task
    may use.
    """

    task_id: str
    attempt: int
    action: Literal["run", "checkpoint", "stop"]
    start_deadline_unix_ms: int = 0
    checkpoint: str = ""
    payload: str = ""
    throttle_share: float = 1.0
    processors_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class HeartbeatReply(Message, frozen=True, kw_only=True):
    """Lease of the worker and the desired state of its tasks.

    The worker stops every task at `lease_deadline_unix_ms` unless a later
    reply extends it. A terminal report (`stopped`, `completed`, `failed`,
    `refused`) is durable once its task is in `acknowledged_tasks` with its
    attempt at the same place of `acknowledged_attempts`. An overtaken reply
    may name an earlier attempt of the task.
    """

    lease_deadline_unix_ms: int
    directives: tuple[TaskDirective, ...] = ()
    acknowledged_tasks: tuple[str, ...] = ()
    acknowledged_attempts: tuple[int, ...] = ()


class TaskView(Record, frozen=True, kw_only=True):
    """A task as schedulers and operators see it."""

    task_id: str
    job: Job
    state: TaskState
    attempt: int
    worker_id: str = ""
    checkpoint: str = ""
    throttle_share: float = 1.0
    placed_unix_ms: int = 0
    queued_unix_ms: int = 0
    reserved_processors_millicores: int = 0
    reserved_memory_mb: int = 0
    observed_processors_millicores: int = 0
    observed_memory_mb: int = 0
    observed_slowdown: float = 0.0
    failed_workers: tuple[str, ...] = ()
    reason: str = ""


class WorkerView(Record, frozen=True, kw_only=True):
    """A worker as schedulers and operators see it."""

    worker_id: str
    incarnation: int
    failure_domain: str
    rack: str
    address: str
    services: tuple[str, ...]
    slots: int
    connections: int
    processors_millicores: int
    memory_mb: int
    accelerators: int
    leaving: bool
    lost: bool
    lease_deadline_unix_ms: int
    request_latency_p99_ms: float = 0.0
    failed_jobs: tuple[str, ...] = ()
    last_failure_unix_ms: int = 0
    last_success_unix_ms: int = 0


class SchedulerSync(Message, frozen=True, kw_only=True):
    """Read the input of a scheduler; answered by `SchedulingView`."""

    scheduler_id: str
    configuration_version: int = 0


class SchedulingView(Message, frozen=True, kw_only=True):
    """Tasks, workers and quotas of one failure domain at one instant."""

    failure_domain: str
    in_service: bool
    start_permit_deadline_unix_ms: int
    unix_ms: int
    configuration_version: int
    quotas: dict[str, dict[str, Any]]
    tasks: tuple[TaskView, ...]
    workers: tuple[WorkerView, ...]


class Placement(Record, frozen=True, kw_only=True):
    """Start the next attempt of a task on a worker.

    `expected_attempt` is the attempt in the scheduler's view; the placement
    is refused if a newer attempt exists.
    """

    task_id: str
    worker_id: str
    expected_attempt: int
    processors_millicores: int
    memory_mb: int


class PlaceTasks(Message, frozen=True, kw_only=True):
    """Place queued tasks; answered by `PlaceTasksReply`.

    `start_deadline_unix_ms` is set by the leader from its start permit.
    """

    scheduler_id: str
    placements: tuple[Placement, ...]
    start_deadline_unix_ms: int = 0


class PlacementResult(Record, frozen=True, kw_only=True):
    """Result of one placement; `code` is the reason for a refusal."""

    task_id: str
    placed: bool
    code: str = ""


class PlaceTasksReply(Message, frozen=True, kw_only=True):
    """Results in the order of the request's placements."""

    results: tuple[PlacementResult, ...]


class EvictTasks(Message, frozen=True, kw_only=True):
    """Checkpoint and stop tasks; answered by `TaskList`."""

    task_ids: tuple[str, ...]
    reason: str


class Throttle(Record, frozen=True, kw_only=True):
    """Share of its reserved processors that a task may use."""

    task_id: str
    share: float


class ThrottleTasks(Message, frozen=True, kw_only=True):
    """Set throttle shares; answered by `TaskList`."""

    throttles: tuple[Throttle, ...]


class FailTasks(Message, frozen=True, kw_only=True):
    """Fail queued tasks that failed on all workers; answered by `TaskList`."""

    task_ids: tuple[str, ...]
    reason: str


class ListTasks(Message, frozen=True, kw_only=True):
    """List tasks, optionally of one job; answered by `TaskList`.

    Payloads and checkpoints are included only for a single job.
    """

    job_id: str = ""
    limit: int = 1000


class TaskList(Message, frozen=True, kw_only=True):
    """Tasks, sorted by id."""

    tasks: tuple[TaskView, ...]


class ListWorkers(Message, frozen=True, kw_only=True):
    """List the workers; answered by `WorkerList`."""


class WorkerList(Message, frozen=True, kw_only=True):
    """Workers, sorted by id."""

    workers: tuple[WorkerView, ...]


class RestrictStarts(Message, frozen=True, kw_only=True):
    """Block task starts in a domain without the global group.

    Answered by `Accepted`. A later configuration version that sets the
    failure domain in service lifts the restriction.
    """

    operator: str


class ReleaseJob(Message, frozen=True, kw_only=True):
    """Release a job whose tasks are all stopped; answered by `Accepted`."""

    job_id: str


class Accepted(Message, frozen=True, kw_only=True):
    """The request took effect."""
