"""Refused jobs whose callers are expected to submit them again.

Load: after a pause, or in an overload, hundreds of callers are refused at
once. If all return at the same moment, most are refused again. And a job that
returns has less of its time left than one that is new: the time since its
first refusal counts.

All of it is held by the leader; for the next one each job is new.
"""

import dataclasses
import zlib

RETURNS_MAX = 2_000
"""Refused jobs that are remembered; the earliest are forgotten first. 1 MB at
most; a job that is forgotten counts as new."""
RETRY_MIN_S = 1
RETRY_MAX_S = 3
"""Range of Retry-After. Callers try four times more and wait 3 s for each
answer, so a later time means that the job is not served."""
REMEMBERED_MS = 30_000
"""Time after its last refusal for which a job is remembered; five tries take
less."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Refused:
    first_boot_ms: int
    forget_boot_ms: int


class Returns:
    """Refused jobs by id, in the order of their last refusals."""

    def __init__(self) -> None:
        self._refused: dict[str, _Refused] = {}

    def __len__(self) -> int:
        return len(self._refused)

    def reset(self) -> None:
        """Forget all refused jobs."""
        self._refused.clear()

    def age_ms(self, job_id: str, now_boot_ms: int) -> int:
        """Return the time since the first refusal of a job, 0 if new."""
        refused = self._refused.get(job_id)
        if refused is None or now_boot_ms >= refused.forget_boot_ms:
            return 0
        return now_boot_ms - refused.first_boot_ms

    def refuse(self, job_id: str, wait_ms: float, now_boot_ms: int) -> int:
        """Remember a refused job and return its Retry-After in seconds.

        The times are spread by the id, from the predicted time on, as callers
        that were refused together would otherwise return together.

        Parameters
        ----------
        job_id : str
            Id of the job.
        wait_ms : float
            Predicted time until it would be accepted.
        now_boot_ms : int
            Time on the boot clock.
        """
        first_boot_ms = now_boot_ms - self.age_ms(job_id, now_boot_ms)
        self._refused.pop(job_id, None)
        self._refused[job_id] = _Refused(
            first_boot_ms, now_boot_ms + REMEMBERED_MS
        )
        while len(self._refused) > RETURNS_MAX:
            del self._refused[next(iter(self._refused))]
        earliest_s = round(wait_ms / 1000)
        earliest_s = max(RETRY_MIN_S, min(RETRY_MAX_S, earliest_s))
        latest_s = min(RETRY_MAX_S, earliest_s + RETRY_MAX_S - RETRY_MIN_S)
        choices = latest_s - earliest_s + 1
        return earliest_s + zlib.crc32(job_id.encode()) % choices

    def accept(self, job_id: str) -> None:
        """Forget a job that was accepted."""
        self._refused.pop(job_id, None)
