"""Request handling on the leader of a control group."""

from collections.abc import Callable

import msgspec

from sardinespool.clock import Instant
from sardinespool.dispatch.admission import Admission
from sardinespool.dispatch.class_load import LoadMeter
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.job_room import JobRoom
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.order_tickets import OrderTickets
from sardinespool.dispatch.placement_explanation import explain_placement
from sardinespool.dispatch.report_check import check_report
from sardinespool.dispatch.stored_jobs import cancel_job
from sardinespool.dispatch.stored_jobs import check_job_id
from sardinespool.dispatch.stored_jobs import find_job
from sardinespool.dispatch.stored_jobs import status_of
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import NotReadyError
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.groups.interfaces import Proposal
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import Refused
from sardinespool.messages.dump import DumpState
from sardinespool.messages.dump import StateDump
from sardinespool.messages.explain import ExplainPlacement
from sardinespool.messages.explain import PlacementExplanation
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.manifest import MemberList
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import ReadManifest
from sardinespool.messages.manifest import ReadMembers
from sardinespool.messages.manifest import ReadOrderTicket
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.worker_reports import DropWorker
from sardinespool.messages.worker_reports import PutWorker
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerLeaves
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import CountWaiting
from sardinespool.messages.workflows import EndWorkflow
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunsRecorded
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WaitingCount
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import Metrics
from sardinespool.replication.identity import member_name
from sardinespool.replication.status import ReplicaStatus
from sardinespool.workflows.authorization import check_owner
from sardinespool.workflows.authorization import find_caller
from sardinespool.workflows.authorization import workspace_of_job
from sardinespool.workflows.manifest import check_manifest
from sardinespool.workflows.records import WorkflowRecord
from sardinespool.workflows.validation import check_gangs
from sardinespool.workflows.validation import check_spec

_LOG = get_logger("control")


