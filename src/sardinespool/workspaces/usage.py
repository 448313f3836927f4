"""What each workspace may have running."""

from typing import NamedTuple

from sardinespool.messages.workflows import StepSpec


class Resources(NamedTuple):
    """Processors, memory and accelerators of one or more tasks."""

    processors_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources", times: int = 1) -> "Resources":
        """Return the sum of this and `times` times another amount."""
        return Resources(
            self.processors_millicores + times * other.processors_millicores,
            self.memory_mb + times * other.memory_mb,
            self.accelerators + times * other.accelerators,
        )


NOTHING = Resources()


def task_need(step: StepSpec) -> Resources:
    """Return what one task of a step counts.

    Best-effort tasks count in full, although they reserve no processors.
    """
    return Resources(
        step.processors_millicores, step.memory_mb, step.accelerators
    )


class WorkspaceUsage:
    """Sums of the tasks that may run, by workspace.

    Each added task is removed once, so that no decision sums over workers.
    Tasks without a workspace count under the name "".
    """

    def __init__(self) -> None:
        self._in_use: dict[str, Resources] = {}
        self._long_running: dict[str, Resources] = {}
        self._tasks: dict[str, int] = {}

    def of(self, workspace: str) -> Resources:
        """Return what a workspace may have running."""
        return self._in_use.get(workspace, NOTHING)

    def long_running_of(self, workspace: str) -> Resources:
        """Return the part of it that does not end by itself."""
        return self._long_running.get(workspace, NOTHING)

    def tasks_of(self, workspace: str) -> int:
        """Return the number of tasks that a workspace may have running."""
        return self._tasks.get(workspace, 0)

    def names(self) -> list[str]:
        """Return the workspaces that may have a task running."""
        return [name for name in self._tasks if name]

    def add(self, workspace: str, step: StepSpec) -> None:
        """Count a task."""
        need = task_need(step)
        self._in_use[workspace] = self.of(workspace).plus(need)
        if step.long_running:
            self._long_running[workspace] = self.long_running_of(
                workspace
            ).plus(need)
        self._tasks[workspace] = self.tasks_of(workspace) + 1

    def remove(self, workspace: str, step: StepSpec) -> None:
        """Stop counting a task that was added."""
        count = self.tasks_of(workspace) - 1
        if count > 0:
            need = task_need(step)
            self._in_use[workspace] = self.of(workspace).plus(need, -1)
            if step.long_running:
                self._long_running[workspace] = self.long_running_of(
                    workspace
                ).plus(need, -1)
            self._tasks[workspace] = count
        else:
            self._in_use.pop(workspace, None)
            self._long_running.pop(workspace, None)
            self._tasks.pop(workspace, None)

    def clear(self) -> None:
        """Stop counting all tasks."""
        self._in_use.clear()
        self._long_running.clear()
        self._tasks.clear()
