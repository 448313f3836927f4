"""Replicated record of a job in its failure domain."""

from typing import Literal

from sardinespool.messages.base import Record
from sardinespool.messages.jobs import Job

TASKS_RETENTION_MS = 3_600_000
"""Time for which the tasks of a recorded job remain available to operators."""

JOB_ID_RETENTION_MS = 86_400_000
"""Time for which a repeated assignment of a finished job is recognised.

It starts when the global group has recorded the end of the job.
"""


class JobRecord(Record, frozen=True, kw_only=True, omit_defaults=True):
    """State of one job; immutable, replaced on each change.

    `assign_sequence` is the sequence number of the job change that assigned
    the job to this domain. `recorded_unix_ms` is 0 until the global group has
    recorded the end of the job. `forgotten` is true once the records of the
    tasks are removed.
    """

    job: Job
    assign_sequence: int
    state: Literal["open", "finished", "released"] = "open"
    recorded_unix_ms: int = 0
    forgotten: bool = False

    @property
    def removal_unix_ms(self) -> int:
        """Time at which the tasks or the record itself are removed, or 0."""
        if self.recorded_unix_ms == 0:
            return 0
        retention_ms = (
            JOB_ID_RETENTION_MS if self.forgotten else TASKS_RETENTION_MS
        )
        return self.recorded_unix_ms + retention_ms
