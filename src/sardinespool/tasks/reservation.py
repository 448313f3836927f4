"""Reserved resources of tasks and their sums."""

import dataclasses

from sardinespool.messages.jobs import Job
from sardinespool.tasks.record import TaskRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Resources reserved by one or more active tasks."""

    processors_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    running_tasks: int = 0

    def plus(self, other: "Reservation") -> "Reservation":
        """Return the sum of both reservations."""
        return Reservation(
            self.processors_millicores + other.processors_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.running_tasks + other.running_tasks,
        )

    def minus(self, other: "Reservation") -> "Reservation":
        """Return this reservation without `other`."""
        return Reservation(
            self.processors_millicores - other.processors_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.running_tasks - other.running_tasks,
        )


def reservation_of(task: TaskRecord) -> Reservation:
    """Return the reservation of a task, which is empty unless it is active."""
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
    """Return the reservation of a new attempt.

    It is at least the declared size: a scheduler may only increase it, based
    on observed use.
    """
    return Reservation(
        max(job.processors_millicores, processors_millicores),
        max(job.memory_mb, memory_mb),
        job.accelerators,
        1,
    )
