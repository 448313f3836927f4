"""Records of the workers of a failure domain."""

import heapq
from collections.abc import Iterable

import msgspec

from sardinespool.messages.base import Record
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.tasks import Heartbeat

FAILED_JOBS_LIMIT = 8
"""Maximum number of failed jobs kept per worker; 3 quarantine it."""

LOST_WORKER_RETENTION_MS = 86_400_000
"""Time until a lost worker is removed; otherwise the table would grow by the
about 1,700 hosts that leave each day."""

_ANNOUNCED_FIELDS = (
    "rack",
    "address",
    "services",
    "slots",
    "connections",
    "processors_millicores",
    "memory_mb",
    "accelerators",
    "leaving",
)


class WorkerRecord(Record, frozen=True, kw_only=True, omit_defaults=True):
    """State of one worker; immutable, replaced on each change.

    `announced_unix_ms` is the send time of the heartbeat that contained the
    current announcement. `losses` counts how often the worker was lost.
    """

    worker_id: str
    incarnation: int
    rack: str = ""
    address: str = ""
    services: tuple[str, ...] = ()
    slots: int = 0
    connections: int = 0
    processors_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    leaving: bool = False
    announced_unix_ms: int = 0
    lost_unix_ms: int = 0
    losses: int = 0
    failed_jobs: tuple[str, ...] = ()
    last_failure_unix_ms: int = 0
    last_success_unix_ms: int = 0

    @property
    def lost(self) -> bool:
        """Whether the lease of the current incarnation has ended."""
        return self.lost_unix_ms > 0

    @property
    def endpoint(self) -> Endpoint | None:
        """Endpoint for entries, or None if they must not send requests."""
        if self.lost or not self.address or not self.services:
            return None
        return Endpoint(
            worker_id=self.worker_id,
            incarnation=self.incarnation,
            address=self.address,
            services=self.services,
            slots=self.slots,
            connections=self.connections,
            leaving=self.leaving,
        )


def apply_announcement(
    worker: WorkerRecord | None, heartbeat: Heartbeat
) -> WorkerRecord:
    """Return the worker after the announcement in a heartbeat.

    A delayed heartbeat, which was overtaken by a later one of the same
    incarnation, does not change the announcement: it could reset `leaving`.
    """
    values = {name: getattr(heartbeat, name) for name in _ANNOUNCED_FIELDS}
    if worker is None:
        return WorkerRecord(
            worker_id=heartbeat.worker_id,
            incarnation=heartbeat.incarnation,
            announced_unix_ms=heartbeat.sent_unix_ms,
            **values,
        )
    if worker.lost:
        worker = msgspec.structs.replace(worker, lost_unix_ms=0)
    same_incarnation = heartbeat.incarnation == worker.incarnation
    if same_incarnation and heartbeat.sent_unix_ms < worker.announced_unix_ms:
        return worker
    if same_incarnation and all(
        getattr(worker, name) == value for name, value in values.items()
    ):
        return worker
    return msgspec.structs.replace(
        worker,
        incarnation=heartbeat.incarnation,
        announced_unix_ms=heartbeat.sent_unix_ms,
        **values,
    )


class WorkerTable:
    """Records of workers.

    Attributes
    ----------
    workers : dict
        Worker id to record.
    table_version : int
        Increases with each change of the endpoints. It starts at the time at
        which the group was formed, so that versions of different incarnations
        of the group differ.
    """

    def __init__(self) -> None:
        self.workers: dict[str, WorkerRecord] = {}
        self.table_version = 0
        self._endpoints: tuple[Endpoint, ...] | None = None
        self._removal_queue: list[tuple[int, str]] = []

    def load(
        self, workers: Iterable[WorkerRecord], table_version: int
    ) -> None:
        """Fill an empty table."""
        for worker in workers:
            self.put(worker)
        self.table_version = table_version

    def put(self, worker: WorkerRecord) -> None:
        """Add or replace a worker."""
        old_worker = self.workers.get(worker.worker_id)
        old_endpoint = None if old_worker is None else old_worker.endpoint
        if old_endpoint != worker.endpoint:
            self.table_version += 1
            self._endpoints = None
        self.workers[worker.worker_id] = worker
        if worker.lost:
            heapq.heappush(
                self._removal_queue,
                (
                    worker.lost_unix_ms + LOST_WORKER_RETENTION_MS,
                    worker.worker_id,
                ),
            )

    def expire(self, before_unix_ms: int) -> None:
        """Remove lost workers whose retention time has ended."""
        while (
            self._removal_queue and self._removal_queue[0][0] <= before_unix_ms
        ):
            removal_unix_ms, worker_id = heapq.heappop(self._removal_queue)
            worker = self.workers.get(worker_id)
            if (
                worker is not None
                and worker.lost
                and worker.lost_unix_ms + LOST_WORKER_RETENTION_MS
                == removal_unix_ms
            ):
                del self.workers[worker_id]

    def record_success(self, worker_id: str, now_unix_ms: int) -> None:
        """Record a completed attempt, which clears the earlier failures."""
        self.put(
            msgspec.structs.replace(
                self.workers[worker_id],
                failed_jobs=(),
                last_success_unix_ms=now_unix_ms,
            )
        )

    def record_failure(
        self, worker_id: str, job_id: str, now_unix_ms: int
    ) -> None:
        """Record a failed attempt of a job."""
        worker = self.workers[worker_id]
        other_jobs = tuple(job for job in worker.failed_jobs if job != job_id)
        self.put(
            msgspec.structs.replace(
                worker,
                failed_jobs=(*other_jobs, job_id)[-FAILED_JOBS_LIMIT:],
                last_failure_unix_ms=now_unix_ms,
            )
        )

    def ordered(self) -> list[WorkerRecord]:
        """Return all workers, ordered by id."""
        return [self.workers[worker] for worker in sorted(self.workers)]

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints, ordered by worker id."""
        if self._endpoints is None:
            all_endpoints = (worker.endpoint for worker in self.ordered())
            self._endpoints = tuple(
                endpoint for endpoint in all_endpoints if endpoint is not None
            )
        return self._endpoints
