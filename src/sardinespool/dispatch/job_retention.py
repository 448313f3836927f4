"""When jobs begin by their schedule, and when they are forgotten."""

import collections
from collections.abc import Callable
from typing import NamedTuple

from sardinespool.clock import Instant
from sardinespool.groups.control_machine import ControlMachine

CLEANUP_INTERVAL_MS = 5_000
"""Interval between looks for what may be forgotten."""


class Forgotten(NamedTuple):
    """Ids of ended jobs, and the number up to which tombstones may go."""

    jobs: tuple[str, ...]
    tombstones: int


NOTHING_FORGOTTEN = Forgotten((), 0)


class JobRetention:
    """Tells which occurrences are due, and what has passed its retention.

    Tombstones are kept at least as long as cancelled jobs, by the boot clock
    of the leader, as wall clocks jump. A new leader counts from its start.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    retention_ms : int
        Time for which ended jobs are kept.
    on_cleanup : callable
        Called whenever it is time to forget.
    """

    def __init__(
        self,
        machine: ControlMachine,
        retention_ms: int,
        on_cleanup: Callable[[], None],
    ) -> None:
        self._machine = machine
        self._retention_ms = retention_ms
        self._on_cleanup = on_cleanup
        self._due_boot_ms = 0
        # Latest number of a tombstone at a time, and the time.
        self._marks: collections.deque[tuple[int, int]] = collections.deque()

    def reset(self) -> None:
        """Forget the ages that an earlier leadership has measured."""
        self._due_boot_ms = 0
        self._marks.clear()

    def take_due(self, now: Instant) -> Forgotten:
        """Return what is to be forgotten, looked for once an interval."""
        if now.boot_ms < self._due_boot_ms:
            return NOTHING_FORGOTTEN
        self._due_boot_ms = now.boot_ms + CLEANUP_INTERVAL_MS
        self._on_cleanup()
        return Forgotten(self._old_jobs(now), self._old_tombstones(now))

    def _old_jobs(self, now: Instant) -> tuple[str, ...]:
        before_unix_ms = now.unix_ms - self._retention_ms
        return tuple(
            workflow.job_id
            for workflow in self._machine.table.workflows.values()
            if workflow.is_final and workflow.ended_unix_ms < before_unix_ms
        )

    def _old_tombstones(self, now: Instant) -> int:
        tombstones = self._machine.tombstones
        if not tombstones.numbers:
            return 0
        number = 0
        while (
            self._marks
            and now.boot_ms - self._marks[0][1] >= self._retention_ms
        ):
            number, _ = self._marks.popleft()
        self._marks.append((tombstones.last_number, now.boot_ms))
        first_number = next(iter(tombstones.numbers.values()))
        return number if number >= first_number else 0

    def due_occurrences(self, now: Instant) -> tuple[tuple[str, int], ...]:
        """Return the occurrences that are due, by job and number."""
        due = []
        for workflow in self._machine.table.unopened.values():
            due_unix_ms = workflow.next_due_unix_ms
            if due_unix_ms is not None and due_unix_ms <= now.unix_ms:
                due.append((workflow.job_id, len(workflow.occurrences)))
        return tuple(due)
