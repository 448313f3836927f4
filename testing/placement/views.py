"""Constructors of scheduling views for the tests of this folder."""

from typing import Any

from sardinespool.messages.jobs import Job
from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import TaskView
from sardinespool.messages.tasks import WorkerView

NOW_UNIX_MS = 1_000_000_000


def job(job_id: str, **fields: Any) -> Job:
    """Return a batch job of 1 core and 1,000 MB."""
    values = {"team": "a", "memory_mb": 1000, "task_class": "light"}
    return Job(job_id=job_id, **(values | fields))


def queued(parent_job: Job, number: int = 0, **fields: Any) -> TaskView:
    """Return a queued task of a job."""
    values = {"attempt": 0, "queued_unix_ms": NOW_UNIX_MS - 1000}
    return TaskView(
        task_id=f"{parent_job.job_id}/{number}",
        job=parent_job,
        state="queued",
        **(values | fields),
    )


def running(
    parent_job: Job, worker_id: str, number: int = 0, **fields: Any
) -> TaskView:
    """Return a running task that reserves what its job declares."""
    values: dict[str, Any] = {
        "attempt": 1,
        "state": "running",
        "placed_unix_ms": NOW_UNIX_MS - 60_000,
        "reserved_processors_millicores": parent_job.processors_millicores,
        "reserved_memory_mb": parent_job.memory_mb,
    }
    return TaskView(
        task_id=f"{parent_job.job_id}/{number}",
        job=parent_job,
        worker_id=worker_id,
        **(values | fields),
    )


def worker(worker_id: str, **fields: Any) -> WorkerView:
    """Return a worker of 8 cores and 16,000 MB."""
    values: dict[str, Any] = {
        "incarnation": 1,
        "failure_domain": "centro",
        "rack": "r1",
        "address": "",
        "services": (),
        "slots": 8,
        "connections": 64,
        "processors_millicores": 8000,
        "memory_mb": 16_000,
        "accelerators": 0,
        "leaving": False,
        "lost": False,
        "lease_deadline_unix_ms": NOW_UNIX_MS + 6000,
    }
    return WorkerView(worker_id=worker_id, **(values | fields))


def view(
    workers: list[WorkerView], tasks: list[TaskView], **fields: Any
) -> SchedulingView:
    """Return a view with a valid start permit."""
    values: dict[str, Any] = {
        "in_service": True,
        "unix_ms": NOW_UNIX_MS,
        "quotas": {},
        **fields,
    }
    permit = values["unix_ms"] + 2500
    values.setdefault("start_permit_deadline_unix_ms", permit)
    return SchedulingView(
        failure_domain="centro",
        configuration_version=1,
        tasks=tuple(tasks),
        workers=tuple(workers),
        **values,
    )
