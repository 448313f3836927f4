"""Recent crashes of workers, against which those under a task are weighed.

A long-running task runs until it is cancelled, so many workers crash by
themselves under it. Load: tasks that crash each worker some seconds after
their start, beside healthy long-running tasks on workers that crash by
themselves. A crash under a long-running task counts as evidence against it
only if its crashes are improbable without the task. The history is held by
the leader; a new leader starts without any.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping

WINDOW_MS = 60_000
"""Age from which crashes are forgotten. A long-running run that has lived for
as long isn't weighed; it shows that its task is healthy."""
CRASHES_KEPT_MAX = 200
"""Limit of remembered crashes; the oldest go first. It bounds the time that
the crash of a whole failure domain takes. Their rate refers to the time that
the remembered ones span."""
CRASHES_ON_HOST_MAX = 2
"""Crashes of one host alone that count. After them the task is a suspect and
starts on another host, if there is one."""
CHANCE_MAX = 0.15
"""Greatest probability with which each crash may be one by itself, so four
crashes fail a healthy task with a probability of at most 0.0005."""
SUSPECTED_WORKERS_RATIO = 2
"""Crashes under other tasks with several crashes tell nothing about workers,
as these tasks may cause them. If such tasks are more than half as many as the
workers, the workers are the likelier cause, and all crashes tell."""


@dataclasses.dataclass(frozen=True)
class Crash:
    """A crash of a worker.

    Attributes
    ----------
    boot_ms : int
        Last answer of the worker.
    host : str
        Its host.
    ages_ms : mapping of str to int
        How long the tasks that ran there are known to have lived; a gang is
        named by its first member.
    """

    boot_ms: int
    host: str
    ages_ms: Mapping[str, int]


class CrashHistory:
    """The crashes of the last minute."""

    def __init__(self) -> None:
        self._crashes: collections.deque[Crash] = collections.deque(
            maxlen=CRASHES_KEPT_MAX
        )

    def reset(self) -> None:
        """Forget all crashes."""
        self._crashes.clear()

    def add(self, crash: Crash) -> None:
        """Remember a crash, and forget old ones."""
        while self._crashes and (
            self._crashes[0].boot_ms <= crash.boot_ms - WINDOW_MS
        ):
            self._crashes.popleft()
        self._crashes.append(crash)

    def hosts_of(self, unit: str) -> set[str]:
        """Return the hosts whose workers crashed under a task."""
        return {crash.host for crash in self._crashes if unit in crash.ages_ms}

    def may_be_chance(
        self, crash: Crash, unit: str, counted: int, workers: int
    ) -> bool:
        """Return whether the crashes under a task may not be of its doing.

        Parameters
        ----------
        crash : Crash
            The latest crash, not added yet.
        unit : str
            A long-running task that ran there.
        counted : int
            Crashes that count for the task already.
        workers : int
            Number of workers.
        """
        age_ms = crash.ages_ms[unit]
        if age_ms >= WINDOW_MS:
            return True
        recent = [
            other
            for other in self._crashes
            if other.boot_ms > crash.boot_ms - WINDOW_MS
        ]
        own = [other for other in recent if unit in other.ages_ms]
        repeated = _repeated_units(recent) - {unit}
        if len(repeated) * SUSPECTED_WORKERS_RATIO > workers:
            repeated = set()
        others = [
            other
            for other in recent
            if unit not in other.ages_ms and repeated.isdisjoint(other.ages_ms)
        ]
        if any(other.host == crash.host for other in others) or (
            counted >= CRASHES_ON_HOST_MAX
            and {other.host for other in own} == {crash.host}
        ):
            # The host may be the cause: it crashes without the task too, or
            # the task has run nowhere else.
            return True
        if not others:
            return False
        span_ms = max(age_ms, crash.boot_ms - recent[0].boot_ms, 1)
        lived_ms = age_ms + sum(other.ages_ms[unit] for other in own)
        expected = (
            len(others)
            * lived_ms
            / (span_ms * max(1, workers - len(repeated)))
        )
        count = len(own) + 1
        return probability_of(count, expected) >= CHANCE_MAX**count


def _repeated_units(crashes: Iterable[Crash]) -> set[str]:
    """Return the tasks under which several workers have crashed."""
    counts = collections.Counter(
        unit for crash in crashes for unit in crash.ages_ms
    )
    return {unit for unit, count in counts.items() if count > 1}


def probability_of(count: int, expected: float) -> float:
    """Return the probability of `count` independent crashes or more."""
    term = math.exp(-expected)
    fewer = 0.0
    for number in range(count):
        fewer += term
        term *= expected / (number + 1)
    return 1.0 - fewer
