"""Monitor of protocol steps, which injects the fault of a cell."""

from collections.abc import Callable

from sardinespool.messages.commands import CommandBody
from testing.proof.engine import Host
from testing.proof.steps import steps_of


class StepMonitor:
    """Records the steps that occur and injects a fault at one of them.

    Other than this class, the tests observe only the system's outputs.

    Attributes
    ----------
    seen_steps : set of str
        All steps that have occurred.
    fault_step : str
        Step at which `inject` is called once with the host and the group.
    before_sync : bool
        Inject the fault before the sync of the step's command.
    skip_count : int
        Occurrences of `fault_step` that pass without the fault.
    """

    def __init__(self) -> None:
        self.seen_steps: set[str] = set()
        self.fault_step = ""
        self.before_sync = False
        self.skip_count = 0
        self.inject: Callable[[Host, str], None] = lambda host, group: None

    def record_command(
        self, host: Host, group: str, body: CommandBody, before_sync: bool
    ) -> None:
        """Record the steps of a command, when proposed and when applied."""
        for step in steps_of(body):
            self.record_step(step, host, group, before_sync)

    def record_step(
        self, step: str, host: Host, group: str = "", before_sync: bool = False
    ) -> None:
        self.seen_steps.add(step)
        if step != self.fault_step or before_sync != self.before_sync:
            return
        if self.skip_count > 0:
            self.skip_count -= 1
            return
        self.fault_step = ""
        self.inject(host, group)
