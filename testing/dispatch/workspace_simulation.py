"""A simulation whose jobs belong to workspaces, and an oracle of limits."""

import msgspec

from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from testing.dispatch.oracle import Oracle
from testing.dispatch.simulation import Simulation

Amounts = tuple[int, int]
"""Processors in millicores and memory in MB."""
OVERAGE = 0.1
"""Share above its limit that a workspace may have running."""


class LimitOracle(Oracle):
    """Checks at each start what all workers run of its workspace.

    Attributes
    ----------
    workspace_of : dict of str to str
        Workspace by job.
    excesses : list of str
        Starts after which the workers run more than the scheduler's rule
        allows. The rule is stricter than the promise, which adds an overage.
    overruns : list of str
        Starts that break the promise.
    """

    def __init__(self) -> None:
        super().__init__()
        self.workspace_of: dict[str, str] = {}
        self.excesses: list[str] = []
        self.overruns: list[str] = []
        self._limits: list[tuple[int, dict[str, Amounts]]] = []

    def limits_changed(self, limits: dict[str, Amounts]) -> None:
        """Record the limits that are in force from now on."""
        self._limits.append((self.now_ms, limits))

    def started(
        self, task: str, worker_id: str, sent_ms: int | None = None
    ) -> None:
        super().started(task, worker_id, sent_ms)
        name = self.workspace_of[task.split(".")[0]]
        needs = [
            _need(self.step_of(item)[1])
            for tasks in self._running.values()
            for item in tasks
            if self.workspace_of[item.split(".")[0]] == name
        ]
        since_ms = self.now_ms if sent_ms is None else sent_ms
        in_force = [
            limits.get(name, (0, 0))
            for position, (_, limits) in enumerate(self._limits)
            if position + 1 == len(self._limits)
            or self._limits[position + 1][0] >= since_ms
        ]
        for column in range(2):
            if not in_force or any(limit[column] == 0 for limit in in_force):
                continue
            limit = max(limit[column] for limit in in_force)
            used = sum(need[column] for need in needs)
            largest = max(need[column] for need in needs)
            text = f"{name} runs {used} of {limit} ({column}) with {task}"
            if used > (1 + OVERAGE) * limit + largest:
                self.overruns.append(f"{self.now_ms} ms: {text}")
            if used > limit and 2 * (used - largest) >= limit:
                self.excesses.append(f"{self.now_ms} ms: {text}")


def _need(step: StepSpec) -> Amounts:
    return step.processors_millicores, step.memory_mb


class WorkspaceSimulation(Simulation):
    """A simulation with workspaces; `oracle` is a `LimitOracle`."""

    oracle: LimitOracle

    def __init__(self, seed: int, workers: int = 4) -> None:
        super().__init__(seed, workers, LimitOracle())
        # As on the wire: a call ends with the process at either end.
        self.connections_end_with_process = True
        self.workers_check_incarnation = True

    def publish(self, *workspaces: WorkspaceSpec) -> None:
        """Put a manifest with these workspaces in force.

        The queue is public, as the requests of the simulation carry no key.
        """
        current = self.machine.manifest.current
        assert current is not None
        self.oracle.limits_changed(
            {
                item.name: (item.processors_millicores_max, item.memory_mb_max)
                for item in workspaces
            }
        )
        self.request_applied(
            msgspec.structs.replace(
                current,
                version=current.version + 1,
                queues=tuple(
                    msgspec.structs.replace(queue, public=True)
                    for queue in current.queues
                ),
                workspaces=workspaces,
            )
        )

    def submit_to(self, workspace: str, job_id: str, *steps: StepSpec) -> None:
        """Commit a job of a workspace."""
        spec = WorkflowSpec(payload="text", steps=steps)
        self.oracle.specs[job_id] = spec
        self.oracle.workspace_of[job_id] = workspace
        self.request_applied(
            AcceptWorkflow(
                job_id=job_id, queue="q", spec=spec, workspace=workspace
            )
        )


def workspace(
    name: str, millicores: int = 0, memory_mb: int = 0, weight: int = 1
) -> WorkspaceSpec:
    """Return a workspace with limits, 0 for none."""
    return WorkspaceSpec(
        name=name,
        weight=weight,
        processors_millicores_max=millicores,
        memory_mb_max=memory_mb,
    )
