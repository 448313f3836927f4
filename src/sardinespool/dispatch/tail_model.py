"""How filling tasks press on the tail latency of serving ones.

The headroom of a serving task is its target over its tail: below 1 it is
over its target. For a task that behaves like a queue, the inverse of the
tail falls linearly with the load, so headroom is taken as a curve of the
step's own load less the press of what fills beside it: for each pair of
images, a press times the share of the worker's processors that the filling
tasks use. In the reports of played days a third of the pairs press by 5 to
11 and the others hardly at all.
"""

import dataclasses
from collections.abc import Mapping

from sardinespool.dispatch.load_curve import find_period_ms
from sardinespool.dispatch.load_curve import LoadCurve
from sardinespool.messages.estimates import PressEstimate
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.observability.logs import get_logger

CurveKey = tuple[str, int, int]
"""Job, occurrence and step whose tasks share their swings of load."""

PRESS_PRIOR = 2.5
"""Press of a pair before any report: the mean over all pairs."""
PRESS_VARIANCE = 14.0
"""Variance of the press among pairs."""
PRESS_VARIANCE_MIN = 0.05
PRESS_DRIFT = 0.02
"""Variance that a second adds to a press, which may change slowly."""
PRESS_MAX = 30.0
PRESS_DIGITS = 2
"""Decimals of a press that are stored."""
WEAK_PRESS = 1.5
"""Press up to which a pair counts as one that does not press; those that do
stand at 4 and more on the played days."""
UNTRIED_VARIANCE = 4.0
"""Variance above which a press that halts a worker's filling is possible."""
HEADROOM_PRIOR = 2.6
"""Mean headroom of played days before any report of an image."""
HEADROOM_STEP = 0.02
"""Step of the mean headroom of an image for each report."""
HEADROOM_NOISE = 0.12
"""Standard deviation of a report around the model, rounding excepted."""
ROUNDING_MS = 0.29
"""Standard deviation of a figure that is rounded to whole milliseconds."""
SATURATED_HEADROOM = 0.9
"""Below it requests queue up, and the tail tells nothing of the load."""
SATURATED_NOISE = 1.0
SATURATED_MS = 2_000
"""Time in which such a queue empties."""
USE_MIN = 0.005
"""Shares of a worker below this tell nothing about a press."""
OFFSET_STEP = 0.4
"""Weight of the last report in a task's distance from its curve."""
OFFSET_WEIGHT = 0.6
"""Part of that distance that is expected to last for a second."""
PERIOD_SEARCH_INTERVAL_MS = 3_000

MARGIN_MIN = 0.1
MARGIN_MAX = 0.6
"""Bounds of the margin; the largest covers a second of the steepest rise of
load on the played days."""
ERROR_QUANTILE = 0.8
ERROR_STEP = 0.02
"""Step by which the quantile of the errors follows each report."""
NEAR_HEADROOM = 2.0
"""Expected headroom above which errors say little of those near the target,
since tails are rounded."""


_LOG = get_logger("dispatch")


@dataclasses.dataclass(slots=True)
class Press:
    """Estimate of one pair."""

    mean: float
    variance: float
    updated_ms: int


@dataclasses.dataclass(slots=True)
class TailState:
    """What a serving task's reports showed.

    Attributes
    ----------
    offset : float
        Mean distance of the reports from the model.
    saturated_until_ms : int
        Until then the tail comes from a queue that empties.
    sampled_ms : int
        Time of the last report.
    """

    offset: float = 0.0
    saturated_until_ms: int = 0
    sampled_ms: int = 0


