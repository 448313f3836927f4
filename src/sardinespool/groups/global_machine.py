"""Replicated state of the global group."""

import msgspec

from sardinespool.configuration.history import History
from sardinespool.configuration.history import HistoryState
from sardinespool.errors import SardinespoolError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.groups.job_homes import JobHomes
from sardinespool.groups.job_homes import JobHomesState
from sardinespool.groups.refusal import refusal_from_error
from sardinespool.messages.base import Record
from sardinespool.messages.codec import Reply
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import FormGroup
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import RejectPatch
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.messages.jobs import CancelJob
from sardinespool.messages.jobs import SubmitJob
from sardinespool.messages.jobs import SyncDomain
from sardinespool.messages.tasks import Accepted

EXPIRY_INTERVAL_MS = 60_000


class GlobalState(Record, frozen=True, kw_only=True):
    """Snapshot of a `GlobalMachine`."""

    group_incarnation: str
    history: HistoryState
    job_homes: JobHomesState
    next_expiry_deadline_unix_ms: int


class GlobalMachine:
    """Configuration history and home failure domains of jobs.

    Attributes
    ----------
    group_incarnation : str
        Empty until the group is formed.
    history : History
        Versions, patches and approvals.
    job_homes : JobHomes
        Home failure domain of every job.
    """

    def __init__(self) -> None:
        self.group_incarnation = ""
        self.history = History()
        self.job_homes = JobHomes()
        self._next_expiry_deadline_unix_ms = 0

    def apply(self, command: Command, index: int) -> Reply:
        """Apply a committed command and return its result."""
        try:
            reply = self._apply(command.body, command.proposed_unix_ms)
        except SardinespoolError as error:
            reply = refusal_from_error(error)
        self._expire_jobs(command.proposed_unix_ms)
        return reply

    def in_service(self, failure_domain: str) -> bool:
        """Return whether the current version has the domain in service.

        A domain without a configured state is in service.
        """
        value = self.history.configuration.values.get(
            f"failure_domains/{failure_domain}"
        )
        return value is None or value["state"] == "in-service"

    def domains_in_service(self) -> set[str]:
        """Return the known failure domains that are in service."""
        return {
            name for name in self.job_homes.domains if self.in_service(name)
        }

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return msgspec.msgpack.encode(
            GlobalState(
                group_incarnation=self.group_incarnation,
                history=self.history.state(),
                job_homes=self.job_homes.state(),
                next_expiry_deadline_unix_ms=(
                    self._next_expiry_deadline_unix_ms
                ),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = msgspec.msgpack.decode(data, type=GlobalState)
        self.group_incarnation = state.group_incarnation
        self.history.restore(state.history)
        self.job_homes.restore(state.job_homes)
        self._next_expiry_deadline_unix_ms = state.next_expiry_deadline_unix_ms

    def _apply(self, body: CommandBody, unix_ms: int) -> Reply:
        match body:
            case FormGroup(group_incarnation=incarnation):
                self.group_incarnation = self.group_incarnation or incarnation
                return Accepted()
            case SubmitPatch():
                receipt = self.history.submit(body, unix_ms)
                self.job_homes.assign_moving_jobs(self.domains_in_service())
                return receipt
            case ApprovePatch():
                receipt = self.history.approve(body, unix_ms)
                self.job_homes.assign_moving_jobs(self.domains_in_service())
                return receipt
            case RejectPatch():
                return self.history.reject(body)
            case SubmitJob(job=job):
                return self.job_homes.submit(job, self.domains_in_service())
            case CancelJob(job_id=job_id):
                return self.job_homes.cancel(job_id, unix_ms)
            case SyncDomain():
                self._sync_domain(body, unix_ms)
                return Accepted()
            case _:
                raise InvalidMessageError(
                    "The global group does not have this command.",
                    command=type(body).__name__,
                )

    def _sync_domain(self, body: SyncDomain, unix_ms: int) -> None:
        name = body.failure_domain
        self.job_homes.register(name, body.group_incarnation, unix_ms)
        self.job_homes.acknowledge(name, body.known_job_sequence)
        for job_id in body.finished_jobs:
            self.job_homes.finish(name, job_id, unix_ms)
        in_service = self.domains_in_service()
        for released_job in body.released_jobs:
            self.job_homes.release(name, released_job, in_service, unix_ms)
        self.job_homes.assign_moving_jobs(in_service)

    def _expire_jobs(self, unix_ms: int) -> None:
        if unix_ms >= self._next_expiry_deadline_unix_ms:
            self.job_homes.expire(unix_ms)
            self._next_expiry_deadline_unix_ms = unix_ms + EXPIRY_INTERVAL_MS
