"""Assignment of jobs to home failure domains, and pending job changes."""

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
"""Two worker leases; tasks that a lost group started end within this time."""


class GlobalJobRecord(Record, frozen=True, kw_only=True):
    """A job at the global group; `job` is None once it has finished.

    `transfers` holds the tasks of a released job until it has a new home.
    `assign_sequence` is the sequence number of the `JobChange` that assigned
    the current home.
    """

    receipt: JobReceipt
    digest: str
    job: Job | None
    assign_sequence: int = 0
    transfers: tuple[TaskTransfer, ...] = ()
    finished_unix_ms: int = 0


class DomainRecord(Record, frozen=True, kw_only=True):
    """State of one failure domain at the global group.

    `changes` are the job changes that the domain has not acknowledged; none
    are sent before `hold_deadline_unix_ms`. `retired_incarnations` are the
    group incarnations that lost all their disks.
    """

    group_incarnation: str
    retired_incarnations: tuple[str, ...] = ()
    next_sequence: int = 1
    changes: tuple[JobChange, ...] = ()
    hold_deadline_unix_ms: int = 0


class JobHomesState(Record, frozen=True, kw_only=True):
    """Snapshot of `JobHomes`."""

    jobs: tuple[GlobalJobRecord, ...]
    domains: dict[str, DomainRecord]


def _job_digest(job: Job) -> str:
    return hashlib.sha256(msgspec.json.encode(job)).hexdigest()


def is_assigned_by(
    record: GlobalJobRecord, failure_domain: str, assign_sequence: int
) -> bool:
    """Return whether a release refers to the job's current assignment."""
    return (
        record.receipt.failure_domain == failure_domain
        and record.assign_sequence == assign_sequence
    )


