"""Interference of best-effort tasks with the tail latency of serving tasks.

The headroom of a serving task is its target divided by its tail latency;
below 1 the task exceeds its target. For a task that behaves like a queue, the
inverse of the tail latency falls linearly with the load. Headroom is therefore
modeled as a curve of the step's own load less the interference of best-effort
tasks on the same worker: for each pair of images, a coefficient times the
share of the worker's processors that the best-effort tasks use. About a third
of the pairs have a coefficient of 5 to 11, and the others hardly interfere.
"""

import dataclasses
from collections.abc import Mapping

from sardinespool.dispatch.load_curve import find_period_ms
from sardinespool.dispatch.load_curve import LoadCurve
from sardinespool.messages.estimates import InterferenceEstimateRecord
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.observability.logs import get_logger

CurveKey = tuple[str, int, int]
"""Job, occurrence and step, whose tasks share a load curve."""

INTERFERENCE_PRIOR = 2.5
"""Interference of a pair before any report: that of an average pair."""
INTERFERENCE_VARIANCE = 14.0
"""Variance of the interference among pairs."""
INTERFERENCE_VARIANCE_MIN = 0.05
INTERFERENCE_DRIFT_PER_S = 0.02
"""Process noise: variance added per second, as interference may drift."""
INTERFERENCE_MAX = 30.0
INTERFERENCE_DIGITS = 2
"""Decimals of a stored estimate."""
INTERFERENCE_THRESHOLD = 1.5
"""Interference up to which a pair counts as harmless; pairs that interfere
have 4 or more."""
UNCERTAIN_VARIANCE = 4.0
"""Variance above which the interference may still be high enough to suspend
all best-effort tasks of a worker."""
HEADROOM_PRIOR = 2.6
"""Headroom before any report of an image: that of an average task."""
HEADROOM_STEP = 0.02
"""Weight of a report in the moving mean headroom of an image."""
HEADROOM_NOISE = 0.12
"""Standard deviation of a report around the model, without rounding."""
ROUNDING_ERROR_MS = 0.29
"""Standard deviation of a value rounded to whole milliseconds."""
SATURATED_HEADROOM = 0.9
"""Headroom below which requests queue up, so that the tail latency does not
reflect the load."""
SATURATED_NOISE = 1.0
SATURATED_MS = 2_000
"""Time in which the queue of a saturated task drains."""
OBSERVED_USE_MIN = 0.005
"""Smallest processor share of an image that updates its interference."""
OFFSET_STEP = 0.4
"""Weight of a report in the moving mean offset of a task from its curve."""
OFFSET_WEIGHT = 0.6
"""Share of the offset that is expected to persist for a second."""
PERIOD_SEARCH_INTERVAL_MS = 3_000

MARGIN_MIN = 0.1
MARGIN_MAX = 0.6
"""Bounds of the margin; the upper one covers one second of the steepest load
increase."""
ERROR_QUANTILE = 0.8
ERROR_STEP = 0.02
"""Step size of the running quantile, relative to `MARGIN_MAX`."""
FORECAST_HEADROOM_MAX = 2.0
"""Expected headroom up to which errors update the margin; above it they are
dominated by the rounding of tail latencies."""


_LOG = get_logger("dispatch")


@dataclasses.dataclass(slots=True)
class InterferenceEstimate:
    """Interference estimate of one pair of images."""

    mean: float
    variance: float
    updated_ms: int


@dataclasses.dataclass(slots=True)
class TailHistory:
    """State that the reports of one serving task leave.

    Attributes
    ----------
    offset : float
        Moving mean of the difference between reports and model.
    saturated_until_ms : int
        Until then the tail latency comes from a draining queue.
    sampled_ms : int
        Time of the last report.
    """

    offset: float = 0.0
    saturated_until_ms: int = 0
    sampled_ms: int = 0


