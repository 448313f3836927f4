"""Home failure domain of every job, with the changes each domain follows."""

import hashlib

import msgspec

from sardinespool.errors.tasks import GroupRetiredError
from sardinespool.errors.tasks import JobIdReusedError
from sardinespool.errors.tasks import JobNotFoundError
from sardinespool.errors.tasks import NoFailureDomainError
from sardinespool.messages.base import Record
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import JobChange
from sardinespool.messages.jobs import JobReceipt
from sardinespool.messages.jobs import ReleasedJob
from sardinespool.messages.jobs import TaskTransfer
from sardinespool.tasks.job_check import check_job

FINISHED_RETENTION_MS = 24 * 3_600_000
REFORMED_HOLD_MS = 12_000
"""Two worker leases: tasks that a lost group started have ended by then."""


class JobRecord(Record, frozen=True, kw_only=True):
    """A job at the global group; `job` is dropped once it has finished.

    `transfers` holds the tasks of a released job until a home is found.
    `assign_sequence` is that of the change that assigned the present home.
    """

    receipt: JobReceipt
    digest: str
    job: Job | None
    assign_sequence: int = 0
    transfers: tuple[TaskTransfer, ...] = ()
    finished_unix_ms: int = 0


class DomainRecord(Record, frozen=True, kw_only=True):
    """What the global group keeps for one failure domain.

    `changes` are those that the domain has not acknowledged. They are handed
    out after `hold_deadline_unix_ms`. `retired_incarnations` are those of
    groups whose disks were all lost.
    """

    group_incarnation: str
    retired_incarnations: tuple[str, ...] = ()
    next_sequence: int = 1
    changes: tuple[JobChange, ...] = ()
    hold_deadline_unix_ms: int = 0


class JobHomesState(Record, frozen=True, kw_only=True):
    """Snapshot of `JobHomes`."""

    jobs: tuple[JobRecord, ...]
    domains: dict[str, DomainRecord]


def _job_digest(job: Job) -> str:
    return hashlib.sha256(msgspec.json.encode(job)).hexdigest()


def is_assigned_by(
    record: JobRecord, failure_domain: str, assign_sequence: int
) -> bool:
    """Return whether a release refers to the job's present assignment."""
    return (
        record.receipt.failure_domain == failure_domain
        and record.assign_sequence == assign_sequence
    )


