"""Steps of a planning pass that wait for the limit or share of a workspace."""

import collections
from collections.abc import Container

from sardinespool.dispatch.share_order import ShareOrder
from sardinespool.dispatch.start_limits import StartLimits
from sardinespool.workflows.records import StepRecord
from sardinespool.workspaces.limits import limit_of
from sardinespool.workspaces.limits import may_start
from sardinespool.workspaces.usage import task_need


class WorkspaceHolds:
    """Holds steps back, and counts those that are, in one pass.

    Parameters
    ----------
    limits : StartLimits
        Limits of the workspaces.
    shares : ShareOrder
        Order of the workspaces.

    Attributes
    ----------
    by_limit, by_share : Counter of str
        Number of steps held back, by workspace.
    """

    def __init__(self, limits: StartLimits, shares: ShareOrder) -> None:
        self._limits = limits
        self._shares = shares
        self._reserved: set[str] = set()
        self.by_limit: collections.Counter[str] = collections.Counter()
        self.by_share: collections.Counter[str] = collections.Counter()

    def holds_back(self, step: StepRecord, overdue: bool) -> bool:
        """Return whether no task of a step may start.

        While an overdue long-running task waits for the limit of its
        workspace, no other step of it starts: many small tasks would take
        what becomes free, and the use would never fall below half. If it
        would not fit beside the other long-running tasks either, which go
        on, the others start as before.
        """
        name = step.workflow.workspace
        workspace = self._limits.spec_of(step)
        if workspace is None:
            return False
        held = name in self._reserved and not overdue
        if not held and not self._limits.may_start(step):
            held = True
            if overdue and may_start(
                self._limits.usage.long_running_of(name),
                task_need(step.spec),
                limit_of(workspace),
                step.spec.count if step.spec.gang else 0,
            ):
                self._reserved.add(name)
        if held:
            self.by_limit[name] += 1
        return held

    def note_unplaced(
        self, step: StepRecord, tasks_max: int, placed: Container[str]
    ) -> None:
        """Count a step of which up to `tasks_max` tasks were to be placed."""
        missing = sum(
            step.tasks[index].key not in placed for index in step.waiting
        )
        if missing <= step.spec.count - tasks_max:
            self._shares.note_filled(step)
            return
        name = step.workflow.workspace
        if not self._limits.may_start(step):
            self.by_limit[name] += 1
            return
        self._shares.lacked_room = True
        if self._shares.applies:
            self.by_share[name] += 1
