"""Sizes of the stored jobs, derived from their specifications."""

import dataclasses

import msgspec

from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.workflows import WorkflowSpec

TASK_MEMORY_BYTES = 800
"""What a task takes in memory."""
TASK_FILE_BYTES = 100
"""What a task may take in a snapshot, with its worker and a checkpoint."""
SPEC_COPIES = 2
"""A specification is in the state, and in the log until the next snapshot."""

_ENCODER = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class JobSize:
    """Size of a job in memory and in a snapshot."""

    memory_bytes: int
    file_bytes: int


def size_of(spec: WorkflowSpec) -> JobSize:
    """Return the size of a job once all its occurrences are open.

    Raises
    ------
    InvalidMessageError
        The specification has a number that can't be stored.
    """
    try:
        spec_bytes = len(_ENCODER.encode(spec))
    except OverflowError as error:
        raise InvalidMessageError("A number is too large.") from error
    tasks = sum(step.count for step in spec.steps) * max(1, spec.repetitions)
    return JobSize(
        SPEC_COPIES * spec_bytes + TASK_MEMORY_BYTES * tasks,
        spec_bytes + TASK_FILE_BYTES * tasks,
    )


class JobSizes:
    """Sum of the sizes of the stored jobs.

    Attributes
    ----------
    memory_bytes, file_bytes : int
        Sizes of all jobs in memory and in a snapshot.
    """

    def __init__(self) -> None:
        self.memory_bytes = 0
        self.file_bytes = 0
        self._sizes: dict[str, JobSize] = {}

    def add(self, job_id: str, spec: WorkflowSpec) -> None:
        """Add a job that is not counted yet."""
        self.remove(job_id)
        size = size_of(spec)
        self._sizes[job_id] = size
        self.memory_bytes += size.memory_bytes
        self.file_bytes += size.file_bytes

    def remove(self, job_id: str) -> None:
        """Remove a job, if it is counted."""
        size = self._sizes.pop(job_id, None)
        if size is not None:
            self.memory_bytes -= size.memory_bytes
            self.file_bytes -= size.file_bytes

    def clear(self) -> None:
        """Remove all jobs."""
        self.memory_bytes = self.file_bytes = 0
        self._sizes.clear()
