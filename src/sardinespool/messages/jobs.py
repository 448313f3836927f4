"""Messages of jobs at the global group."""

from typing import Literal

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import ProcessVersion


class Job(Record, frozen=True, kw_only=True):
    """What an operator asks to run.

    `processors_millicores`, `memory_mb` and `accelerators` are declared for
    each task. `failure_domain` is the wanted home, empty for any.
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
    """Submit a job; answered by `JobReceipt`. Safe to resend."""

    job: Job


class CancelJob(Message, frozen=True, kw_only=True):
    """Cancel all tasks of a job; answered by `JobReceipt`."""

    job_id: str


class ListJobs(Message, frozen=True, kw_only=True):
    """Ask for jobs, the newest first; answered by `JobList`."""

    limit: int = 200


class JobReceipt(Message, frozen=True, kw_only=True):
    """Home and state of a job at the global group."""

    job_id: str
    failure_domain: str
    state: Literal["assigned", "moving", "finished", "cancelled"]


class JobList(Message, frozen=True, kw_only=True):
    """Jobs known to the global group."""

    jobs: tuple[JobReceipt, ...]


class TaskTransfer(Record, frozen=True, kw_only=True):
    """State of a stopped task that moves to another home."""

    number: int
    attempt: int
    state: Literal["queued", "completed", "failed", "cancelled"]
    checkpoint: str = ""


class ReleaseId(Record, frozen=True, kw_only=True):
    """Names one release of a job, also when the job comes back later."""

    job_id: str
    assign_sequence: int


class ReleasedJob(Record, frozen=True, kw_only=True):
    """A job that its home released, with every task stopped.

    `assign_sequence` is the sequence of the `JobChange` that assigned it. It
    tells a resent release from one after the job came back to this home.
    """

    job_id: str
    assign_sequence: int
    tasks: tuple[TaskTransfer, ...]


class JobChange(Record, frozen=True, kw_only=True):
    """One entry of the ordered list of job changes for a failure domain.

    `sequence` counts from 1 for each failure domain without gaps. `assign`
    carries the job and, after a move, its `transfers`; `cancel` carries the
    job id only.
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

    `configuration` is None when the domain has the current version.
    `reformed` tells that an earlier group of the domain lost all its disks.
    `start_permit_deadline_unix_ms` is 0 when no task may start.
    """

    version: int
    configuration: Configuration | None
    start_permit_deadline_unix_ms: int
    reformed: bool = False
    job_changes: tuple[JobChange, ...] = ()
    recorded_finished_jobs: tuple[str, ...] = ()
    recorded_released_jobs: tuple[ReleaseId, ...] = ()
