"""Proposals that wait to be applied."""

import asyncio
import dataclasses

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """Who waits for the result of one proposal.

    `request` and `reply` are None for a command of the leader itself.
    """

    request: Request | None = None
    reply: asyncio.Future[Reply] | None = None


class PendingProposals:
    """Waiters by the log index and term of their proposals."""

    def __init__(self) -> None:
        self._waiters: dict[int, tuple[int, Waiter]] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, index: int, term: int, waiter: Waiter) -> None:
        """Record that `waiter` waits for the entry at `index`."""
        self._waiters[index] = (term, waiter)

    def take(self, index: int, term: int) -> Waiter | None:
        """Return and remove the waiter of an applied entry.

        None if nobody waits, or if another leader's entry took the index.
        """
        known_term, waiter = self._waiters.pop(index, (0, None))
        if waiter is not None and known_term != term:
            fail(waiter, _lost())
            return None
        return waiter

    def fail_all(self) -> None:
        """Report to all waiters that leadership was lost."""
        for _, waiter in self._waiters.values():
            fail(waiter, _lost())
        self._waiters.clear()


def _lost() -> SardinespoolError:
    return ProposalLostError("Leadership changed before the commit.")


def fail(waiter: Waiter, error: SardinespoolError) -> None:
    """Give an error to a waiter."""
    if waiter.reply is not None and not waiter.reply.done():
        waiter.reply.set_exception(error)


def resolve(waiter: Waiter, reply: Reply) -> None:
    """Give a reply to a waiter."""
    if waiter.reply is not None and not waiter.reply.done():
        waiter.reply.set_result(reply)
