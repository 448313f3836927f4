"""Worker leases, kept by the leader."""

from collections.abc import Iterable

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.messages.commands import WorkerLost
from sardinespool.messages.tasks import Heartbeat
from sardinespool.tasks.workers import WorkerRecord

WORKER_LEASE_MS = 6_000
"""Time from a heartbeat to the deadline of the worker's lease."""

_RETENTION_MS = 3_600_000


class LeaseTable:
    """Lease deadlines by worker id; volatile.

    The lease of a worker whose loss was proposed must not be extended
    without a commit: the loss would be applied later, and the worker's tasks
    would be placed again while it still runs them. Its heartbeats are
    therefore replicated behind the proposal, see `heartbeat_needs_commit`.
    """

    def __init__(self) -> None:
        self._deadlines: dict[str, int] = {}
        self._proposed_losses: dict[str, tuple[int, int]] = {}
        self._default_deadline_unix_ms = 0

    def become_leader(self, now_unix_ms: int) -> None:
        """Treat the lease of every worker as renewed now."""
        self._deadlines = {}
        self._proposed_losses = {}
        self._default_deadline_unix_ms = now_unix_ms + WORKER_LEASE_MS

    def deadline_unix_ms(self, worker_id: str) -> int:
        """Return the deadline of a worker's lease."""
        return self._deadlines.get(worker_id, self._default_deadline_unix_ms)

    def granted_deadline_unix_ms(self, heartbeat: Heartbeat) -> int:
        """Return the deadline that the answer to a heartbeat grants.

        The worker compares it with its own clock, so it is at most
        `WORKER_LEASE_MS` after the send time by that clock. The worker then
        stops its tasks in time even if its clock is behind.
        """
        deadline_unix_ms = self.deadline_unix_ms(heartbeat.worker_id)
        if heartbeat.sent_unix_ms <= 0:
            return deadline_unix_ms
        return min(deadline_unix_ms, heartbeat.sent_unix_ms + WORKER_LEASE_MS)

    def renew(self, worker_id: str, now_unix_ms: int) -> None:
        """Extend a worker's lease."""
        self._deadlines[worker_id] = max(
            self.deadline_unix_ms(worker_id), now_unix_ms + WORKER_LEASE_MS
        )

    def heartbeat_needs_commit(self, worker: WorkerRecord) -> bool:
        """Return whether a heartbeat of the worker must be replicated.

        This is so if the worker is lost or if the proposal of its loss may
        still be pending.
        """
        if worker.lost:
            return True
        pending = self._proposed_losses.get(worker.worker_id)
        if pending is None:
            return False
        if pending == (worker.incarnation, worker.losses):
            return True
        del self._proposed_losses[worker.worker_id]
        return False

    def prune(self, now_unix_ms: int) -> None:
        """Remove leases that ended over an hour ago."""
        self._deadlines = {
            worker_id: deadline
            for worker_id, deadline in self._deadlines.items()
            if deadline + _RETENTION_MS > now_unix_ms
        }

    def lost_workers(
        self, workers: Iterable[WorkerRecord], now_unix_ms: int
    ) -> list[WorkerLost]:
        """Return the commands for workers whose lease has ended."""
        losses = []
        for worker in workers:
            if worker.lost:
                continue
            deadline = self.deadline_unix_ms(worker.worker_id)
            if now_unix_ms <= deadline + CLOCK_ERROR_MS:
                continue
            self._proposed_losses[worker.worker_id] = (
                worker.incarnation,
                worker.losses,
            )
            losses.append(
                WorkerLost(
                    worker_id=worker.worker_id, incarnation=worker.incarnation
                )
            )
        return losses
