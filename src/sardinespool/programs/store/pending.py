"""Proposals that have not been applied yet."""

import asyncio
import dataclasses
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages import codec
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """Request that waits for its proposal, and the future of its reply.

    Both are None for a command that the leader proposed itself.
    """

    request: Request | None = None
    reply: asyncio.Future[Reply] | None = None


class PendingProposals:
    """Waiters by the log index and term of their proposal."""

    def __init__(self) -> None:
        self._waiters: dict[int, tuple[int, Waiter]] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, index: int, term: int, waiter: Waiter) -> None:
        """Register `waiter` for the entry at `index`."""
        self._waiters[index] = (term, waiter)

    def pop(self, index: int, term: int) -> Waiter | None:
        """Remove and return the waiter of an applied entry.

        Returns None if there is no waiter, or if an entry of another term
        replaced the proposal; its waiter then gets an error.
        """
        proposed_term, waiter = self._waiters.pop(index, (0, None))
        if waiter is not None and proposed_term != term:
            fail(waiter, _proposal_lost_error())
            return None
        return waiter

    def fail_all(self) -> None:
        """Fail all waiters because leadership changed."""
        for _, waiter in self._waiters.values():
            fail(waiter, _proposal_lost_error())
        self._waiters.clear()


def _proposal_lost_error() -> SardinespoolError:
    return ProposalLostError("Leadership changed before the commit.")


def fail(waiter: Waiter, error: SardinespoolError) -> None:
    """Set an error as the result of a waiter."""
    if waiter.reply is not None and not waiter.reply.done():
        waiter.reply.set_exception(error)


def resolve(waiter: Waiter, reply: Reply) -> None:
    """Set the reply of a waiter."""
    if waiter.reply is not None and not waiter.reply.done():
        waiter.reply.set_result(reply)


def batch_bounds(
    payloads: Sequence[bytes], limit_bytes: int
) -> Iterator[tuple[int, int]]:
    """Yield the bounds of the batches in which payloads are proposed.

    A batch is accepted or rejected as a whole. It has up to `limit_bytes`
    bytes, or one payload.
    """
    first = 0
    size_bytes = 0
    for position, payload in enumerate(payloads):
        size_bytes += len(payload)
        if position > first and size_bytes > limit_bytes:
            yield first, position
            first = position
            size_bytes = len(payload)
    if payloads:
        yield first, len(payloads)


def encode_proposals(
    proposals: list[tuple[CommandBody, Waiter]],
    now_unix_ms: int,
    on_encoding_failed: Callable[[str], None],
) -> tuple[tuple[bytes, ...], list[Waiter]]:
    """Encode the commands; fail the waiters of those that can't be encoded.

    Parameters
    ----------
    proposals : list of (CommandBody, Waiter)
        Commands to encode.
    now_unix_ms : int
        Current time in milliseconds since 1970.
    on_encoding_failed : callable
        Called in the exception handler with the type of a command that has
        no waiter, as the leader proposed it itself.

    Returns
    -------
    payloads : tuple of bytes
        Encoded commands.
    waiters : list of Waiter
        Waiter of each payload.
    """
    payloads: list[bytes] = []
    waiters: list[Waiter] = []
    for body, waiter in proposals:
        command = Command(proposed_unix_ms=now_unix_ms, body=body)
        try:
            payloads.append(codec.encode(command))
        except InvalidMessageError as error:
            if waiter.reply is None:
                on_encoding_failed(type(body).__name__)
            fail(waiter, error)
        else:
            waiters.append(waiter)
    return tuple(payloads), waiters
