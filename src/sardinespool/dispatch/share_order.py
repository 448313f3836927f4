"""Shares of the workspaces in a planning pass."""

from collections.abc import Collection
from collections.abc import Iterable

from sardinespool.dispatch.start_limits import StartLimits
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.workflows.records import StepRecord
from sardinespool.workspaces import shares
from sardinespool.workspaces.limits import limit_of
from sardinespool.workspaces.usage import Resources
from sardinespool.workspaces.usage import task_need


class ShareOrder:
    """Knows whether and how shares order the steps of a pass.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    limits : StartLimits
        What each workspace has reserved.

    Attributes
    ----------
    applies : bool
        Whether the workspaces share the workers in this pass; without
        workspaces, or with room for all ready steps, they do not.
    capacity : Resources
        Capacity of the workers that accept starts.
    lacked_room : bool
        Whether a step of the pass before found no room.
    """

    def __init__(self, machine: ControlMachine, limits: StartLimits) -> None:
        self._machine = machine
        self._limits = limits
        self.applies = False
        self.capacity = Resources()
        self.lacked_room = False
        self._weights: dict[str, int] = {}
        self._default_weight = 1.0

    def begin_pass(
        self, steps: Collection[StepRecord], workers: Iterable[WorkerState]
    ) -> None:
        """Decide whether the workspaces share the workers.

        The sums of free capacity hide that a task may fit on no worker, so
        a pass in which one found no room counts as well.
        """
        workspaces = self._machine.manifest.workspaces_by_name
        competing = workspaces and {
            (step.workflow.in_excess, step.workflow.workspace)
            for step in steps
        }
        if len(competing) < 2:
            self.applies = False
            return
        self._weights = {
            name: workspace.weight for name, workspace in workspaces.items()
        }
        # Jobs of public queues have no weight of their own.
        self._default_weight = sum(self._weights.values()) / len(workspaces)
        # Plain sums: a pass has hundreds of workers.
        millicores = memory_mb = accelerators = 0
        free_millicores = free_memory_mb = free_accelerators = 0
        leftover_millicores = 0
        for worker in workers:
            description = worker.description
            millicores += description.processors_millicores
            memory_mb += description.memory_mb
            accelerators += description.accelerators
            if not worker.is_overcommitted:
                free_millicores += worker.free_millicores
                free_memory_mb += worker.free_memory_mb
                free_accelerators += worker.free_accelerators
                leftover_millicores += max(0, worker.leftover_millicores)
        self.capacity = Resources(millicores, memory_mb, accelerators)
        free = Resources(free_millicores, free_memory_mb, free_accelerators)
        self.applies = self.lacked_room or self._exceed(
            steps, free, leftover_millicores
        )
        self.lacked_room = False

    def group_of(self, step: StepRecord) -> shares.Group:
        """Return the group of a step in `shares.fair_order`.

        All steps form one if the workspaces do not share the workers.
        """
        workflow = step.workflow
        if not self.applies:
            return shares.Rank.NEW, ""
        if workflow.in_excess:
            return shares.Rank.IN_EXCESS, workflow.workspace
        if workflow.is_in_progress:
            return shares.Rank.BEGUN, ""
        return shares.Rank.NEW, workflow.workspace

    def share_of(self, name: str) -> float:
        """Return the weighted share that a workspace has reserved."""
        return shares.weighted_share(
            self._limits.usage.of(name),
            self.capacity,
            self._weights.get(name, self._default_weight),
        )

    def _exceed(
        self,
        steps: Iterable[StepRecord],
        free: Resources,
        leftover_millicores: int,
    ) -> bool:
        needs: dict[str, Resources] = {}
        leftover_need = 0
        for step in steps:
            need = task_need(step.spec)
            count = len(step.waiting)
            if step.spec.uses_leftover_processors:
                leftover_need += count * need.processors_millicores
                need = need._replace(processors_millicores=0)
            name = step.workflow.workspace
            needs[name] = needs.get(name, Resources()).plus(need, count)
        rooms = {}
        for name in needs:
            workspace = self._machine.manifest.workspaces_by_name.get(name)
            if workspace is not None:
                in_use = self._limits.usage.of(name)
                rooms[name] = Resources(
                    *(
                        need if most is None else max(0, most - used)
                        for used, most, need in zip(
                            in_use,
                            limit_of(workspace),
                            needs[name],
                            strict=True,
                        )
                    )
                )
        return leftover_need > leftover_millicores or shares.exceed(
            needs, rooms, free
        )
