"""Limits of workspaces on the leader's reservations.

The reservations hold all that may still run: planned and ordered runs, those
without an answer, those that are being stopped, and those on workers that do
not answer, until the leader knows that they have ended.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import RunKey
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.observability.logs import get_logger
from sardinespool.workflows.records import StepRecord
from sardinespool.workspaces.limits import is_exceeded
from sardinespool.workspaces.limits import Limit
from sardinespool.workspaces.limits import limit_of
from sardinespool.workspaces.limits import may_start
from sardinespool.workspaces.usage import task_need
from sardinespool.workspaces.usage import WorkspaceUsage

LIMIT_OBSTACLE = "limit of the workspace fell"

_LOG = get_logger("workspaces")


class StartLimits:
    """Applies the limits of workspaces to new and to planned starts.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state with the manifest in force.
    workers : mapping of str to WorkerState
        Workers known to this leader.

    Attributes
    ----------
    usage : WorkspaceUsage
        What each workspace may have running.
    """

    def __init__(
        self, machine: ControlMachine, workers: Mapping[str, WorkerState]
    ) -> None:
        self._machine = machine
        self._workers = workers
        self.usage = WorkspaceUsage()
        self._checked_version: int | None = None
        self._limits: dict[str, Limit] = {}
        self._limits_version: int | None = None
        self._excess: dict[RunKey, tuple[WorkerState, RunState]] = {}

    def reset(self) -> None:
        """Forget all runs, for a new leadership."""
        # States of workers of an earlier leadership keep the earlier object.
        self.usage = WorkspaceUsage()
        self._checked_version = None
        self._excess.clear()

    def spec_of(self, step: StepRecord) -> WorkspaceSpec | None:
        """Return the workspace of a step, None if no limit applies."""
        return self._machine.manifest.workspaces_by_name.get(
            step.workflow.workspace
        )

    def may_start(self, step: StepRecord) -> bool:
        """Return whether a task of a step, or its whole gang, may start."""
        if self._limits_version != self._machine.manifest.version:
            self._limits_version = self._machine.manifest.version
            workspaces = self._machine.manifest.workspaces_by_name
            self._limits = {
                name: limit_of(workspace)
                for name, workspace in workspaces.items()
            }
        name = step.workflow.workspace
        limit = self._limits.get(name)
        return limit is None or may_start(
            self.usage.of(name),
            task_need(step.spec),
            limit,
            step.spec.count if step.spec.gang else 0,
        )

    def obstacle(self, run: RunState) -> str:
        """Return why the start of a planned run must not be sent, or ""."""
        return LIMIT_OBSTACLE if self.is_excess(run) else ""

    def is_excess(self, run: RunState) -> bool:
        """Return whether the limit fell below what a planned start needs."""
        self._update_excess()
        excess = self._excess.get(run.key)
        # A run that was refused leaves its number to a later plan.
        return excess is not None and excess[1] is run

    def excess_starts(self) -> list[tuple[WorkerState, RunState]]:
        """Return the planned starts that must not be sent (again)."""
        self._update_excess()
        return list(self._excess.values())

    def _update_excess(self) -> None:
        """Find the excess starts once for each manifest version.

        A start that was planned later respects the limit in force, except for
        one whose plan was being committed; the replicated state refuses that.
        """
        version = self._machine.manifest.version
        if version == self._checked_version:
            return
        self._checked_version = version
        self._excess.clear()
        exceeded: dict[str, Limit] = {}
        for name in self.usage.names():
            workspace = self._machine.manifest.workspaces_by_name.get(name)
            if workspace is not None and is_exceeded(
                self.usage.of(name), limit_of(workspace)
            ):
                exceeded[name] = limit_of(workspace)
        if not exceeded:
            return
        # One pass over the runs, however many workspaces exceed their limits.
        starts: dict[str, list[tuple[WorkerState, RunState, StepRecord]]]
        starts = {name: [] for name in exceeded}
        for worker in self._workers.values():
            for run in worker.runs.values():
                step = run.step
                if (
                    step is not None
                    and step.workflow.workspace in exceeded
                    and run.phase is RunPhase.ORDERED
                    and not run.stop_requested
                ):
                    starts[step.workflow.workspace].append((worker, run, step))
        for name, limit in exceeded.items():
            self._find_excess(name, limit, starts[name])

    def _find_excess(
        self,
        name: str,
        limit: Limit,
        starts: Iterable[tuple[WorkerState, RunState, StepRecord]],
    ) -> None:
        """Add the planned starts of a workspace that don't fit.

        Starts that were sent may have arrived, each of them or none, so none
        of them is sent again while they and what runs exceed the limit. The
        latest of the others are in excess.
        """
        in_use = self.usage.of(name)
        sent: list[tuple[WorkerState, RunState]] = []
        unsent: list[tuple[WorkerState, RunState, StepRecord]] = []
        for worker, run, step in starts:
            if run.sent:
                sent.append((worker, run))
            else:
                unsent.append((worker, run, step))
                in_use = in_use.plus(task_need(step.spec), -1)
        excess = sent if is_exceeded(in_use, limit) else []
        unsent.sort(key=lambda item: item[1].ordered_boot_ms)
        for worker, run, step in unsent:
            need = task_need(step.spec)
            if may_start(in_use, need, limit, 1 if step.spec.gang else 0):
                in_use = in_use.plus(need)
            else:
                excess.append((worker, run))
        for worker, run in excess:
            self._excess[run.key] = worker, run
        _LOG.info(
            "workspace exceeds its lowered limit",
            workspace=name,
            use=self.usage.of(name),
            limit=limit,
            starts_without_answer=len(sent),
            unsent_starts=len(unsent),
            given_up=len(excess),
        )
