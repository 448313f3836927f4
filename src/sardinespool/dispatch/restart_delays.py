"""Delays before a long-running task that failed starts again.

Load: tasks that must be restarted however they end fail soon after each start.
Without a delay they take starts, log entries and calls from all others. The
first restart is immediate, as the failure may be the worker's; later delays
double. The state is held by the leader; the next one starts without delays.
"""

from sardinespool.clock import Instant
from sardinespool.dispatch.failure_evidence import WORKING_MS

FIRST_DELAY_MS = 250
"""Delay after the second failure in a row."""
DELAY_MAX_MS = 4_000
"""A long-running task is to be at work again within 6 s."""
TRACKED_TASKS_MAX = 20_000
"""Tasks whose failures are tracked; the oldest are dropped first."""


class RestartDelays:
    """Tracks the long-running tasks that failed soon after their start."""

    def __init__(self) -> None:
        self._failures: dict[str, tuple[int, int]] = {}

    def reset(self) -> None:
        """Forget all failures."""
        self._failures.clear()

    def record_failure(self, task_key: str, age_ms: int, now: Instant) -> int:
        """Record a failed run; return the delay before the next one in ms."""
        failures, _ = self._failures.pop(task_key, (0, 0))
        if age_ms >= WORKING_MS:
            return 0
        delay_ms = 0
        if failures:
            # The exponent is limited, as the number of failures is not.
            delay_ms = min(
                DELAY_MAX_MS, FIRST_DELAY_MS << min(failures - 1, 16)
            )
        while len(self._failures) >= TRACKED_TASKS_MAX:
            del self._failures[next(iter(self._failures))]
        self._failures[task_key] = (failures + 1, now.boot_ms + delay_ms)
        return delay_ms

    def may_start(self, task_key: str, now: Instant) -> bool:
        """Return whether the delay of a task has passed."""
        _, due_boot_ms = self._failures.get(task_key, (0, 0))
        return now.boot_ms >= due_boot_ms
