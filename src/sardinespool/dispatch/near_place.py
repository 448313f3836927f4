"""Decision how long a task waits for a worker near its data.

Load pattern: for seconds, many tasks want the few workers of one rack, while
other racks have room. A task takes a multiple of its run time there, so one
that waits a moment may end earlier; one that waits for long ends later, and
may miss the objective of its job beside free room.

A wait ends before it has cost what a near start could have gained. With the
wait, a task then takes at most twice the time of the better choice, even if
every expected wait is wrong. What is expected only ends a wait earlier.
"""

import bisect
import dataclasses
import enum
import math
import operator
from collections.abc import Sequence

WAIT_MAX_MS = 2_000
"""Longest wait. A job of which nothing runs for 3 s beside free room counts as
lost; the rest covers the planning pass, the commit and the start order."""
REVIEW_MS = 250
"""Longest time between two decisions on a task: 100 ms between idle passes,
a commit, and a slow pass. What must happen by a time happens in the last
review before."""

CONTENDED_FREE_SHARE = 0.05
"""Free share of the pool below which others take what remote room is left."""
CONTENDED_GAIN = 2.0
"""Value of the saved run time in a contended pool: the task has it, and so has
the next one on the processors that a remote start would hold for longer."""


class NearVerdict(enum.Enum):
    """Decision on a task whose only free workers are remote."""

    WAIT = "wait"
    NO_WORKER = "no near worker can take the task"
    NO_GAIN = "the wait would cost more than it gains"
    OBJECTIVE = "a later remote start would miss the objective"
    LIMIT = "waited for the longest time"


@dataclasses.dataclass(frozen=True, slots=True)
class NearChoice:
    """Inputs of one decision.

    Attributes
    ----------
    remote_factor : float
        Run time on a remote worker, as a multiple of that on a near one.
    run_ms : float
        Expected run time on a near worker.
    waited_ms : float
        How long the task has waited although a remote worker was free.
    expected_wait_ms : float
        Expected time until a near worker is free for it; infinite if none
        can take it.
    slack_ms : float
        Time by which a remote start may be delayed until the job misses its
        objective; negative if it misses it anyway.
    is_contended : bool
        Whether other tasks take what remote room is left.
    """

    remote_factor: float
    run_ms: float
    waited_ms: float
    expected_wait_ms: float
    slack_ms: float
    is_contended: bool = False

    @property
    def gain_ms(self) -> float:
        """Run time that a near start saves, for others too if contended."""
        saved_ms = (self.remote_factor - 1.0) * self.run_ms
        return CONTENDED_GAIN * saved_ms if self.is_contended else saved_ms


def decide(choice: NearChoice) -> NearVerdict:
    """Return whether a task waits, or why it starts on a remote worker now."""
    if math.isinf(choice.expected_wait_ms):
        return NearVerdict.NO_WORKER
    if choice.waited_ms + REVIEW_MS > WAIT_MAX_MS:
        return NearVerdict.LIMIT
    if choice.waited_ms + choice.expected_wait_ms >= choice.gain_ms:
        return NearVerdict.NO_GAIN
    if 0 <= choice.slack_ms < REVIEW_MS:
        return NearVerdict.OBJECTIVE
    return NearVerdict.WAIT


def expected_wait_ms(
    freed: Sequence[tuple[float, float]], demand: float, run_ms: float
) -> float:
    """Return when near workers are expected to have freed enough.

    Parameters
    ----------
    freed : sequence of (float, float)
        Times from now in milliseconds, in ascending order, each with the
        processors that are expected to become free up to then. A run with an
        uncertain end has several times, each with a part of its processors.
    demand : float
        Processors of the task and of all that wait before it.
    run_ms : float
        Run time after which the tasks that start in the meantime free the
        same processors again.
    """
    if not freed:
        return math.inf
    total = freed[-1][1]
    rounds = max(0, math.ceil(demand / total) - 1)
    # Sums of parts are inexact.
    left = demand - rounds * total - 1e-6 * total
    position = bisect.bisect_left(freed, left, key=operator.itemgetter(1))
    return rounds * run_ms + freed[position][0]
