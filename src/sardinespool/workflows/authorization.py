"""Which workspace a caller's request comes from, and what it may do.

A key is judged by the manifest in force when the leader handles the request,
and for a new job once more when the command is applied. Where the manifest
has no workspaces, every request is allowed.
"""

from sardinespool.errors.tasks import OtherWorkspaceError
from sardinespool.errors.tasks import QueueNotFoundError
from sardinespool.errors.tasks import UnknownWorkspaceKeyError
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.workflows.manifest import ManifestState
from sardinespool.workflows.records import WorkflowRecord


def find_caller(
    manifest: ManifestState, queue: QueueSpec, key_digest: bytes
) -> str:
    """Return the workspace whose key a request carries, "" if it has none.

    Raises
    ------
    UnknownWorkspaceKeyError
        The key is unknown, or there is none and the queue is not public.
    """
    if not manifest.has_workspaces:
        return ""
    if not key_digest:
        if queue.public:
            return ""
        raise UnknownWorkspaceKeyError(
            "The queue needs a key.", queue=queue.name
        )
    workspace = manifest.workspace_of(key_digest)
    if workspace is None:
        raise UnknownWorkspaceKeyError("The key is unknown.", queue=queue.name)
    return workspace


def check_owner(
    manifest: ManifestState,
    queue: QueueSpec,
    caller: str,
    workflow: WorkflowRecord,
) -> None:
    """Raise `OtherWorkspaceError` if a caller may not address a job.

    Jobs without a workspace belong to nobody. A queue that was made public
    since opens the jobs that were submitted to it to callers without a key.

    Parameters
    ----------
    manifest : ManifestState
        Manifest in force.
    queue : QueueSpec
        Queue that the request addresses.
    caller : str
        Result of `find_caller`.
    workflow : WorkflowRecord
        Job that the request names.
    """
    if not manifest.has_workspaces or workflow.workspace in ("", caller):
        return
    if not caller and queue.name == workflow.queue.name:
        return
    raise OtherWorkspaceError(
        "The job belongs to another workspace.",
        job=workflow.job_id,
        queue=queue.name,
        caller=caller,
    )


def workspace_of_job(queue: QueueSpec, caller: str) -> str:
    """Return the workspace of a job that a caller submits to a queue."""
    return "" if queue.public else caller


def workspace_at_commit(
    manifest: ManifestState,
    command: AcceptWorkflow,
    stored: WorkflowRecord | None,
) -> str:
    """Return the workspace of a job whose command is applied.

    The manifest may have changed since the leader's check, and a job of the
    same id may have been stored.

    Parameters
    ----------
    manifest : ManifestState
        Manifest in force.
    command : AcceptWorkflow
        Command that is applied.
    stored : WorkflowRecord or None
        Job that is stored under the id.

    Raises
    ------
    QueueNotFoundError
        The queue was removed.
    UnknownWorkspaceKeyError
        The key was withdrawn, or the queue is no longer public.
    OtherWorkspaceError
        The stored job belongs to another workspace.
    """
    if command.key_digest is None or not manifest.has_workspaces:
        return command.workspace
    queue = manifest.queue_named(command.queue)
    if queue is None:
        raise QueueNotFoundError("The queue was removed.", queue=command.queue)
    caller = find_caller(manifest, queue, command.key_digest)
    if stored is not None:
        check_owner(manifest, queue, caller, stored)
    return workspace_of_job(queue, caller)
