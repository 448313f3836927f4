"""Volatile state and request handling of the global group's leader."""

import msgspec

from sardinespool.clock import Instant
from sardinespool.domains.permit import start_permit_deadline_unix_ms
from sardinespool.errors.tasks import GroupRetiredError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.groups.global_machine import GlobalMachine
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.groups.interfaces import Proposal
from sardinespool.groups.job_homes import DomainRecord
from sardinespool.groups.job_homes import is_assigned_by
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import Refused
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import ConfigurationStatus
from sardinespool.messages.configuration import ConfigurationStatusReply
from sardinespool.messages.configuration import DomainStatus
from sardinespool.messages.configuration import ListPatches
from sardinespool.messages.configuration import ListVersions
from sardinespool.messages.configuration import PatchList
from sardinespool.messages.configuration import ReadConfiguration
from sardinespool.messages.configuration import RejectPatch
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.messages.configuration import VersionList
from sardinespool.messages.dump import DumpState
from sardinespool.messages.dump import StateDump
from sardinespool.messages.jobs import CancelJob
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import JobChange
from sardinespool.messages.jobs import JobList
from sardinespool.messages.jobs import ListJobs
from sardinespool.messages.jobs import ReleasedJob
from sardinespool.messages.jobs import ReleaseId
from sardinespool.messages.jobs import SubmitJob
from sardinespool.messages.jobs import SyncDomain

JOB_CHANGES_PER_REPLY = 500
PAYLOAD_BYTES_PER_REPLY = 1_048_576
"""Keeps a reply well below the frame size limit of 8 MiB."""

ACKNOWLEDGED_CHANGES_MAX = 100
"""Above this number, a command removes the acknowledged job changes."""


