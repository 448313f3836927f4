"""Replicated state of a control group."""

import msgspec

from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.tasks import JobGoneError
from sardinespool.errors.tasks import QueueNotFoundError
from sardinespool.errors.tasks import TaskError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.groups.refusal import refusal_from_error
from sardinespool.messages import codec
from sardinespool.messages.codec import Reply
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import FormGroup
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.worker_reports import DropWorker
from sardinespool.messages.worker_reports import keep_draining
from sardinespool.messages.worker_reports import PutWorker
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import EndWorkflow
from sardinespool.messages.workflows import JobAddress
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.workflows.authorization import check_owner
from sardinespool.workflows.authorization import workspace_at_commit
from sardinespool.workflows.manifest import check_manifest
from sardinespool.workflows.manifest import ManifestState
from sardinespool.workflows.records import WorkflowRecord
from sardinespool.workflows.snapshot import ControlSnapshot
from sardinespool.workflows.snapshot import decode_snapshot
from sardinespool.workflows.snapshot import restore_workflow
from sardinespool.workflows.snapshot import snapshot_of
from sardinespool.workflows.table import WorkflowTable
from sardinespool.workflows.tombstones import Tombstones

DEPARTED_MAX = 2_000
"""Departed workers that are remembered; the earliest are forgotten first. A
late heartbeat arrives within seconds of the departure."""


