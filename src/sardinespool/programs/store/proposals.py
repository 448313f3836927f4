"""Proposal of the commands of a batch to the replica."""

from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.messages.commands import CommandBody
from sardinespool.programs.store.call_errors import log_full_error
from sardinespool.programs.store.call_errors import not_leader_error
from sardinespool.programs.store.pending import batch_bounds
from sardinespool.programs.store.pending import encode_proposals
from sardinespool.programs.store.pending import fail
from sardinespool.programs.store.pending import PendingProposals
from sardinespool.programs.store.pending import Waiter
from sardinespool.replication import effects as replica_effects
from sardinespool.replication import events as replica_events
from sardinespool.replication.replica import Replica

BATCHES_PER_SEGMENT = 8
"""Proposals in a batch are accepted together, so batches are smaller than the
room for uncommitted entries, which is that of a segment."""


class Proposer:
    """Proposes commands and keeps their waiters.

    Parameters
    ----------
    group : str
        Name of the group.
    replica : Replica
        Replica of the log.
    pending : PendingProposals
        Gets the waiters of the accepted commands.
    segment_bytes : int
        Size of a segment of the log.
    on_encoding_failed : callable
        See `encode_proposals`.

    Attributes
    ----------
    internal_pending : int
        Number of accepted commands that the leader proposed by itself and
        that are not applied yet.
    """

    def __init__(
        self,
        group: str,
        replica: Replica,
        pending: PendingProposals,
        segment_bytes: int,
        on_encoding_failed: Callable[[str], None],
    ) -> None:
        self._group = group
        self._replica = replica
        self._pending = pending
        self._batch_limit_bytes = segment_bytes // BATCHES_PER_SEGMENT
        self._on_encoding_failed = on_encoding_failed
        self.internal_pending = 0

    def propose(
        self, proposals: list[tuple[CommandBody, Waiter]], now: Instant
    ) -> list[replica_effects.Effect]:
        """Propose commands; fail the waiters of those that are rejected."""
        payloads, waiters = encode_proposals(
            proposals, now.unix_ms, self._on_encoding_failed
        )
        effects: list[replica_effects.Effect] = []
        for first, last in batch_bounds(payloads, self._batch_limit_bytes):
            effects += self._propose_batch(
                payloads[first:last], waiters[first:last], now
            )
        return effects

    def fail_all(self) -> None:
        """Fail all waiters because leadership changed."""
        self._pending.fail_all()
        self.internal_pending = 0

    def internal_applied(self) -> None:
        """Count an applied command that the leader proposed by itself."""
        self.internal_pending = max(0, self.internal_pending - 1)

    def _propose_batch(
        self, payloads: tuple[bytes, ...], waiters: list[Waiter], now: Instant
    ) -> list[replica_effects.Effect]:
        effects = self._replica.handle(replica_events.Propose(payloads), now)
        for effect in effects:
            match effect:
                case replica_effects.ProposalAccepted(
                    first_index=first_index, term=term
                ):
                    for offset, waiter in enumerate(waiters):
                        self._pending.add(first_index + offset, term, waiter)
                        self.internal_pending += waiter.reply is None
                case replica_effects.ProposalRejected(log_full=log_full):
                    leader = self._replica.status().leader
                    error = (
                        log_full_error(self._group)
                        if log_full
                        else not_leader_error(self._group, leader)
                    )
                    for waiter in waiters:
                        fail(waiter, error)
        return effects
