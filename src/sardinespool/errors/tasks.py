"""Errors of jobs, tasks and workers."""

from sardinespool.errors.base import SardinespoolError


class TaskError(SardinespoolError):
    """A request about a job, a task or a worker was rejected."""

    http_status = 400


class InvalidJobError(TaskError):
    """The job can't be decoded or has an invalid field."""


class JobIdReusedError(TaskError):
    """The job id was already used with different content."""

    http_status = 409


class JobNotFoundError(TaskError):
    """There is no job with this id."""

    http_status = 404


class NoFailureDomainError(TaskError):
    """No failure domain in service can accept the job."""

    http_status = 503


class FailureDomainMismatchError(TaskError):
    """The request names a failure domain other than the group's."""

    http_status = 409


class StaleWorkerError(TaskError):
    """The worker's incarnation is older than the registered one."""

    http_status = 409


class GroupRetiredError(TaskError):
    """The reporting group was replaced after its disks were lost."""

    http_status = 409


class QueueNotFoundError(TaskError):
    """The active manifest has no queue with this address."""

    http_status = 404


class UnknownWorkspaceKeyError(TaskError):
    """The request carries no key of a workspace of the active manifest."""

    http_status = 401


class OtherWorkspaceError(TaskError):
    """The job belongs to a workspace other than that of the request's key."""

    http_status = 403


class JobGoneError(TaskError):
    """The job that the path names is not stored."""

    http_status = 410


class OverloadedError(TaskError):
    """The job would end too late to be of use; it was not accepted."""

    http_status = 503


class JobStoreFullError(TaskError):
    """The stored jobs leave no room for another one; it was not accepted."""

    http_status = 503


class UnplaceableJobError(TaskError):
    """No worker that is known now can hold a task of the job."""

    http_status = 503


class GangTooLargeError(TaskError):
    """A gang needs more than the limit of its workspace."""