class ControlMachine:
    """Manifest, jobs, workers and evacuated failure domains.

    Attributes
    ----------
    group_incarnation : str
        Empty until the group is formed.
    manifest : ManifestState
        Active manifest.
    table : WorkflowTable
        Jobs with their tasks.
    evacuated : set of str
        Failure domains whose workers are assigned no more tasks.
    workers : dict of str to WorkerDescription
        Latest known incarnation of each worker.
    departed : dict of str to int
        Last incarnation of each worker that left, in the order of leaving.
    estimates : RecordEstimates or None
        Interference estimates that earlier leaders recorded.
    tombstones : Tombstones
        Cancelled jobs that are not stored.
    """

    def __init__(self) -> None:
        self.group_incarnation = ""
        self.manifest = ManifestState()
        self.table = WorkflowTable()
        self.evacuated: set[str] = set()
        self.workers: dict[str, WorkerDescription] = {}
        self.departed: dict[str, int] = {}
        self.estimates: RecordEstimates | None = None
        self.tombstones = Tombstones()

    def current_queue(self, workflow: WorkflowRecord) -> QueueSpec:
        """Return the queue of a job in the active manifest.

        Falls back to the queue stored with the job if it was removed.
        """
        return self.manifest.queue_named(workflow.queue.name) or workflow.queue

    def failures_max(self, workflow: WorkflowRecord) -> int:
        """Return the number of failed runs of a task that fails its job."""
        return self.current_queue(workflow).failures_max

    def apply(self, command: Command, index: int) -> Reply:
        """Apply a committed command; see `GroupMachine`."""
        now_unix_ms = command.proposed_unix_ms
        match command.body:
            case RecordRuns() as body:
                self.tombstones.forget_through(body.forgotten_tombstones)
                return self.table.record_runs(
                    body,
                    now_unix_ms,
                    self.failures_max,
                    self.manifest.workspaces_by_name,
                )
            case AcceptWorkflow() as body:
                return self._accept_workflow(body, now_unix_ms)
            case EndWorkflow() as body:
                return self._end_workflow(body, now_unix_ms)
            case PublishManifest() as body:
                return self._publish_manifest(body)
            case SetEvacuation(failure_domain=domain, evacuated=evacuated):
                if evacuated:
                    self.evacuated.add(domain)
                else:
                    self.evacuated.discard(domain)
            case PutWorker(description=description):
                self._put_worker(description)
            case DropWorker() as body:
                stored = self.workers.get(body.worker_id)
                if (
                    stored is not None
                    and stored.incarnation == body.incarnation
                ):
                    del self.workers[body.worker_id]
                    self._remember_departure(body)
            case RecordEstimates() as body:
                self.estimates = body
            case FormGroup(group_incarnation=incarnation):
                self.group_incarnation = self.group_incarnation or incarnation
            case _:
                return refusal_from_error(
                    InvalidMessageError(
                        "A control group does not know this command.",
                        command=type(command.body).__name__,
                    )
                )
        return Accepted()

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return codec.encode_state(
            ControlSnapshot(
                group_incarnation=self.group_incarnation,
                manifest=self.manifest.current,
                evacuated=tuple(sorted(self.evacuated)),
                workers=tuple(self.workers.values()),
                estimates=self.estimates,
                departed=self.departed,
                quotas_full_unix_us=self.table.quotas.full_unix_us,
                workflows=tuple(
                    snapshot_of(item) for item in self.table.workflows.values()
                ),
                tombstones=tuple(self.tombstones.numbers.items()),
                last_tombstone=self.tombstones.last_number,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        snapshot = decode_snapshot(data)
        self.group_incarnation = snapshot.group_incarnation
        self.manifest = ManifestState()
        if snapshot.manifest is not None:
            self.manifest.put(snapshot.manifest)
        self.evacuated = set(snapshot.evacuated)
        self.estimates = snapshot.estimates
        self.departed = dict(snapshot.departed)
        self.workers = {item.worker_id: item for item in snapshot.workers}
        self.table = WorkflowTable()
        self.table.quotas.full_unix_us = dict(snapshot.quotas_full_unix_us)
        self.table.workflows = {
            item.job_id: restore_workflow(item) for item in snapshot.workflows
        }
        self.table.rebuild_indexes()
        self.tombstones = Tombstones(
            snapshot.tombstones, snapshot.last_tombstone
        )

    def _accept_workflow(
        self, body: AcceptWorkflow, now_unix_ms: int
    ) -> Reply:
        stored = self.table.workflows.get(body.job_id)
        try:
            workspace = workspace_at_commit(self.manifest, body, stored)
        except TaskError as error:
            return refusal_from_error(error)
        if stored is not None:
            return WorkflowStatus(job_id=body.job_id, state=stored.state)
        queue = self.manifest.queue_named(body.queue)
        if queue is None:
            return refusal_from_error(
                QueueNotFoundError("The queue was removed.", queue=body.queue)
            )
        if workspace != body.workspace:
            # The key was given to another workspace since the check.
            body = msgspec.structs.replace(body, workspace=workspace)
        workflow = self.table.accept(
            body, queue, now_unix_ms, self.manifest.workspaces_by_name
        )
        address = JobAddress(
            host=queue.host,
            prefix=queue.prefix,
            workspace=workspace,
            job_id=body.job_id,
        )
        if self.tombstones.take(address):
            self.table.cancel(body.job_id, now_unix_ms)
        return WorkflowStatus(job_id=body.job_id, state=workflow.state)

    def _end_workflow(self, body: EndWorkflow, now_unix_ms: int) -> Reply:
        """Cancel a job, or remember the cancel if it is not stored."""
        address = body.address
        if address is not None:
            stored = self.table.workflows.get(body.job_id)
            if stored is None:
                self.tombstones.add(address)
                return refusal_from_error(
                    JobGoneError(
                        "No job of this id is stored.", job=body.job_id
                    )
                )
            try:
                queue, _ = self.manifest.resolve(
                    address.host, address.prefix + address.job_id
                )
                check_owner(self.manifest, queue, body.caller, stored)
            except TaskError as error:
                return refusal_from_error(error)
        workflow = self.table.cancel(body.job_id, now_unix_ms)
        state = "cancelled" if workflow is None else workflow.state
        return WorkflowStatus(job_id=body.job_id, state=state)

    def _publish_manifest(self, body: PublishManifest) -> Reply:
        try:
            check_manifest(body)
        except InvalidManifestError as error:
            return refusal_from_error(error)
        if self.manifest.put(body):
            self.table.quotas.retain(self.manifest.workspaces_by_name)
        return Accepted()

    def has_departed(self, description: WorkerDescription) -> bool:
        """Return whether this or a later incarnation of a worker has left.

        A worker that does not report its start time can't be told from its
        next process, so it never counts as departed.
        """
        last = self.departed.get(description.worker_id, 0)
        return 0 < description.incarnation <= last

    def _remember_departure(self, body: DropWorker) -> None:
        self.departed.pop(body.worker_id, None)
        self.departed[body.worker_id] = body.incarnation
        while len(self.departed) > DEPARTED_MAX:
            del self.departed[next(iter(self.departed))]

    def _put_worker(self, description: WorkerDescription) -> None:
        if self.has_departed(description):
            return
        stored = self.workers.get(description.worker_id)
        if stored is not None:
            if description.incarnation < stored.incarnation:
                return
            description = keep_draining(stored, description)
        self.workers[description.worker_id] = description
