"""Errors of jobs, tasks and workers."""

from sardinespool.errors.base import SardinespoolError


class TaskError(SardinespoolError):
    """A request about a job, a task or a worker was refused."""

    http_status = 400


class InvalidJobError(TaskError):
    """A field of the job is out of range."""


class JobIdReusedError(TaskError):
    """The job id was used before with other content."""

    http_status = 409


class JobNotFoundError(TaskError):
    """No job has this id."""

    http_status = 404


class NoFailureDomainError(TaskError):
    """No failure domain in service can take the job."""

    http_status = 503


class FailureDomainMismatchError(TaskError):
    """The request names another failure domain than the group's."""

    http_status = 409


class StaleWorkerError(TaskError):
    """The worker's incarnation is older than the registered one."""

    http_status = 409


class GroupRetiredError(TaskError):
    """The reporting group was replaced after the loss of its disks."""

    http_status = 409


class QueueNotFoundError(TaskError):
    """No queue of the manifest in force has this address."""

    http_status = 404


class JobGoneError(TaskError):
    """No job of this id is stored."""

    http_status = 410
