"""Shares of the workspaces in a planning pass.

Load pattern: a job of thousands of tasks has begun, and its tasks would take
all room until it ends. Wide steps are placed in slices. Jobs that have begun
come first only while their workspace, with the slices placed before, is within
its fair share.
"""

import itertools
import sys
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator

from sardinespool.dispatch.start_limits import StartLimits
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.table import StepKey
from sardinespool.workspaces import shares
from sardinespool.workspaces.limits import limit_of
from sardinespool.workspaces.usage import Resources
from sardinespool.workspaces.usage import task_need

SLICES_OF_CAPACITY = 32
"""Number of slices that take the capacity of all workers. Each slice costs a
look at all workers, and a workspace may exceed its fair share by one."""

Offer = tuple[StepRecord, int]
"""A step and up to how many of its tasks are to be placed."""


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
        self._steps: Collection[StepRecord] = ()
        self._offered: dict[StepKey, int] = {}
        self._filled: set[int] = set()
        self._slice_sizes: dict[tuple[int, int, int], int] = {}

    def begin_pass(
        self, steps: Collection[StepRecord], workers: Iterable[WorkerState]
    ) -> None:
        """Decide whether the workspaces share the workers.

        The sums of free capacity hide that a task may fit on no worker, so
        a pass in which one found no room counts as well.
        """
        self._filled.clear()
        workspaces = self._machine.manifest.workspaces_by_name
        competing = workspaces and {
            (step.workflow.in_excess, step.workflow.workspace)
            for step in steps
        }
        if len(competing) < 2:
            self.applies = False
            return
        self._steps = steps
        self._offered.clear()
        self._slice_sizes.clear()
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

    def note_filled(self, step: StepRecord) -> None:
        """Record that all tasks of the offered slice were placed."""
        self._filled.add(id(step))

    def offers(
        self, entries: Iterable[tuple[shares.Group, Offer]]
    ) -> Iterator[Offer]:
        """Yield the slices of steps in the order of the shares.

        The tasks of a slice must be reserved before the next one is
        requested; a step of which a slice was not filled gets no other.

        Parameters
        ----------
        entries : iterable of (Group, Offer)
            Steps in the order of their priorities.
        """
        groups: dict[shares.Group, list[Offer]] = {}
        for group, offer in entries:
            groups.setdefault(group, []).append(offer)
        above: dict[shares.Group, list[Offer]] = {}
        begun = groups.pop((shares.Rank.BEGUN, ""), ())
        level = self._fair_level() if begun else 0.0
        for step, tasks_max in begun:
            name = step.workflow.workspace
            for offer in self._slices(step, tasks_max):
                if self.share_of(name) >= level:
                    above.setdefault((shares.Rank.NEW, name), []).append(
                        (step, tasks_max)
                    )
                    break
                yield offer
        yield from shares.fair_order(
            {
                group: self._all_slices(
                    above.get(group, []) + groups.get(group, [])
                )
                for group in above.keys() | groups.keys()
            },
            self.share_of,
        )

    def _all_slices(self, offers: Iterable[Offer]) -> Iterator[Offer]:
        for step, tasks_max in offers:
            # Most steps are narrow, and need no generator of their own.
            if len(step.waiting) <= self._slice_size(step):
                yield step, tasks_max
            else:
                yield from self._slices(step, tasks_max)

    def _slices(self, step: StepRecord, tasks_max: int) -> Iterator[Offer]:
        """Yield a step with rising numbers of tasks, until one is unfilled."""
        size = self._slice_size(step)
        if len(step.waiting) <= size:
            yield step, tasks_max
            return
        begin = max(
            step.spec.count - len(step.waiting),
            self._offered.get(step.key, 0),
        )
        for end in itertools.chain(
            range(begin + size, tasks_max, size), (tasks_max,)
        ):
            self._filled.discard(id(step))
            yield step, end
            if id(step) not in self._filled:
                return
            self._offered[step.key] = end

    def _slice_size(self, step: StepRecord) -> int:
        """Return how many tasks of a step make a slice."""
        spec = step.spec
        if spec.gang:
            return spec.count
        need = (spec.processors_millicores, spec.memory_mb, spec.accelerators)
        size = self._slice_sizes.get(need)
        if size is None:
            share = shares.weighted_share(task_need(spec), self.capacity, 1.0)
            # Tasks that need nothing raise no share.
            size = self._slice_sizes[need] = (
                max(1, int(1 / (SLICES_OF_CAPACITY * share)))
                if share
                else sys.maxsize
            )
        return size

    def _fair_level(self) -> float:
        """Return up to which weighted share begun jobs come first.

        Jobs in excess are owed nothing and demand nothing.
        """
        waiting: dict[tuple[str, Resources], int] = {}
        for step in self._steps:
            if not step.workflow.in_excess:
                key = step.workflow.workspace, task_need(step.spec)
                waiting[key] = waiting.get(key, 0) + len(step.waiting)
        usage = self._limits.usage
        demands = {name: usage.of(name) for name in ("", *usage.names())}
        for (name, need), count in waiting.items():
            demands[name] = demands.get(name, Resources()).plus(need, count)
        workspaces = self._machine.manifest.workspaces_by_name
        for name, workspace in workspaces.items():
            if name in demands:
                demands[name] = Resources(
                    *(
                        demand if most is None else min(demand, most)
                        for demand, most in zip(
                            demands[name], limit_of(workspace), strict=True
                        )
                    )
                )
        weights = self._weights
        return shares.fair_level(
            (
                shares.weighted_share(demand, self.capacity, weight),
                weight,
            )
            for name, demand in demands.items()
            if (weight := weights.get(name, self._default_weight))
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
