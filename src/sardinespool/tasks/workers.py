"""All workers of a failure domain."""

import heapq
from collections.abc import Iterable

import msgspec

from sardinespool.messages.base import Record
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.tasks import Heartbeat

FAILED_JOBS_LIMIT = 8
"""Distinct jobs kept as failed on a worker; 3 quarantine it."""

LOST_WORKER_KEPT_MS = 86_400_000
"""How long a lost worker stays listed; about 1,700 hosts go each day."""

_ANNOUNCED = (
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
    """State of one worker; replaced as a whole on each change.

    `announced_unix_ms` is the send time of the heartbeat with the present
    announcement. `losses` counts how often the worker was lost.
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
        """Whether the lease of the present incarnation ended."""
        return self.lost_unix_ms > 0

    @property
    def endpoint(self) -> Endpoint | None:
        """What entries see, or None if they must not send requests."""
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


def announced(
    worker: WorkerRecord | None, heartbeat: Heartbeat
) -> WorkerRecord:
    """Return the worker after the announcement of a heartbeat.

    A heartbeat that was overtaken by a later one of the same incarnation
    does not change the announcement: it could take back `leaving`.
    """
    values = {name: getattr(heartbeat, name) for name in _ANNOUNCED}
    if worker is None:
        return WorkerRecord(
            worker_id=heartbeat.worker_id,
            incarnation=heartbeat.incarnation,
            announced_unix_ms=heartbeat.sent_unix_ms,
            **values,
        )
    if worker.lost:
        worker = msgspec.structs.replace(worker, lost_unix_ms=0)
    same = heartbeat.incarnation == worker.incarnation
    if same and heartbeat.sent_unix_ms < worker.announced_unix_ms:
        return worker
    if same and all(
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
        Grows with each change of what entries see. It starts at the time
        the group was formed, so that it differs between incarnations.
    """

    def __init__(self) -> None:
        self.workers: dict[str, WorkerRecord] = {}
        self.table_version = 0
        self._endpoints: tuple[Endpoint, ...] | None = None
        self._removals: list[tuple[int, str]] = []

    def load(
        self, workers: Iterable[WorkerRecord], table_version: int
    ) -> None:
        """Fill an empty table."""
        for worker in workers:
            self.put(worker)
        self.table_version = table_version

    def put(self, worker: WorkerRecord) -> None:
        """Add or replace a worker."""
        old = self.workers.get(worker.worker_id)
        before = None if old is None else old.endpoint
        if before != worker.endpoint:
            self.table_version += 1
            self._endpoints = None
        self.workers[worker.worker_id] = worker
        if worker.lost:
            heapq.heappush(
                self._removals,
                (worker.lost_unix_ms + LOST_WORKER_KEPT_MS, worker.worker_id),
            )

    def expire(self, before_unix_ms: int) -> None:
        """Remove workers that were lost long ago."""
        while self._removals and self._removals[0][0] <= before_unix_ms:
            removal_unix_ms, worker_id = heapq.heappop(self._removals)
            worker = self.workers.get(worker_id)
            if (
                worker is not None
                and worker.lost
                and worker.lost_unix_ms + LOST_WORKER_KEPT_MS
                == removal_unix_ms
            ):
                del self.workers[worker_id]

    def record_success(self, worker_id: str, now_unix_ms: int) -> None:
        """Note a completed attempt; earlier failures no longer count."""
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
        """Note a failed attempt of a job."""
        worker = self.workers[worker_id]
        jobs = tuple(job for job in worker.failed_jobs if job != job_id)
        self.put(
            msgspec.structs.replace(
                worker,
                failed_jobs=(*jobs, job_id)[-FAILED_JOBS_LIMIT:],
                last_failure_unix_ms=now_unix_ms,
            )
        )

    def ordered(self) -> list[WorkerRecord]:
        """Return every worker by id."""
        return [self.workers[worker] for worker in sorted(self.workers)]

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints by worker id."""
        if self._endpoints is None:
            found = (worker.endpoint for worker in self.ordered())
            self._endpoints = tuple(
                endpoint for endpoint in found if endpoint is not None
            )
        return self._endpoints