class TailModel:
    """Learned interference by (serving, best-effort) image pair, load curves.

    Times are in milliseconds of the boot clock.
    """

    def __init__(self) -> None:
        self._interference: dict[tuple[str, str], InterferenceEstimate] = {}
        self._curves: dict[CurveKey, LoadCurve] = {}
        self._mean_headroom: dict[str, float] = {}
        self._period_ms: int | None = None
        self._search_due_ms = 0
        self.margin = MARGIN_MAX

    def restore(self, estimates: RecordEstimates | None, now_ms: int) -> None:
        """Load the estimates of an earlier leader."""
        if estimates is None:
            return
        _LOG.info(
            "estimates taken over",
            period_ms=estimates.period_ms,
            pairs=len(estimates.pair_estimates),
        )
        self._period_ms = estimates.period_ms
        for curve in self._curves.values():
            curve.use_period(self._period_ms)
        for item in estimates.pair_estimates:
            self._interference[item.serving, item.filling] = (
                InterferenceEstimate(item.interference, item.variance, now_ms)
            )

    def estimates(self) -> RecordEstimates:
        """Return the estimates that the next leader starts with."""
        return RecordEstimates(
            period_ms=self._period_ms,
            pair_estimates=tuple(
                InterferenceEstimateRecord(
                    serving=serving,
                    filling=best_effort,
                    interference=round(estimate.mean, INTERFERENCE_DIGITS),
                    variance=round(estimate.variance, INTERFERENCE_DIGITS),
                )
                for (
                    serving,
                    best_effort,
                ), estimate in self._interference.items()
            ),
        )

    def interference(self, serving: str, best_effort: str) -> float:
        """Return the interference of a pair.

        It is the headroom that a serving task loses when tasks of the
        best-effort image use all processors of its worker.
        """
        estimate = self._interference.get((serving, best_effort))
        return (
            INTERFERENCE_PRIOR if estimate is None else max(0.0, estimate.mean)
        )

    def interferes(self, serving: str, best_effort: str) -> bool:
        """Return whether the interference of a pair is significant."""
        return self.interference(serving, best_effort) > INTERFERENCE_THRESHOLD

    def is_uncertain(self, serving: str, best_effort: str) -> bool:
        """Return whether the estimate of a pair is still uncertain."""
        estimate = self._interference.get((serving, best_effort))
        return estimate is None or estimate.variance > UNCERTAIN_VARIANCE

    def dissimilarity(self, first: str, second: str) -> float:
        """Return the share of best-effort images that affect only one of two.

        The two are serving images. A uniform prior gives one half while
        nothing is known.
        """
        known = differing = 0
        for serving, best_effort in self._interference:
            if serving == first and not (
                self.is_uncertain(first, best_effort)
                or self.is_uncertain(second, best_effort)
            ):
                known += 1
                differing += self.interferes(
                    first, best_effort
                ) != self.interferes(second, best_effort)
        return (differing + 1) / (known + 2)

    def total_interference(
        self, serving: str, use: Mapping[str, float]
    ) -> float:
        """Return the headroom that best-effort images cost a serving image.

        Parameters
        ----------
        use : mapping of str to float
            Share of the worker's processors by best-effort image.
        """
        return sum(
            self.interference(serving, image) * share
            for image, share in use.items()
        )

    def headroom(
        self,
        key: CurveKey,
        serving: str,
        history: TailHistory | None,
        at_ms: int,
    ) -> float:
        """Return the expected headroom of a task without interference."""
        curve = self._curves.get(key)
        if curve is None:
            return self._mean_headroom.get(serving, HEADROOM_PRIOR)
        offset = OFFSET_WEIGHT * history.offset if history is not None else 0.0
        return curve.at(at_ms) + offset

    def observe(
        self,
        key: CurveKey,
        serving: str,
        history: TailHistory,
        headroom: float,
        target_ms: int,
        use: Mapping[str, float],
        now_ms: int,
    ) -> None:
        """Update the model with a report.

        Parameters
        ----------
        history : TailHistory
            History of the reporting task, which is updated.
        headroom : float
            Target over tail latency.
        target_ms : int
            Target, which determines the precision of the report.
        use : mapping of str to float
            Share of the worker's processors by best-effort image.
        """
        rounding_error = (
            ROUNDING_ERROR_MS * headroom * headroom / max(1, target_ms)
        )
        noise_variance = HEADROOM_NOISE**2 + rounding_error * rounding_error
        if headroom < SATURATED_HEADROOM:
            history.saturated_until_ms = now_ms + SATURATED_MS
            noise_variance = SATURATED_NOISE**2
        elif now_ms < history.saturated_until_ms:
            return
        history.sampled_ms = now_ms
        curve = self._curve(key, serving)
        forecast = curve.at(now_ms)
        expected = forecast - self.total_interference(serving, use)
        error = headroom - expected
        if expected < FORECAST_HEADROOM_MAX:
            self._update_margin(error - OFFSET_WEIGHT * history.offset)
        if history.saturated_until_ms <= now_ms:
            standalone = headroom + self.total_interference(serving, use)
            total_variance = noise_variance + self._interference_variance(
                serving, use
            )
            curve.add(standalone, HEADROOM_NOISE**2 / total_variance, now_ms)
            mean = self._mean_headroom.get(serving, standalone)
            self._mean_headroom[serving] = mean + HEADROOM_STEP * (
                standalone - mean
            )
            history.offset += OFFSET_STEP * (error - history.offset)
        self._update_interference(serving, use, error, noise_variance, now_ms)
        if now_ms >= self._search_due_ms:
            self._search_due_ms = now_ms + PERIOD_SEARCH_INTERVAL_MS
            self._search_period()

    def retain_curves(self, keep: set[CurveKey]) -> None:
        """Drop the curves of all steps not in `keep`."""
        for key in self._curves.keys() - keep:
            del self._curves[key]

    def _curve(self, key: CurveKey, serving: str) -> LoadCurve:
        curve = self._curves.get(key)
        if curve is None:
            curve = LoadCurve(self._mean_headroom.get(serving, HEADROOM_PRIOR))
            curve.use_period(self._period_ms)
            self._curves[key] = curve
        return curve

    def _interference_variance(
        self, serving: str, use: Mapping[str, float]
    ) -> float:
        """Return the variance of the total interference."""
        total_variance = 0.0
        for image, share in use.items():
            estimate = self._interference.get((serving, image))
            variance = (
                INTERFERENCE_VARIANCE
                if estimate is None
                else estimate.variance
            )
            total_variance += variance * share * share
        return total_variance

    def _update_interference(
        self,
        serving: str,
        use: Mapping[str, float],
        error: float,
        noise_variance: float,
        now_ms: int,
    ) -> None:
        """Update the estimate of each pair with a Kalman filter step."""
        updates: list[tuple[InterferenceEstimate, float]] = []
        total = noise_variance
        for image, share in use.items():
            if share < OBSERVED_USE_MIN:
                continue
            estimate = self._interference.get((serving, image))
            if estimate is None:
                estimate = InterferenceEstimate(
                    INTERFERENCE_PRIOR, INTERFERENCE_VARIANCE, now_ms
                )
                self._interference[serving, image] = estimate
            elapsed_ms = max(0, now_ms - estimate.updated_ms)
            estimate.variance = min(
                INTERFERENCE_VARIANCE,
                estimate.variance
                + INTERFERENCE_DRIFT_PER_S * elapsed_ms / 1e3,
            )
            estimate.updated_ms = now_ms
            updates.append((estimate, share))
            total += estimate.variance * share * share
        for estimate, share in updates:
            gain = estimate.variance * share / total
            estimate.mean -= gain * error
            estimate.mean = max(0.0, min(INTERFERENCE_MAX, estimate.mean))
            estimate.variance = max(
                INTERFERENCE_VARIANCE_MIN,
                estimate.variance * (1.0 - gain * share),
            )

    def _update_margin(self, error: float) -> None:
        """Move the margin towards a quantile of the overestimates."""
        step = ERROR_STEP * MARGIN_MAX
        if -error > self.margin:
            self.margin += step * ERROR_QUANTILE
        else:
            self.margin -= step * (1.0 - ERROR_QUANTILE)
        self.margin = max(MARGIN_MIN, min(MARGIN_MAX, self.margin))

    def _search_period(self) -> None:
        period_ms = find_period_ms(self._curves.values())
        if period_ms is None or period_ms == self._period_ms:
            return
        _LOG.info(
            "period of load",
            period_ms=period_ms,
            earlier_period_ms=self._period_ms,
            curves=len(self._curves),
        )
        self._period_ms = period_ms
        for curve in self._curves.values():
            curve.use_period(period_ms)


def headroom_of(target_ms: int, tail_ms: int) -> float:
    """Return target over tail latency: 1 at the target, more below it."""
    return target_ms / max(1, tail_ms)
