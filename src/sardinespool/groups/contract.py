"""What the store program needs from the two kinds of groups."""

import dataclasses
from typing import Protocol

from sardinespool.clock import Instant
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The leader answers at once from its own state."""

    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """The request changes state: `body` is replicated and applied first."""

    body: CommandBody


class GroupMachine(Protocol):
    """Replicated state; every member applies the same commands."""

    def apply(self, command: Command, index: int) -> Reply:
        """Apply a committed command and return its result.

        Deterministic: the time is ``command.proposed_unix_ms``. A refusal
        is returned as `Refused`, never raised.
        """

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""


class GroupService(Protocol):
    """Volatile part of a group, active on the leader only."""

    def become_leader(self, now: Instant) -> None:
        """Start to serve; the machine holds every committed command."""

    def step_down(self) -> None:
        """Forget volatile state."""

    def handle(self, request: Request, now: Instant) -> Answer | Proposal:
        """Answer a request or propose a command.

        Raises
        ------
        SardinespoolError
            The request is refused.
        """

    def complete(self, request: Request, result: Reply, now: Instant) -> Reply:
        """Return the reply to a request whose proposal was applied."""

    def tick(self, now: Instant) -> list[CommandBody]:
        """Return commands that time has made due.

        A command is returned again until its effect has been applied.
        """

    def applied(self, body: CommandBody, result: Reply, now: Instant) -> None:
        """Take the result of a command that `tick` returned."""
