"""Messages about jobs at the global group."""

from typing import Literal

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import ProcessVersion


class Job(Record, frozen=True, kw_only=True):
    """A job to run.

    `processors_millicores`, `memory_mb` and `accelerators` are declared per
    task. `failure_domain` is the requested home, empty for any.
    """

    job_id: str
    team: str
    kind: Literal["latency-critical", "batch"] = "batch"
    priority: Literal["normal", "urgent"] = "normal"
    task_count: int = 1
    processors_millicores: int = 1000
    memory_mb: int = 256
    accelerators: int = 0
    expected_run_ms: int = 60_000
    finish_deadline_unix_ms: int = 0
    task_class: str = ""
    payload: str = ""
    failure_domain: str = ""
    when_domain_lost: Literal["stay", "move"] = "stay"


class SubmitJob(Message, frozen=True, kw_only=True):
    """Submit a job; answered by `JobReceipt`. Idempotent."""

    job: Job


class CancelJob(Message, frozen=True, kw_only=True):
    """Cancel all tasks of a job; answered by `JobReceipt`."""

    job_id: str


class ListJobs(Message, frozen=True, kw_only=True):
    """List jobs, newest first; answered by `JobList`."""

    limit: int = 200


class JobReceipt(Message, frozen=True, kw_only=True):
    """Home failure domain and state of a job at the global group."""

    job_id: str
    failure_domain: str
    state: Literal["assigned", "moving", "finished", "cancelled"]


class JobList(Message, frozen=True, kw_only=True):
    """Jobs known to the global group."""

    jobs: tuple[JobReceipt, ...]


class TaskTransfer(Record, frozen=True, kw_only=True):
    """State of a stopped task whose job moves to another home."""

    number: int
    attempt: int
    state: Literal["queued", "completed", "failed", "cancelled"]
    checkpoint: str = ""


class ReleaseId(Record, frozen=True, kw_only=True):
    """Identifies a release of a job, even if the job returns later."""

    job_id: str
    assign_sequence: int


class ReleasedJob(Record, frozen=True, kw_only=True):
    """A job that its home released, with all its tasks stopped.

    `assign_sequence` is the sequence number of the `JobChange` that assigned
    it. It distinguishes a resent release from a release after the job
    returned to this home.
    """

    job_id: str
    assign_sequence: int
    tasks: tuple[TaskTransfer, ...]


class JobChange(Record, frozen=True, kw_only=True):
    """An entry of the ordered list of job changes for a failure domain.

    `sequence` counts from 1 without gaps for each failure domain. `assign`
    carries the job and, after a move, its `transfers`; `cancel` carries only
    the job id.
    """

    sequence: int
    action: Literal["assign", "cancel"]
    job_id: str
    job: Job | None = None
    transfers: tuple[TaskTransfer, ...] = ()


class SyncDomain(Message, frozen=True, kw_only=True):
    """Report of a domain group's leader; answered by `DomainSync`."""

    failure_domain: str
    group_incarnation: str
    known_version: int
    known_job_sequence: int
    finished_jobs: tuple[str, ...] = ()
    released_jobs: tuple[ReleasedJob, ...] = ()
    processes: tuple[ProcessVersion, ...] = ()


class DomainSync(Message, frozen=True, kw_only=True):
    """Configuration, start permit and job changes for a failure domain.

    `configuration` is None if the domain has the current version.
    `reformed` is set if an earlier group of the domain lost all its disks.
    `start_permit_deadline_unix_ms` is 0 if no task may start.
    """

    version: int
    configuration: Configuration | None
    start_permit_deadline_unix_ms: int
    reformed: bool = False
    job_changes: tuple[JobChange, ...] = ()
    recorded_finished_jobs: tuple[str, ...] = ()
    recorded_released_jobs: tuple[ReleaseId, ...] = ()
