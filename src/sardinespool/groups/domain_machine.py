"""Replicated state of one failure domain."""

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.domains.start_restriction import is_in_service
from sardinespool.domains.start_restriction import remaining_restriction
from sardinespool.domains.start_restriction import StartRestriction
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import NotReadyError
from sardinespool.groups import domain_tasks
from sardinespool.groups.domain_state import decode_state
from sardinespool.groups.domain_state import DomainState
from sardinespool.groups.domain_state import encode_state
from sardinespool.messages.codec import Reply
from sardinespool.messages.commands import AcceptJobs
from sardinespool.messages.commands import AdoptConfiguration
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import ConfirmGroup
from sardinespool.messages.commands import DenyTasks
from sardinespool.messages.commands import ExpireRecords
from sardinespool.messages.commands import FormGroup
from sardinespool.messages.commands import JobsRecorded
from sardinespool.messages.commands import RecordWorker
from sardinespool.messages.commands import Refused
from sardinespool.messages.commands import WorkerLost
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import FailTasks
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import ReleaseJob
from sardinespool.messages.tasks import RestrictStarts
from sardinespool.messages.tasks import ThrottleTasks
from sardinespool.requests.keys import check_key
from sardinespool.requests.keys import parse_key
from sardinespool.requests.record import RETENTION_MS
from sardinespool.requests.table import RequestTable
from sardinespool.tasks import jobs
from sardinespool.tasks.table import TaskTable
from sardinespool.tasks.workers import WorkerTable


