"""Distribution of the run time of a task that has not ended."""

import dataclasses
import math
from statistics import NormalDist

_NORMAL = NormalDist()
_HALVINGS = 40
SHARE_MIN = 1e-9
"""Share of the tasks below which a distribution says nothing any more."""
OVERDUE_SHARE_LEFT = 0.5
"""Time left of a run that took longer than any expected one, as a share of the
time that it has taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunTimeForecast:
    """Distribution of the run time of a task.

    It is log-normal, and stragglers take longer by a factor.

    Attributes
    ----------
    log_median_ms : float
        Logarithm of the median in milliseconds, stragglers aside.
    job_spread : float
        Standard deviation of the logarithm that all tasks of the job share.
    task_spread : float
        Standard deviation of the logarithm between tasks of the job.
    straggler_share : float
        Share of the tasks that are stragglers.
    straggler_log : float
        Logarithm of the factor by which these take longer.
    """

    log_median_ms: float
    job_spread: float
    task_spread: float
    straggler_share: float
    straggler_log: float

    @property
    def spread(self) -> float:
        """Standard deviation of the logarithm of the run time of one task."""
        return math.hypot(self.job_spread, self.task_spread)

    @property
    def median_ms(self) -> float:
        """Median, stragglers aside."""
        return math.exp(self.log_median_ms)

    @property
    def mean_ms(self) -> float:
        """Mean, with stragglers."""
        core_ms = math.exp(self.log_median_ms + self.spread**2 / 2)
        factor = math.exp(self.straggler_log)
        return core_ms * (1.0 + self.straggler_share * (factor - 1.0))

    def share_longer(self, run_ms: float) -> float:
        """Return the share of the tasks that take longer than a time."""
        if run_ms <= 0:
            return 1.0
        distance = (math.log(run_ms) - self.log_median_ms) / self.spread
        beyond = distance - self.straggler_log / self.spread
        return (1.0 - self.straggler_share) * _upper_tail(
            distance
        ) + self.straggler_share * _upper_tail(beyond)

    def quantile_ms(self, share: float, elapsed_ms: float = 0.0) -> float:
        """Return a quantile of the time left.

        Parameters
        ----------
        share : float
            Share of the tasks that end within the result.
        elapsed_ms : float
            How long the task has run; 0 for one that waits.
        """
        longer = self.share_longer(elapsed_ms)
        if longer < SHARE_MIN:
            return OVERDUE_SHARE_LEFT * elapsed_ms
        target = (1.0 - share) * longer
        low = math.log(max(1.0, elapsed_ms))
        high = self.log_median_ms + self.straggler_log + 8.0 * self.spread
        high = max(low, high)
        for _ in range(_HALVINGS):
            middle = (low + high) / 2.0
            if self.share_longer(math.exp(middle)) > target:
                low = middle
            else:
                high = middle
        return math.exp(high) - elapsed_ms

    def last_of_ms(self, count: int, spreads: float = 0.0) -> float:
        """Return when the last of some tasks ends that start together.

        Parameters
        ----------
        count : int
            Number of the tasks.
        spreads : float
            Error of the job to assume, in its standard deviations; a
            negative one is optimistic.
        """
        middle = self.log_median_ms + spreads * self.job_spread
        # Median of the largest of `count` draws.
        distance = _NORMAL.inv_cdf(0.5 ** (1.0 / max(1, count)))
        core_ms = math.exp(middle + distance * self.task_spread)
        # A straggler is assumed if that many jobs have one at least.
        share_without = (1.0 - self.straggler_share) ** count
        if _upper_tail(-spreads) <= share_without:
            return core_ms
        return max(core_ms, math.exp(middle + self.straggler_log))


def _upper_tail(distance: float) -> float:
    return 0.5 * math.erfc(distance / math.sqrt(2.0))