class TailModel:
    """Learned press by pair of images (serving, filling) and load curves.

    Times are in milliseconds of the boot clock.
    """

    def __init__(self) -> None:
        self._press: dict[tuple[str, str], Press] = {}
        self._curves: dict[CurveKey, LoadCurve] = {}
        self._mean: dict[str, float] = {}
        self._period_ms: int | None = None
        self._search_due_ms = 0
        self.margin = MARGIN_MAX

    def restore(self, estimates: RecordEstimates | None, now_ms: int) -> None:
        """Begin with what another leader learned."""
        if estimates is None:
            return
        _LOG.info(
            "estimates taken over",
            period_ms=estimates.period_ms,
            pairs=len(estimates.presses),
        )
        self._period_ms = estimates.period_ms
        for curve in self._curves.values():
            curve.use_period(self._period_ms)
        for item in estimates.presses:
            self._press[item.serving, item.filling] = Press(
                item.press, item.variance, now_ms
            )

    def estimates(self) -> RecordEstimates:
        """Return what another leader can begin with."""
        return RecordEstimates(
            period_ms=self._period_ms,
            presses=tuple(
                PressEstimate(
                    serving=serving,
                    filling=filling,
                    press=round(press.mean, PRESS_DIGITS),
                    variance=round(press.variance, PRESS_DIGITS),
                )
                for (serving, filling), press in self._press.items()
            ),
        )

    def press(self, serving: str, filling: str) -> float:
        """Return the press of a pair for a whole worker of use."""
        press = self._press.get((serving, filling))
        return PRESS_PRIOR if press is None else max(0.0, press.mean)

    def presses(self, serving: str, filling: str) -> bool:
        """Return whether one of a pair's tasks alone takes much headroom."""
        return self.press(serving, filling) > WEAK_PRESS

    def is_untried(self, serving: str, filling: str) -> bool:
        """Return whether hardly anything is known of a pair."""
        press = self._press.get((serving, filling))
        return press is None or press.variance > UNTRIED_VARIANCE

    def dissimilarity(self, first: str, second: str) -> float:
        """Return the share of filling images that press on one of two only."""
        known = unlike = 0
        for serving, filling in self._press:
            if serving == first and not (
                self.is_untried(first, filling)
                or self.is_untried(second, filling)
            ):
                known += 1
                unlike += self.presses(first, filling) != self.presses(
                    second, filling
                )
        return (unlike + 1) / (known + 2)

    def added(self, serving: str, use: Mapping[str, float]) -> float:
        """Return what filling images take from a serving image's headroom.

        Parameters
        ----------
        use : mapping of str to float
            Share of the worker's processors by filling image.
        """
        return sum(
            self.press(serving, image) * share for image, share in use.items()
        )

    def headroom(
        self,
        key: CurveKey,
        serving: str,
        state: TailState | None,
        at_ms: int,
    ) -> float:
        """Return a task's expected headroom with nothing beside it."""
        curve = self._curves.get(key)
        if curve is None:
            return self._mean.get(serving, HEADROOM_PRIOR)
        offset = OFFSET_WEIGHT * state.offset if state is not None else 0.0
        return curve.at(at_ms) + offset

    def observe(
        self,
        key: CurveKey,
        serving: str,
        state: TailState,
        headroom: float,
        target_ms: int,
        use: Mapping[str, float],
        now_ms: int,
    ) -> None:
        """Learn from a report.

        Parameters
        ----------
        state : TailState
            State of the reporting task, which is updated.
        headroom : float
            Target over tail.
        target_ms : int
            Target of the tail, for the precision of the report.
        use : mapping of str to float
            Share of the worker's processors by filling image.
        """
        rounding = ROUNDING_MS * headroom * headroom / max(1, target_ms)
        noise = HEADROOM_NOISE**2 + rounding * rounding
        if headroom < SATURATED_HEADROOM:
            state.saturated_until_ms = now_ms + SATURATED_MS
            noise = SATURATED_NOISE**2
        elif now_ms < state.saturated_until_ms:
            return
        state.sampled_ms = now_ms
        curve = self._curve(key, serving)
        alone = curve.at(now_ms)
        expected = alone - self.added(serving, use)
        error = headroom - expected
        if expected < NEAR_HEADROOM:
            self._widen(error - OFFSET_WEIGHT * state.offset)
        if state.saturated_until_ms <= now_ms:
            own = headroom + self.added(serving, use)
            doubt = noise + self._doubt(serving, use)
            curve.add(own, HEADROOM_NOISE**2 / doubt, now_ms)
            mean = self._mean.get(serving, own)
            self._mean[serving] = mean + HEADROOM_STEP * (own - mean)
            state.offset += OFFSET_STEP * (error - state.offset)
        self._learn_press(serving, use, error, noise, now_ms)
        if now_ms >= self._search_due_ms:
            self._search_due_ms = now_ms + PERIOD_SEARCH_INTERVAL_MS
            self._search_period()

    def forget(self, keep: set[CurveKey]) -> None:
        """Drop the curves of steps that have ended."""
        for key in self._curves.keys() - keep:
            del self._curves[key]

    def _curve(self, key: CurveKey, serving: str) -> LoadCurve:
        curve = self._curves.get(key)
        if curve is None:
            curve = LoadCurve(self._mean.get(serving, HEADROOM_PRIOR))
            curve.use_period(self._period_ms)
            self._curves[key] = curve
        return curve

    def _doubt(self, serving: str, use: Mapping[str, float]) -> float:
        """Return the variance of what fills takes from the headroom."""
        doubt = 0.0
        for image, share in use.items():
            press = self._press.get((serving, image))
            variance = PRESS_VARIANCE if press is None else press.variance
            doubt += variance * share * share
        return doubt

    def _learn_press(
        self,
        serving: str,
        use: Mapping[str, float],
        error: float,
        noise: float,
        now_ms: int,
    ) -> None:
        """Update the press of each pair as by a Kalman filter."""
        parts: list[tuple[Press, float]] = []
        total = noise
        for image, share in use.items():
            if share < USE_MIN:
                continue
            press = self._press.get((serving, image))
            if press is None:
                press = Press(PRESS_PRIOR, PRESS_VARIANCE, now_ms)
                self._press[serving, image] = press
            elapsed_ms = max(0, now_ms - press.updated_ms)
            press.variance = min(
                PRESS_VARIANCE, press.variance + PRESS_DRIFT * elapsed_ms / 1e3
            )
            press.updated_ms = now_ms
            parts.append((press, share))
            total += press.variance * share * share
        for press, share in parts:
            gain = press.variance * share / total
            press.mean -= gain * error
            press.mean = max(0.0, min(PRESS_MAX, press.mean))
            press.variance = max(
                PRESS_VARIANCE_MIN, press.variance * (1.0 - gain * share)
            )

    def _widen(self, error: float) -> None:
        """Let the margin follow a quantile of errors to the bad side."""
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
    """Return the headroom of a tail: 1 at its target, more below."""
    return target_ms / max(1, tail_ms)