class GlobalService:
    """Configuration, job homes and start permits, served on the leader.

    Parameters
    ----------
    machine : GlobalMachine
        Replicated state; read here, changed by commands only.
    """

    def __init__(self, machine: GlobalMachine) -> None:
        self._machine = machine
        self._domain_statuses: dict[str, DomainStatus] = {}

    def become_leader(self, now: Instant) -> None:
        """Start serving without any domain reports."""
        self._domain_statuses.clear()

    def step_down(self) -> None:
        """Discard the reports of the failure domains."""
        self._domain_statuses.clear()

    def handle(
        self, request: Request, now: Instant
    ) -> ImmediateReply | Proposal:
        """Answer a request or propose a command.

        Raises
        ------
        SardinespoolError
            The request is refused.
        """
        history = self._machine.history
        match request:
            case SubmitPatch() | ApprovePatch() | RejectPatch():
                return Proposal(request)
            case SubmitJob() | CancelJob():
                return Proposal(request)
            case SyncDomain():
                self._record_status(request, now)
                if self._needs_command(request):
                    return Proposal(request)
                return ImmediateReply(self._domain_sync_reply(request, now))
            case ReadConfiguration():
                return ImmediateReply(history.configuration)
            case ListPatches():
                return ImmediateReply(PatchList(patches=history.pending()))
            case ListVersions(after_version=after, limit=limit):
                versions = tuple(
                    record
                    for version, record in history.versions.items()
                    if version > after
                )
                return ImmediateReply(VersionList(versions=versions[:limit]))
            case ConfigurationStatus():
                return ImmediateReply(self._configuration_status())
            case ListJobs(limit=limit):
                records = list(self._machine.job_homes.jobs.values())[-limit:]
                receipts = tuple(record.receipt for record in records[::-1])
                return ImmediateReply(JobList(jobs=receipts))
            case DumpState():
                return ImmediateReply(self._dump())
            case _:
                raise InvalidMessageError(
                    "The global group does not serve this request.",
                    request=type(request).__name__,
                )

    def build_reply(
        self, request: Request, result: Reply, now: Instant
    ) -> Reply:
        """Return the reply to a request whose proposal was applied."""
        if isinstance(request, SyncDomain) and not isinstance(result, Refused):
            return self._domain_sync_reply(request, now)
        return result

    def on_applied(
        self, body: CommandBody, result: Reply, now: Instant
    ) -> None:
        """Ignore the result; `tick` proposes no commands."""

    def tick(self, now: Instant) -> list[CommandBody]:
        """Return no commands; the state changes on requests only."""
        return []

    def _record_status(self, request: SyncDomain, now: Instant) -> None:
        self._domain_statuses[request.failure_domain] = DomainStatus(
            failure_domain=request.failure_domain,
            version=request.known_version,
            reported_unix_ms=now.unix_ms,
            in_service=self._machine.in_service(request.failure_domain),
            processes=request.processes,
        )

    def _needs_command(self, request: SyncDomain) -> bool:
        domain = self._machine.job_homes.domains.get(request.failure_domain)
        if domain is None:
            return True
        if domain.group_incarnation != request.group_incarnation:
            if request.group_incarnation in domain.retired_incarnations:
                raise GroupRetiredError("The group was formed again since.")
            return True
        if request.finished_jobs or request.released_jobs:
            return True
        acknowledged = sum(
            change.sequence <= request.known_job_sequence
            for change in domain.changes
        )
        return acknowledged > ACKNOWLEDGED_CHANGES_MAX

    def _domain_sync_reply(
        self, request: SyncDomain, now: Instant
    ) -> DomainSync:
        configuration = self._machine.history.configuration
        domain = self._machine.job_homes.domains[request.failure_domain]
        is_newer = configuration.version > request.known_version
        return DomainSync(
            version=configuration.version,
            configuration=configuration if is_newer else None,
            start_permit_deadline_unix_ms=start_permit_deadline_unix_ms(
                self._machine.in_service(request.failure_domain), now
            ),
            reformed=bool(domain.retired_incarnations),
            job_changes=self._job_changes(domain, request, now),
            recorded_finished_jobs=tuple(
                job_id
                for job_id in request.finished_jobs
                if self._is_finish_recorded(job_id, request.failure_domain)
            ),
            recorded_released_jobs=tuple(
                ReleaseId(
                    job_id=released_job.job_id,
                    assign_sequence=released_job.assign_sequence,
                )
                for released_job in request.released_jobs
                if self._is_release_recorded(
                    released_job, request.failure_domain
                )
            ),
        )

    def _job_changes(
        self, domain: DomainRecord, request: SyncDomain, now: Instant
    ) -> tuple[JobChange, ...]:
        if now.unix_ms < domain.hold_deadline_unix_ms:
            return ()
        pending = tuple(
            change
            for change in domain.changes
            if change.sequence > request.known_job_sequence
        )
        payload_bytes = 0
        for count, change in enumerate(pending[:JOB_CHANGES_PER_REPLY]):
            payload_bytes += _payload_bytes(change)
            # Send at least one change; otherwise a large one would block
            # all later changes.
            if count and payload_bytes > PAYLOAD_BYTES_PER_REPLY:
                return pending[:count]
        return pending[:JOB_CHANGES_PER_REPLY]

    def _is_finish_recorded(self, job_id: str, failure_domain: str) -> bool:
        record = self._machine.job_homes.jobs.get(job_id)
        if record is None or record.job is None:
            return True
        return record.receipt.failure_domain != failure_domain

    def _is_release_recorded(
        self, released_job: ReleasedJob, failure_domain: str
    ) -> bool:
        record = self._machine.job_homes.jobs.get(released_job.job_id)
        if record is None or record.job is None:
            return True
        return record.receipt.state == "moving" or not is_assigned_by(
            record, failure_domain, released_job.assign_sequence
        )

    def _configuration_status(self) -> ConfigurationStatusReply:
        # A domain that has been unreachable since this leader took over has
        # no report; it is listed so that operators can take it out of service.
        return ConfigurationStatusReply(
            version=self._machine.history.configuration.version,
            domains=tuple(
                msgspec.structs.replace(
                    self._domain_statuses.get(name, _missing_status(name)),
                    in_service=self._machine.in_service(name),
                )
                for name in sorted(self._machine.job_homes.domains)
            ),
        )

    def _dump(self) -> StateDump:
        return StateDump(
            json=msgspec.json.encode(
                {
                    "group_incarnation": self._machine.group_incarnation,
                    "history": self._machine.history.state(),
                    "job_homes": self._machine.job_homes.state(),
                    "domain_statuses": self._domain_statuses,
                }
            )
        )


def _payload_bytes(change: JobChange) -> int:
    size = sum(len(task.checkpoint) for task in change.transfers)
    return size if change.job is None else size + len(change.job.payload)


def _missing_status(failure_domain: str) -> DomainStatus:
    return DomainStatus(
        failure_domain=failure_domain,
        version=0,
        reported_unix_ms=0,
        in_service=True,
    )
