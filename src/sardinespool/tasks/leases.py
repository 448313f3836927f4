"""Leases of workers, on the leader only."""

from collections.abc import Iterable

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.messages.commands import WorkerLost
from sardinespool.tasks.workers import WorkerRecord

WORKER_LEASE_MS = 6_000
"""Time from a heartbeat to the deadline of the worker's lease."""

_KEPT_MS = 3_600_000


class LeaseTable:
    """Lease deadlines by worker id; volatile.

    A worker whose loss was proposed must not get a longer lease at once:
    the loss would be applied after it and its tasks would be placed again
    while it runs them. Its heartbeats are replicated behind the proposal
    instead, see `needs_commit`.
    """

    def __init__(self) -> None:
        self._deadlines: dict[str, int] = {}
        self._losing: dict[str, tuple[int, int]] = {}
        self._default_deadline_unix_ms = 0

    def become_leader(self, now_unix_ms: int) -> None:
        """Treat every worker's lease as renewed now."""
        self._deadlines = {}
        self._losing = {}
        self._default_deadline_unix_ms = now_unix_ms + WORKER_LEASE_MS

    def deadline_unix_ms(self, worker_id: str) -> int:
        """Return the deadline of a worker's lease."""
        return self._deadlines.get(worker_id, self._default_deadline_unix_ms)

    def renew(self, worker_id: str, now_unix_ms: int) -> None:
        """Extend a worker's lease."""
        self._deadlines[worker_id] = max(
            self.deadline_unix_ms(worker_id), now_unix_ms + WORKER_LEASE_MS
        )

    def needs_commit(self, worker: WorkerRecord) -> bool:
        """Return whether a proposed loss of the worker may be pending."""
        if worker.lost:
            return True
        pending = self._losing.get(worker.worker_id)
        if pending is None:
            return False
        if pending == (worker.incarnation, worker.losses):
            return True
        del self._losing[worker.worker_id]
        return False

    def prune(self, now_unix_ms: int) -> None:
        """Forget leases that ended long ago."""
        self._deadlines = {
            worker_id: deadline
            for worker_id, deadline in self._deadlines.items()
            if deadline + _KEPT_MS > now_unix_ms
        }

    def lost_workers(
        self, workers: Iterable[WorkerRecord], now_unix_ms: int
    ) -> list[WorkerLost]:
        """Return the losses that are due."""
        losses = []
        for worker in workers:
            if worker.lost:
                continue
            deadline = self.deadline_unix_ms(worker.worker_id)
            if now_unix_ms <= deadline + CLOCK_ERROR_MS:
                continue
            self._losing[worker.worker_id] = (
                worker.incarnation,
                worker.losses,
            )
            losses.append(
                WorkerLost(
                    worker_id=worker.worker_id, incarnation=worker.incarnation
                )
            )
        return losses
