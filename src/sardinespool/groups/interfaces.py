"""Interfaces of a replicated group that the store program drives."""

import dataclasses
from typing import Protocol

from sardinespool.clock import Instant
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody


@dataclasses.dataclass(frozen=True, slots=True)
class ImmediateReply:
    """Reply that the leader gives at once, without a log entry."""

    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Command to commit and apply before the request is answered."""

    body: CommandBody


class GroupMachine(Protocol):
    """Replicated state machine; each member applies the same commands."""

    def apply(self, command: Command, index: int) -> Reply:
        """Apply a committed command and return its result.

        Deterministic: the only clock is ``command.proposed_unix_ms``. A
        refusal is returned as `Refused`, never raised.
        """

    def snapshot(self) -> bytes:
        """Return the encoded state."""

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""


class GroupService(Protocol):
    """Volatile state and request handling of a group, on its leader."""

    def become_leader(self, now: Instant) -> None:
        """Start serving; called once per term that this member leads.

        The machine has applied every command of earlier terms and none of
        this term. After an unexpected error the service is stepped down and
        started again in the same term; commands of this term may then be
        applied, or still on their way.
        """

    def step_down(self) -> None:
        """Discard the volatile state; this member no longer leads the term.

        Not called when the lease only lapses.
        """

    def handle(
        self, request: Request, now: Instant
    ) -> ImmediateReply | Proposal:
        """Answer a request or propose a command.

        Raises
        ------
        SardinespoolError
            The request is refused.
        """

    def build_reply(
        self, request: Request, result: Reply, now: Instant
    ) -> Reply:
        """Return the reply to a request whose proposal was applied.

        Called after `on_applied`, and only if the reply can be sent.
        """

    def tick(self, now: Instant) -> list[CommandBody]:
        """Return the commands that are due at this time.

        A command is returned on each call until its effect is applied.
        """

    def on_applied(
        self, body: CommandBody, result: Reply, now: Instant
    ) -> None:
        """Process the result of a command of this term.

        Called for each applied command, even if its sender gets no reply.
        """