class JobHomes:
    """Assigns jobs to failure domains; deterministic and without I/O.

    Attributes
    ----------
    jobs : dict of str to GlobalJobRecord
        Jobs by id; finished ones are kept for `FINISHED_RETENTION_MS`.
    domains : dict of str to DomainRecord
        Failure domains whose group has reported at least once.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, GlobalJobRecord] = {}
        self.domains: dict[str, DomainRecord] = {}
        self._load_millicores: dict[str, int] = {}

    def submit(self, job: Job, in_service: set[str]) -> JobReceipt:
        """Assign a home to a job; a resubmitted job gets the same receipt.

        Parameters
        ----------
        job : Job
            Job to assign.
        in_service : set of str
            Failure domains in service by the current configuration.

        Raises
        ------
        InvalidJobError, JobIdReusedError, NoFailureDomainError
            The job is refused.
        """
        digest = _job_digest(job)
        existing = self.jobs.get(job.job_id)
        if existing is not None:
            if existing.digest != digest:
                raise JobIdReusedError("The job id was used for another job.")
            return existing.receipt
        check_job(job)
        home = self._choose_failure_domain(job, in_service)
        if not home:
            raise NoFailureDomainError(
                "No failure domain can take the job.",
                requested=job.failure_domain,
                in_service=sorted(in_service & self.domains.keys()),
            )
        receipt = JobReceipt(
            job_id=job.job_id, failure_domain=home, state="assigned"
        )
        self.jobs[job.job_id] = GlobalJobRecord(
            receipt=receipt, digest=digest, job=job
        )
        self._assign_job(home, job, ())
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
            return self._finish_job(record, "cancelled", unix_ms).receipt
        record = self._set_state(record, "cancelled")
        self._append_change(
            record.receipt.failure_domain,
            JobChange(sequence=0, action="cancel", job_id=job_id),
        )
        return record.receipt

    def register(
        self, failure_domain: str, group_incarnation: str, unix_ms: int
    ) -> None:
        """Record a domain's group, or its new incarnation.

        A new incarnation means that the earlier one lost all its disks. Its
        unfinished jobs are assigned again after `REFORMED_HOLD_MS`.

        Raises
        ------
        GroupRetiredError
            The report is a delayed one of a replaced incarnation.
        """
        existing = self.domains.get(failure_domain)
        if existing is None:
            self.domains[failure_domain] = DomainRecord(
                group_incarnation=group_incarnation
            )
            return
        if existing.group_incarnation == group_incarnation:
            return
        if group_incarnation in existing.retired_incarnations:
            raise GroupRetiredError(
                "The group was formed again since.",
                group_incarnation=existing.group_incarnation,
            )
        self.domains[failure_domain] = DomainRecord(
            group_incarnation=group_incarnation,
            retired_incarnations=(
                *existing.retired_incarnations,
                existing.group_incarnation,
            ),
            hold_deadline_unix_ms=unix_ms + REFORMED_HOLD_MS,
        )
        for record in list(self.jobs.values()):
            if record.receipt.failure_domain != failure_domain:
                continue
            if record.receipt.state == "assigned" and record.job is not None:
                self._append_assign_change(failure_domain, record.job, ())
            elif record.receipt.state == "cancelled" and record.job:
                self._finish_job(record, "cancelled", unix_ms)

    def acknowledge(
        self, failure_domain: str, acknowledged_sequence: int
    ) -> None:
        """Remove the changes that a domain has applied."""
        domain = self.domains[failure_domain]
        self.domains[failure_domain] = msgspec.structs.replace(
            domain,
            changes=tuple(
                change
                for change in domain.changes
                if change.sequence > acknowledged_sequence
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
        self._finish_job(
            record,
            "cancelled" if state == "cancelled" else "finished",
            unix_ms,
        )

    def release(
        self,
        failure_domain: str,
        released_job: ReleasedJob,
        in_service: set[str],
        unix_ms: int,
    ) -> None:
        """Assign a new home to a job that its home has released."""
        record = self.jobs.get(released_job.job_id)
        if record is None or record.job is None:
            return
        if not is_assigned_by(
            record, failure_domain, released_job.assign_sequence
        ):
            return
        if record.receipt.state == "cancelled":
            self._finish_job(record, "cancelled", unix_ms)
            return
        if record.receipt.state != "assigned":
            return
        self._remove_load(failure_domain, record.job)
        record = self._set_state(record, "moving")
        self.jobs[released_job.job_id] = msgspec.structs.replace(
            record, transfers=released_job.tasks
        )
        self.assign_moving_jobs(in_service)

    def assign_moving_jobs(self, in_service: set[str]) -> None:
        """Assign released jobs to failure domains in service."""
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
            self._assign_job(home, record.job, record.transfers)

    def expire(self, unix_ms: int) -> None:
        """Remove jobs that finished longer ago than the retention time."""
        finished_before_unix_ms = unix_ms - FINISHED_RETENTION_MS
        # Records are in submission order, which requires a full scan; the
        # caller limits its frequency.
        for job_id in [
            job_id
            for job_id, record in self.jobs.items()
            if record.job is None
            and record.finished_unix_ms < finished_before_unix_ms
        ]:
            del self.jobs[job_id]

    def state(self) -> JobHomesState:
        """Return the state for a snapshot."""
        return JobHomesState(
            jobs=tuple(self.jobs.values()), domains=dict(self.domains)
        )

    def restore(self, state: JobHomesState) -> None:
        """Replace the state with that of a snapshot."""
        self.jobs = {record.receipt.job_id: record for record in state.jobs}
        self.domains = dict(state.domains)
        self._load_millicores = {}
        for record in self.jobs.values():
            if record.job is not None and record.receipt.state != "moving":
                self._add_load(record.receipt.failure_domain, record.job, 1)

    def _choose_failure_domain(self, job: Job, in_service: set[str]) -> str:
        requested_domain = job.failure_domain
        if not requested_domain:
            return self._least_loaded(in_service)
        if requested_domain not in self.domains:
            return ""
        if requested_domain in in_service or job.when_domain_lost == "stay":
            return requested_domain
        return self._least_loaded(in_service)

    def _least_loaded(self, in_service: set[str]) -> str:
        candidates = sorted(in_service & self.domains.keys())
        if not candidates:
            return ""
        return min(
            candidates, key=lambda name: self._load_millicores.get(name, 0)
        )

    def _assign_job(
        self, home: str, job: Job, transfers: tuple[TaskTransfer, ...]
    ) -> None:
        self._add_load(home, job, 1)
        self._append_assign_change(home, job, transfers)

    def _append_assign_change(
        self, home: str, job: Job, transfers: tuple[TaskTransfer, ...]
    ) -> None:
        sequence = self._append_change(
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

    def _append_change(self, failure_domain: str, change: JobChange) -> int:
        domain = self.domains[failure_domain]
        sequenced = msgspec.structs.replace(
            change, sequence=domain.next_sequence
        )
        self.domains[failure_domain] = msgspec.structs.replace(
            domain,
            next_sequence=domain.next_sequence + 1,
            changes=(*domain.changes, sequenced),
        )
        return sequenced.sequence

    def _set_state(
        self, record: GlobalJobRecord, state: str
    ) -> GlobalJobRecord:
        changed = msgspec.structs.replace(
            record,
            receipt=msgspec.structs.replace(record.receipt, state=state),
        )
        self.jobs[record.receipt.job_id] = changed
        return changed

    def _finish_job(
        self, record: GlobalJobRecord, state: str, unix_ms: int
    ) -> GlobalJobRecord:
        if record.job is not None and record.receipt.state != "moving":
            self._remove_load(record.receipt.failure_domain, record.job)
        finished = msgspec.structs.replace(
            self._set_state(record, state),
            job=None,
            transfers=(),
            finished_unix_ms=unix_ms,
        )
        self.jobs[record.receipt.job_id] = finished
        return finished

    def _remove_load(self, failure_domain: str, job: Job) -> None:
        self._add_load(failure_domain, job, -1)

    def _add_load(self, failure_domain: str, job: Job, sign: int) -> None:
        load = self._load_millicores.get(failure_domain, 0)
        self._load_millicores[failure_domain] = (
            load + sign * job.task_count * job.processors_millicores
        )
