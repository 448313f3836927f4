"""Sees the protocol steps go by and injects the fault of a cell."""

from collections.abc import Callable

from sardinespool.messages.commands import CommandBody
from testing.proof.engine import Host
from testing.proof.steps import steps_of


class Watch:
    """Names the steps that happen; the system's inside is seen only here.

    Attributes
    ----------
    armed : str
        Step at which `inject` is called, once, with the host and the group.
    proposing : bool
        The fault hits before the step's command is synced.
    skip : int
        Times that the armed step passes without the fault.
    """

    def __init__(self) -> None:
        self.seen: set[str] = set()
        self.armed = ""
        self.proposing = False
        self.skip = 0
        self.inject: Callable[[Host, str], None] = lambda host, group: None

    def command(
        self, host: Host, group: str, body: CommandBody, proposing: bool
    ) -> None:
        """Note a command that a leader proposes or has applied."""
        for step in steps_of(body):
            self.fire(step, host, group, proposing)

    def fire(
        self, step: str, host: Host, group: str = "", proposing: bool = False
    ) -> None:
        self.seen.add(step)
        if step != self.armed or proposing != self.proposing:
            return
        if self.skip > 0:
            self.skip -= 1
            return
        self.armed = ""
        self.inject(host, group)