class JobHomes:
    """Assigns jobs to failure domains; a pure part of the global group.

    Attributes
    ----------
    jobs : dict of str to JobRecord
        Jobs by id, finished ones for `FINISHED_RETENTION_MS`.
    domains : dict of str to DomainRecord
        Failure domains whose group has reported at least once.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobRecord] = {}
        self.domains: dict[str, DomainRecord] = {}
        self._load_millicores: dict[str, int] = {}

    def submit(self, job: Job, in_service: set[str]) -> JobReceipt:
        """Assign a home to a job; a resent job gets its receipt again.

        Parameters
        ----------
        job : Job
            The job.
        in_service : set of str
            Failure domains in service by the current configuration.

        Raises
        ------
        InvalidJobError, JobIdReusedError, NoFailureDomainError
            The job is refused.
        """
        digest = _job_digest(job)
        known = self.jobs.get(job.job_id)
        if known is not None:
            if known.digest != digest:
                raise JobIdReusedError("The job id was used for another job.")
            return known.receipt
        check_job(job)
        home = self._choose_home(job, in_service)
        if not home:
            raise NoFailureDomainError(
                "No failure domain can take the job.",
                requested=job.failure_domain,
                in_service=sorted(in_service & self.domains.keys()),
            )
        receipt = JobReceipt(
            job_id=job.job_id, failure_domain=home, state="assigned"
        )
        self.jobs[job.job_id] = JobRecord(
            receipt=receipt, digest=digest, job=job
        )
        self._assign(home, job, ())
        return receipt

    def cancel(self, job_id: str, unix_ms: int) -> JobReceipt:
        """Cancel a job; its home stops the tasks.

        Raises
        ------
        JobNotFoundError
            No job has this id.
        """
        record = self.jobs.get(job_id)
        if record is None:
            raise JobNotFoundError("No job has this id.", job_id=job_id)
        if record.receipt.state in ("finished", "cancelled"):
            return record.receipt
        if record.receipt.state == "moving":
            return self._finish(record, "cancelled", unix_ms).receipt
        record = self._set_state(record, "cancelled")
        self._append(
            record.receipt.failure_domain,
            JobChange(sequence=0, action="cancel", job_id=job_id),
        )
        return record.receipt

    def register(
        self, failure_domain: str, group_incarnation: str, unix_ms: int
    ) -> None:
        """Record a domain's group, or its new incarnation.

        A group that was formed again after the loss of all its disks gets
        its unfinished jobs again, after `REFORMED_HOLD_MS`.

        Raises
        ------
        GroupRetiredError
            A delayed report of a group that was replaced.
        """
        known = self.domains.get(failure_domain)
        if known is None:
            self.domains[failure_domain] = DomainRecord(
                group_incarnation=group_incarnation
            )
            return
        if known.group_incarnation == group_incarnation:
            return
        if group_incarnation in known.retired_incarnations:
            raise GroupRetiredError(
                "The group was formed again since.",
                group_incarnation=known.group_incarnation,
            )
        self.domains[failure_domain] = DomainRecord(
            group_incarnation=group_incarnation,
            retired_incarnations=(
                *known.retired_incarnations,
                known.group_incarnation,
            ),
            hold_deadline_unix_ms=unix_ms + REFORMED_HOLD_MS,
        )
        for record in list(self.jobs.values()):
            if record.receipt.failure_domain != failure_domain:
                continue
            if record.receipt.state == "assigned" and record.job is not None:
                self._append_assign(failure_domain, record.job, ())
            elif record.receipt.state == "cancelled" and record.job:
                self._finish(record, "cancelled", unix_ms)

    def acknowledge(self, failure_domain: str, known_sequence: int) -> None:
        """Drop the changes that a domain has taken."""
        domain = self.domains[failure_domain]
        self.domains[failure_domain] = msgspec.structs.replace(
            domain,
            changes=tuple(
                change
                for change in domain.changes
                if change.sequence > known_sequence
            ),
        )

    def finish(self, failure_domain: str, job_id: str, unix_ms: int) -> None:
        """Record that all tasks of a job have ended at its home."""
        record = self.jobs.get(job_id)
        if record is None or record.job is None:
            return
        if record.receipt.failure_domain != failure_domain:
            return
        state = record.receipt.state
        self._finish(
            record,
            "cancelled" if state == "cancelled" else "finished",
            unix_ms,
        )

    def release(
        self,
        failure_domain: str,
        released: ReleasedJob,
        in_service: set[str],
        unix_ms: int,
    ) -> None:
        """Move a job that its home has released."""
        record = self.jobs.get(released.job_id)
        if record is None or record.job is None:
            return
        if not is_assigned_by(
            record, failure_domain, released.assign_sequence
        ):
            return
        if record.receipt.state == "cancelled":
            self._finish(record, "cancelled", unix_ms)
            return
        if record.receipt.state != "assigned":
            return
        self._unload(failure_domain, record.job)
        record = self._set_state(record, "moving")
        self.jobs[released.job_id] = msgspec.structs.replace(
            record, transfers=released.tasks
        )
        self.place_moving(in_service)

    def place_moving(self, in_service: set[str]) -> None:
        """Give released jobs a home in a domain that is in service."""
        for record in list(self.jobs.values()):
            if record.receipt.state != "moving" or record.job is None:
                continue
            home = self._least_loaded(in_service)
            if not home:
                return
            receipt = msgspec.structs.replace(
                record.receipt, failure_domain=home, state="assigned"
            )
            self.jobs[receipt.job_id] = msgspec.structs.replace(
                record, receipt=receipt, transfers=()
            )
            self._assign(home, record.job, record.transfers)

    def expire(self, unix_ms: int) -> None:
        """Forget jobs that finished before the retention time."""
        limit = unix_ms - FINISHED_RETENTION_MS
        # Records are kept in the order of submission, so a full pass is
        # needed; the caller limits how often.
        for job_id in [
            job_id
            for job_id, record in self.jobs.items()
            if record.job is None and record.finished_unix_ms < limit
        ]:
            del self.jobs[job_id]

    def state(self) -> JobHomesState:
        """Return the whole state."""
        return JobHomesState(
            jobs=tuple(self.jobs.values()), domains=dict(self.domains)
        )

    def restore(self, state: JobHomesState) -> None:
        """Replace the state."""
        self.jobs = {record.receipt.job_id: record for record in state.jobs}
        self.domains = dict(state.domains)
        self._load_millicores = {}
        for record in self.jobs.values():
            if record.job is not None and record.receipt.state != "moving":
                self._add_load(record.receipt.failure_domain, record.job, 1)

    def _choose_home(self, job: Job, in_service: set[str]) -> str:
        wanted = job.failure_domain
        if not wanted:
            return self._least_loaded(in_service)
        if wanted not in self.domains:
            return ""
        if wanted in in_service or job.when_domain_lost == "stay":
            return wanted
        return self._least_loaded(in_service)

    def _least_loaded(self, in_service: set[str]) -> str:
        candidates = sorted(in_service & self.domains.keys())
        if not candidates:
            return ""
        return min(
            candidates, key=lambda name: self._load_millicores.get(name, 0)
        )

    def _assign(
        self, home: str, job: Job, transfers: tuple[TaskTransfer, ...]
    ) -> None:
        self._add_load(home, job, 1)
        self._append_assign(home, job, transfers)

    def _append_assign(
        self, home: str, job: Job, transfers: tuple[TaskTransfer, ...]
    ) -> None:
        sequence = self._append(
            home,
            JobChange(
                sequence=0,
                action="assign",
                job_id=job.job_id,
                job=job,
                transfers=transfers,
            ),
        )
        self.jobs[job.job_id] = msgspec.structs.replace(
            self.jobs[job.job_id], assign_sequence=sequence
        )

    def _append(self, failure_domain: str, change: JobChange) -> int:
        domain = self.domains[failure_domain]
        numbered = msgspec.structs.replace(
            change, sequence=domain.next_sequence
        )
        self.domains[failure_domain] = msgspec.structs.replace(
            domain,
            next_sequence=domain.next_sequence + 1,
            changes=(*domain.changes, numbered),
        )
        return numbered.sequence

    def _set_state(self, record: JobRecord, state: str) -> JobRecord:
        changed = msgspec.structs.replace(
            record,
            receipt=msgspec.structs.replace(record.receipt, state=state),
        )
        self.jobs[record.receipt.job_id] = changed
        return changed

    def _finish(
        self, record: JobRecord, state: str, unix_ms: int
    ) -> JobRecord:
        if record.job is not None and record.receipt.state != "moving":
            self._unload(record.receipt.failure_domain, record.job)
        finished = msgspec.structs.replace(
            self._set_state(record, state),
            job=None,
            transfers=(),
            finished_unix_ms=unix_ms,
        )
        self.jobs[record.receipt.job_id] = finished
        return finished

    def _unload(self, failure_domain: str, job: Job) -> None:
        self._add_load(failure_domain, job, -1)

    def _add_load(self, failure_domain: str, job: Job, sign: int) -> None:
        load = self._load_millicores.get(failure_domain, 0)
        self._load_millicores[failure_domain] = (
            load + sign * job.task_count * job.processors_millicores
        )
