"""Resource demand of a task."""

import dataclasses

from sardinespool.messages.tasks import TaskView


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Processors, memory and accelerators of one task."""

    processors_millicores: int
    memory_mb: int
    accelerators: int

    def covers(self, other: "Demand") -> bool:
        """Return whether this demand is at least `other` in each resource."""
        return (
            self.processors_millicores >= other.processors_millicores
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


def declared_demand(task: TaskView) -> Demand:
    """Return the declared demand of a task."""
    job = task.job
    return Demand(job.processors_millicores, job.memory_mb, job.accelerators)


def reservation(task: TaskView, margin: float) -> Demand:
    """Return the largest of declared, reserved and observed use.

    Observed use is multiplied by `margin`. A running task never counts for
    less than its placement reserved.
    """
    job = task.job
    return Demand(
        max(
            job.processors_millicores,
            task.reserved_processors_millicores,
            int(task.observed_processors_millicores * margin),
        ),
        max(
            job.memory_mb,
            task.reserved_memory_mb,
            int(task.observed_memory_mb * margin),
        ),
        job.accelerators,
    )


def task_class(task: TaskView) -> str:
    """Return the class under which interference and usage are learned.

    All tasks of a team that declare no class share one class.
    """
    return task.job.task_class or f"team {task.job.team}"
