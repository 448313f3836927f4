"""Replicated record of one job in its home domain."""

from typing import Literal

from sardinespool.messages.base import Record
from sardinespool.messages.jobs import Job

TASKS_KEPT_MS = 3_600_000
"""How long operators can list a finished job's tasks after it is recorded."""

JOB_ID_KEPT_MS = 86_400_000
"""How long a resent assignment of a finished job is recognised."""


class JobRecord(Record, frozen=True, kw_only=True, omit_defaults=True):
    """State of one job; replaced as a whole on each change.

    `assign_sequence` is that of the job change that assigned the job here.
    `recorded_unix_ms` is 0 until the global group has recorded the end of
    the job. `forgotten` tells that the tasks were removed.
    """

    job: Job
    assign_sequence: int
    state: Literal["open", "finished", "released"] = "open"
    recorded_unix_ms: int = 0
    forgotten: bool = False

    @property
    def removal_unix_ms(self) -> int:
        """Time of the next removal, of the tasks or of the record; or 0."""
        if self.recorded_unix_ms == 0:
            return 0
        kept_ms = JOB_ID_KEPT_MS if self.forgotten else TASKS_KEPT_MS
        return self.recorded_unix_ms + kept_ms