class DomainMachine:
    """Tasks, workers, request records and configuration of a domain.

    Parameters
    ----------
    failure_domain : str
        Name of the failure domain and of its group.

    Attributes
    ----------
    group_incarnation : str
        Empty until the group is formed.
    formed_unix_ms : int
        Time at which the group was formed.
    reformed : bool
        Whether an earlier incarnation of the group lost all its disks.
    confirmed : bool
        Whether the global group has confirmed the value of `reformed`.
    configuration : Configuration
        The active version.
    restriction : StartRestriction or None
        Set while a local operator blocks task starts.
    known_job_sequence : int
        Sequence number of the last job change applied.
    tasks : TaskTable
        Jobs and tasks of the domain.
    workers : WorkerTable
        Registered workers.
    requests : RequestTable
        Records of requests that must run once.
    """

    def __init__(self, failure_domain: str) -> None:
        self.failure_domain = failure_domain
        self.group_incarnation = ""
        self.formed_unix_ms = 0
        self.reformed = False
        self.confirmed = False
        self.configuration = Configuration()
        self.restriction: StartRestriction | None = None
        self.known_job_sequence = 0
        self.tasks = TaskTable()
        self.workers = WorkerTable()
        self.requests = RequestTable()

    @property
    def in_service(self) -> bool:
        """Whether the active configuration has the domain in service."""
        return is_in_service(self.configuration, self.failure_domain)

    def apply(self, command: Command, index: int) -> Reply:
        """Apply a committed command; see `GroupMachine`."""
        now_unix_ms = command.proposed_unix_ms
        match command.body:
            case FormGroup() as body:
                self._form_group(body, now_unix_ms)
            case ConfirmGroup(reformed=reformed):
                self.confirmed = True
                self.reformed = self.reformed or reformed
            case AdoptConfiguration() as body:
                self._adopt_configuration(body.configuration)
            case RestrictStarts() as body:
                self._restrict_starts(body, now_unix_ms)
            case AcceptJobs() as body:
                self._accept_jobs(body, now_unix_ms)
            case JobsRecorded() as body:
                self._record_jobs(body, now_unix_ms)
            case RecordWorker() as body:
                return domain_tasks.record_worker(
                    self.tasks, self.workers, body.heartbeat, now_unix_ms
                )
            case WorkerLost() as body:
                domain_tasks.mark_worker_lost(
                    self.tasks, self.workers, body, now_unix_ms
                )
            case DenyTasks() as body:
                domain_tasks.requeue_denied_tasks(
                    self.tasks, body, now_unix_ms
                )
            case PlaceTasks() as body:
                return domain_tasks.place_tasks(
                    self.tasks,
                    self.workers,
                    self.configuration,
                    body,
                    self.start_refusal_code(),
                    now_unix_ms,
                )
            case EvictTasks() as body:
                return domain_tasks.evict_tasks(self.tasks, body)
            case ThrottleTasks() as body:
                return domain_tasks.throttle_tasks(self.tasks, body)
            case FailTasks() as body:
                return domain_tasks.fail_tasks(self.tasks, body)
            case ReleaseJob() as body:
                return jobs.release(self.tasks, body.job_id)
            case BeginRequest() as body:
                return self._begin_request(body, now_unix_ms)
            case FinishRequest() as body:
                return self.requests.finish(body)
            case AbandonRequest() as body:
                return self.requests.abandon(body)
            case ExpireRecords() as body:
                self.requests.expire(body.before_unix_ms)
                self.workers.expire(body.before_unix_ms)
                jobs.expire_jobs(self.tasks, body.before_unix_ms)
            case _:
                return Refused(
                    code=InvalidMessageError.code,
                    text="A domain group does not take this command.",
                )
        return Accepted()

    def start_refusal_code(self) -> str:
        """Return the code that refuses task starts, or an empty string."""
        if not self.in_service:
            return "out-of-service"
        return "" if self.restriction is None else "restricted"

    def state(self) -> DomainState:
        """Return the whole replicated state."""
        return DomainState(
            failure_domain=self.failure_domain,
            group_incarnation=self.group_incarnation,
            formed_unix_ms=self.formed_unix_ms,
            reformed=self.reformed,
            confirmed=self.confirmed,
            configuration=self.configuration,
            restriction=self.restriction,
            known_job_sequence=self.known_job_sequence,
            table_version=self.workers.table_version,
            jobs=tuple(
                self.tasks.jobs[job_id] for job_id in sorted(self.tasks.jobs)
            ),
            tasks=tuple(self.tasks.all_tasks()),
            workers=tuple(self.workers.ordered()),
            requests=tuple(self.requests.ordered()),
        )

    def snapshot(self) -> bytes:
        """Return the encoded state; equal states give equal bytes."""
        return encode_state(self.state())

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = decode_state(data)
        self.failure_domain = state.failure_domain
        self.group_incarnation = state.group_incarnation
        self.formed_unix_ms = state.formed_unix_ms
        self.reformed = state.reformed
        self.confirmed = state.confirmed
        self.configuration = state.configuration
        self.restriction = state.restriction
        self.known_job_sequence = state.known_job_sequence
        self.tasks = TaskTable()
        self.tasks.load(state.jobs, state.tasks)
        self.workers = WorkerTable()
        self.workers.load(state.workers, state.table_version)
        self.requests = RequestTable()
        self.requests.load(state.requests)

    def claim_reply(
        self, request: BeginRequest, now_unix_ms: int
    ) -> BeginReply | Refused | None:
        """Return the reply to a claim, or None if the key can be claimed.

        Reads the state only; `_begin_request` makes the claim.
        """
        reply = self.requests.recorded_reply(request, now_unix_ms)
        if reply is not None or request.key in self.requests.records:
            return reply
        reply = check_key(
            request, self.failure_domain, self.group_incarnation, now_unix_ms
        )
        if reply is not None:
            return reply
        if request.group_incarnation or self._generated_since_formation(
            request
        ):
            return None
        if not self.reformed and not self.confirmed:
            # Only the global group knows whether an earlier incarnation
            # lost its records.
            return Refused(
                code=NotReadyError.code,
                text="The group has not reached the global group yet.",
            )
        if self.reformed and now_unix_ms < self.formed_unix_ms + RETENTION_MS:
            # The lost incarnation may have recorded this key.
            return BeginReply(state="unknown")
        return None

    def _generated_since_formation(self, request: BeginRequest) -> bool:
        key = parse_key(request.key)
        return (
            key is not None
            and key.failure_domain == self.failure_domain
            and key.generated_unix_ms > self.formed_unix_ms + CLOCK_ERROR_MS
        )

    def _form_group(self, body: FormGroup, now_unix_ms: int) -> None:
        if self.group_incarnation:
            return
        self.group_incarnation = body.group_incarnation
        self.formed_unix_ms = now_unix_ms
        self.reformed = body.reformed
        self.workers.table_version = now_unix_ms

    def _adopt_configuration(self, configuration: Configuration) -> None:
        if configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self.restriction = remaining_restriction(
            self.restriction, configuration, self.failure_domain
        )

    def _restrict_starts(self, body: RestrictStarts, now_unix_ms: int) -> None:
        self.restriction = StartRestriction(
            operator=body.operator,
            version=self.configuration.version,
            restricted_unix_ms=now_unix_ms,
        )

    def _accept_jobs(self, body: AcceptJobs, now_unix_ms: int) -> None:
        for change in body.changes:
            if change.sequence == self.known_job_sequence + 1:
                jobs.apply_job_change(self.tasks, change, now_unix_ms)
                self.known_job_sequence = change.sequence

    def _record_jobs(self, body: JobsRecorded, now_unix_ms: int) -> None:
        for job_id in body.finished_jobs:
            jobs.mark_end_recorded(self.tasks, job_id, now_unix_ms)
        for release in body.released_jobs:
            jobs.remove_recorded_release(self.tasks, release)

    def _begin_request(
        self, body: BeginRequest, now_unix_ms: int
    ) -> BeginReply | Refused:
        reply = self.claim_reply(body, now_unix_ms)
        if reply is not None:
            return reply
        return self.requests.begin(body, now_unix_ms)