class ControlService:
    """Serves callers, workers and operators and runs the dispatcher.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    dispatcher : Dispatcher
        Plans runs and sends orders to workers.
    status : callable
        Returns the status of the local replica.
    """

    def __init__(
        self,
        machine: ControlMachine,
        dispatcher: Dispatcher,
        status: Callable[[], ReplicaStatus],
    ) -> None:
        self._machine = machine
        self._dispatcher = dispatcher
        self._status = status
        self._order_tickets = OrderTickets()
        self._admission = Admission(
            LoadMeter(machine, dispatcher.fleet),
            dispatcher.estimates.run_times,
            dispatcher.refused_jobs,
            dispatcher.settings.admission,
        )
        self._room = JobRoom(machine, dispatcher.settings)

    def become_leader(self, now: Instant) -> None:
        """Start the dispatcher with the current term as fencing token."""
        self._dispatcher.begin(self._status().term, now)
        self._admission.begin(now)
        self._room.begin()

    def step_down(self) -> None:
        """Stop the dispatcher."""
        self._dispatcher.end()

    def handle(
        self, request: Request, now: Instant
    ) -> ImmediateReply | Proposal:
        """Answer a request directly or return the command to propose.

        Raises
        ------
        SardinespoolError
            The request is rejected.
        """
        match request:
            case SubmitWorkflow():
                return self._submit(request, now)
            case ReadWorkflow():
                workflow = find_job(self._machine, request)
                return ImmediateReply(status_of(workflow))
            case CancelWorkflow():
                self._check_ticket(request, now)
                return cancel_job(self._machine, request, self._order_tickets)
            case CountWaiting():
                return self._count_waiting(request)
            case PublishManifest():
                return self._publish(request)
            case ReadManifest():
                return self._read_manifest()
            case ReadOrderTicket():
                ticket = self._order_tickets.issue(self._status().term, now)
                return ImmediateReply(ticket)
            case SetEvacuation():
                self._order_tickets.accept(request, self._status().term, now)
                _LOG.info(
                    "evacuation",
                    failure_domain=request.failure_domain,
                    evacuated=request.evacuated,
                )
                return Proposal(
                    SetEvacuation(
                        failure_domain=request.failure_domain,
                        evacuated=request.evacuated,
                    )
                )
            case ReportWorker():
                check_report(request, now)
                description = self._dispatcher.handle_heartbeat(request, now)
                if description is None:
                    return ImmediateReply(Accepted())
                return Proposal(PutWorker(description=description))
            case WorkerLeaves():
                return self._remove_worker(request, now)
            case DumpState():
                state = msgspec.json.encode(self._dump())
                return ImmediateReply(StateDump(json=state))
            case ExplainPlacement():
                return ImmediateReply(self._explain(request, now))
            case ReadMembers():
                return ImmediateReply(self._member_list(now))
            case _:
                raise InvalidMessageError(
                    "A control group does not serve this request.",
                    request=type(request).__name__,
                )

    def build_reply(
        self, request: Request, result: Reply, now: Instant
    ) -> Reply:
        """Return the reply to a request whose command was applied."""
        return result

    def tick(self, now: Instant) -> list[CommandBody]:
        """Run a planning pass and return the commands to propose."""
        commands = (
            self._dispatcher.plan(now),
            self._dispatcher.estimates.take_due(now),
        )
        return [command for command in commands if command is not None]

    def on_applied(
        self, body: CommandBody, result: Reply, now: Instant
    ) -> None:
        """Apply a committed command to the dispatcher."""
        match body, result:
            case RecordRuns(), RunsRecorded():
                self._dispatcher.recorded(body, result, now)
            case RecordRuns(), _:
                # The dispatcher would propose the same command forever.
                raise InvalidMessageError("The group refused the plan.")
            case PutWorker(description=description), _:
                # The state may hold a later description by now.
                stored = self._machine.workers.get(description.worker_id)
                if stored is not None:
                    self._dispatcher.description_committed(stored, now)
            case DropWorker(worker_id=worker_id), _:
                # The state keeps an incarnation that registered meanwhile.
                if worker_id not in self._machine.workers:
                    self._dispatcher.worker_left(worker_id)
            case EndWorkflow(job_id=job_id), Refused():
                _LOG.info("cancel without a stored job", job=job_id)
            case (
                (EndWorkflow() | AcceptWorkflow()),
                WorkflowStatus(state="cancelled") as status,
            ):
                self._room.release(status.job_id)
                _LOG.info("job cancelled", job=status.job_id)
                self._dispatcher.stop_job(status.job_id, "job cancelled")
            case AcceptWorkflow() as accepted, WorkflowStatus() as status:
                self._room.release(status.job_id)
                _LOG.info(
                    "job accepted",
                    job=status.job_id,
                    queue=accepted.queue,
                    workspace=self._machine.table.workflows[
                        status.job_id
                    ].workspace,
                    steps=len(accepted.spec.steps),
                    manifest_version=self._machine.manifest.version,
                    term=self._status().term,
                )
                self._dispatcher.estimates.predict(status.job_id)
                self._dispatcher.job_accepted()
            case PublishManifest(version=version), Accepted():
                _LOG.info("manifest in force", version=version)

    def _submit(
        self, request: SubmitWorkflow, now: Instant
    ) -> ImmediateReply | Proposal:
        self._check_ticket(request, now)
        outcome = self._check_submission(request, self._admission, now)
        self._order_tickets.note_submission(outcome.job_id, now)
        if isinstance(outcome, WorkflowRecord):
            return ImmediateReply(status_of(outcome))
        self._room.reserve(outcome.job_id, outcome.spec, now)
        return Proposal(outcome)

    def _check_ticket(
        self, request: SubmitWorkflow | CancelWorkflow, now: Instant
    ) -> None:
        """Raise an error if a request is late; earlier builds don't tell."""
        if request.ticket is not None:
            self._order_tickets.check(
                request.ticket, request.valid_ms, self._status().term, now
            )

    def _explain(
        self, request: ExplainPlacement, now: Instant
    ) -> PlacementExplanation:
        metrics = DispatchMetrics(Metrics("explanation", ""))
        admission = self._admission.copy(metrics.refused_jobs)
        outcome = self._check_submission(request, admission, now)
        if isinstance(outcome, WorkflowRecord):
            explained: dict[str, object] = {
                "job": outcome.job_id,
                "stored_state": outcome.state,
                "steps": [],
            }
        else:
            explained = explain_placement(
                outcome,
                self._machine,
                self._dispatcher.fleet,
                self._dispatcher.planner,
                metrics,
                now,
            )
        return PlacementExplanation(json=msgspec.json.encode(explained))

    def _check_submission(
        self,
        request: SubmitWorkflow | ExplainPlacement,
        admission: Admission,
        now: Instant,
    ) -> WorkflowRecord | AcceptWorkflow:
        """Return the job if it is stored, else the command to store it."""
        manifest = self._machine.manifest
        queue, job_id = manifest.resolve(request.host, request.path)
        caller = find_caller(manifest, queue, request.key_digest)
        check_job_id(job_id)
        stored = self._machine.table.workflows.get(job_id)
        if stored is not None:
            check_owner(manifest, queue, caller, stored)
            return stored
        check_spec(request.spec)
        name = workspace_of_job(queue, caller)
        workspace = manifest.workspaces_by_name.get(name)
        if workspace is not None:
            check_gangs(request.spec, workspace)
        self._room.check(
            job_id, queue.name, request.spec, admission.refused_jobs, now
        )
        admission.check(job_id, queue, request.spec, now)
        return AcceptWorkflow(
            job_id=job_id,
            queue=queue.name,
            spec=request.spec,
            workspace=name,
            key_digest=request.key_digest,
        )

    def _count_waiting(self, request: CountWaiting) -> ImmediateReply:
        manifest = self._machine.manifest
        queue, _ = manifest.resolve(request.host, request.path)
        find_caller(manifest, queue, request.key_digest)
        waiting = self._machine.table.waiting.get(queue.name, ())
        return ImmediateReply(WaitingCount(waiting=len(waiting)))

    def _publish(self, request: PublishManifest) -> ImmediateReply | Proposal:
        check_manifest(request)
        if request.version <= self._machine.manifest.version:
            return ImmediateReply(Accepted())
        return Proposal(request)

    def _read_manifest(self) -> ImmediateReply:
        current = self._machine.manifest.current
        if current is None:
            raise NotReadyError("No manifest has been published yet.")
        return ImmediateReply(
            ManifestCopy(version=current.version, source=current.source)
        )

    def _remove_worker(
        self, request: WorkerLeaves, now: Instant
    ) -> ImmediateReply | Proposal:
        known = self._machine.workers.get(request.worker_id)
        if known is None:
            return ImmediateReply(Accepted())
        leaves = self._dispatcher.has_left(
            request.worker_id, request.incarnation, now
        )
        _LOG.info(
            "worker leaves" if leaves else "ignored a late leave",
            worker=request.worker_id,
            life=request.incarnation,
            known_life=known.incarnation,
            draining=known.draining,
        )
        if not leaves:
            return ImmediateReply(Accepted())
        return Proposal(
            DropWorker(
                worker_id=request.worker_id, incarnation=known.incarnation
            )
        )

    def _member_list(self, now: Instant) -> MemberList:
        status = self._status()
        return MemberList(
            members=tuple(
                member_name(identity)
                for identity in (*status.voters, *status.learners)
            ),
            manifest_version=self._machine.manifest.version,
            ticket=self._order_tickets.issue(status.term, now),
        )

    def _dump(self) -> dict[str, object]:
        table = self._machine.table
        return {
            "manifest_version": self._machine.manifest.version,
            "evacuated": sorted(self._machine.evacuated),
            "jobs": len(table.workflows),
            "tombstones": len(self._machine.tombstones.numbers),
            "ready_steps": len(table.ready),
            "waiting_jobs": table.waiting_counts(),
            "workspaces": self._dispatcher.describe_workspaces(),
            "workers": {
                worker.worker_id: {
                    "answered": worker.answered,
                    "draining": worker.description.draining,
                    "free_millicores": worker.free_millicores,
                    "free_memory_mb": worker.free_memory_mb,
                    "runs": len(worker.runs),
                }
                for worker in self._dispatcher.fleet.workers.values()
            },
        }
