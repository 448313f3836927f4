"""Estimates that a leader stores for its successor."""

import msgspec

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class InterferenceEstimateRecord(Record, frozen=True, kw_only=True):
    """Interference of a filling image with a serving image.

    Attributes
    ----------
    serving : str
        Image of the tasks that have a tail latency target.
    filling : str
        Image of the tasks that use leftover processors.
    interference : float
        Headroom that a serving task loses when filling tasks use all
        processors of its worker.
    variance : float
        Square of the standard error of `interference`.
    """

    serving: str
    filling: str
    interference: float = msgspec.field(name="press")
    variance: float


class RunTimeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Run times of a class of tasks, see `dispatch.run_times`.

    Means and spreads are those of natural logarithms.

    Attributes
    ----------
    size : int
        Half the number of bits of the declared run time; -1 for all tasks of
        the queue.
    ratio_weight, ratio_log, ratio_variance : float
        Number of jobs, decayed, and mean and variance of the ratio of actual
        to declared run time.
    run_weight, run_log, run_variance : float
        The same of the run time in milliseconds.
    task_spread : float
        Standard deviation of the run times of tasks of one job.
    straggler_share, straggler_log : float
        Share of the tasks that take far longer than others of their job, and
        the factor.
    """

    queue: str
    image: str
    size: int
    ratio_weight: float
    ratio_log: float
    ratio_variance: float
    run_weight: float
    run_log: float
    run_variance: float
    task_spread: float
    straggler_share: float
    straggler_log: float


class RecordEstimates(Message, frozen=True, kw_only=True):
    """Replace the stored estimates.

    They shorten the learning phase of a new leader and are not needed for
    correctness.

    Attributes
    ----------
    period_ms : int or None
        Period of the load cycle, None while unknown.
    pair_estimates : tuple of InterferenceEstimateRecord
        One estimate for each pair of images.
    run_times : tuple of RunTimeRecord
        One for each class of tasks; earlier builds store none.
    """

    period_ms: int | None
    pair_estimates: tuple[InterferenceEstimateRecord, ...] = msgspec.field(
        name="presses"
    )
    run_times: tuple[RunTimeRecord, ...] = ()
