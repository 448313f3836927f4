"""Sums of reserved resources."""

import dataclasses

from sardinespool.messages.jobs import Job
from sardinespool.tasks.record import TaskRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Resources that active tasks hold together."""

    processors_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    running_tasks: int = 0

    def plus(self, other: "Reservation") -> "Reservation":
        """Return the sum."""
        return Reservation(
            self.processors_millicores + other.processors_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.running_tasks + other.running_tasks,
        )

    def minus(self, other: "Reservation") -> "Reservation":
        """Return the difference."""
        return Reservation(
            self.processors_millicores - other.processors_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.running_tasks - other.running_tasks,
        )


def reservation_of(task: TaskRecord) -> Reservation:
    """Return what the task holds: nothing unless it is active."""
    if not task.is_active:
        return Reservation()
    return Reservation(
        task.reserved_processors_millicores,
        task.reserved_memory_mb,
        task.reserved_accelerators,
        1,
    )


def reservation_for(
    job: Job, processors_millicores: int, memory_mb: int
) -> Reservation:
    """Return what a new attempt reserves.

    It is never below the declared size: a scheduler may only raise it for
    observed use.
    """
    return Reservation(
        max(job.processors_millicores, processors_millicores),
        max(job.memory_mb, memory_mb),
        job.accelerators,
        1,
    )
