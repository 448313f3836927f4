"""Index of the runs that may go on, by worker and by workspace."""

from sardinespool.workflows.records import TaskRecord
from sardinespool.workflows.records import TaskState
from sardinespool.workspaces.usage import WorkspaceUsage


class RunIndex:
    """Tasks with a run whose end is not recorded.

    Attributes
    ----------
    assigned : dict of str to dict
        Assigned tasks by worker id and task name.
    leftover : dict of str to dict
        Done tasks of which a run may go on, by worker id and task name: a
        run after the one that is done, or that of another gang member.
    usage : WorkspaceUsage
        Need of both by workspace.
    """

    def __init__(self) -> None:
        self.assigned: dict[str, dict[str, TaskRecord]] = {}
        self.leftover: dict[str, dict[str, TaskRecord]] = {}
        self.usage = WorkspaceUsage()

    def clear(self) -> None:
        """Remove all tasks."""
        self.assigned.clear()
        self.leftover.clear()
        self.usage.clear()

    def add(self, task: TaskRecord) -> None:
        """Add a task with a worker."""
        tasks = (
            self.leftover if task.state is TaskState.DONE else self.assigned
        )
        tasks.setdefault(task.worker_id, {})[task.key] = task
        step = task.step
        self.usage.add(step.workflow.workspace, step.spec)

    def remove(self, task: TaskRecord) -> None:
        """Remove a task, as its run has ended; it has no worker then."""
        tasks = (
            self.leftover if task.state is TaskState.DONE else self.assigned
        )
        of_worker = tasks.get(task.worker_id, {})
        if of_worker.pop(task.key, None) is not None:
            step = task.step
            self.usage.remove(step.workflow.workspace, step.spec)
        if not of_worker:
            tasks.pop(task.worker_id, None)
        task.worker_id = ""
