"""Requests for jobs that are stored, and cancels of those that are not yet."""

from sardinespool.dispatch.order_tickets import OrderTickets
from sardinespool.errors.tasks import InvalidJobError
from sardinespool.errors.tasks import JobGoneError
from sardinespool.errors.tasks import JobStoreFullError
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.groups.interfaces import Proposal
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import EndWorkflow
from sardinespool.messages.workflows import JobAddress
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.workflows.authorization import check_owner
from sardinespool.workflows.authorization import find_caller
from sardinespool.workflows.authorization import workspace_of_job
from sardinespool.workflows.records import WorkflowRecord

JOB_ID_LENGTH_MAX = 64
TOMBSTONES_RETRY_S = 5
"""Retry-After while there is no room for another tombstone."""


def find_job(
    machine: ControlMachine, request: ReadWorkflow | CancelWorkflow
) -> WorkflowRecord:
    """Return the job that a request names.

    Raises
    ------
    JobGoneError
        No job of this id is stored.
    TaskError
        There is no such queue, or the caller may not address the job.
    """
    manifest = machine.manifest
    queue, job_id = manifest.resolve(request.host, request.path)
    caller = find_caller(manifest, queue, request.key_digest)
    workflow = machine.table.workflows.get(job_id)
    if workflow is None:
        raise JobGoneError("No job of this id is stored.", job=job_id)
    check_owner(manifest, queue, caller, workflow)
    return workflow


def cancel_job(
    machine: ControlMachine, request: CancelWorkflow, tickets: OrderTickets
) -> ImmediateReply | Proposal:
    """Cancel a job, also one whose submission may be under way.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    request : CancelWorkflow
        Request whose ticket, if it has one, holds.
    tickets : OrderTickets
        Knows the submissions of this leadership.

    Raises
    ------
    OutdatedOrderError
        A submission came after the cancel.
    JobStoreFullError
        Too many cancels of jobs that are not stored are remembered.
    TaskError
        There is no such queue, no job can have the id, or the caller may not
        address the job.
    """
    manifest = machine.manifest
    queue, job_id = manifest.resolve(request.host, request.path)
    if request.ticket is not None:
        tickets.check_cancel(job_id, request.ticket)
    if job_id in machine.table.workflows:
        workflow = find_job(machine, request)
        if workflow.is_final:
            return ImmediateReply(status_of(workflow))
        return Proposal(EndWorkflow(job_id=workflow.job_id))
    caller = find_caller(manifest, queue, request.key_digest)
    if not _is_job_id(job_id):
        raise JobGoneError("No job can have this id.", job=job_id)
    address = JobAddress(
        host=queue.host,
        prefix=queue.prefix,
        workspace=workspace_of_job(queue, caller),
        job_id=job_id,
    )
    if not machine.tombstones.has_room(address):
        raise JobStoreFullError(
            "Too many cancels of jobs that are not stored.",
            job=job_id,
            retry_after_s=TOMBSTONES_RETRY_S,
        )
    return Proposal(EndWorkflow(job_id=job_id, address=address, caller=caller))


def status_of(workflow: WorkflowRecord) -> WorkflowStatus:
    """Return the status message of a job."""
    return WorkflowStatus(job_id=workflow.job_id, state=workflow.state)


def check_job_id(job_id: str) -> None:
    """Raise `InvalidJobError` if no job can have an id."""
    if not _is_job_id(job_id):
        raise InvalidJobError("The id of the job is not valid.", job=job_id)


def _is_job_id(job_id: str) -> bool:
    return (
        0 < len(job_id) <= JOB_ID_LENGTH_MAX
        and job_id.isascii()
        and job_id.isalnum()
    )
