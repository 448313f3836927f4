"""Periodic model of the headroom of a serving step over time.

The load of serving tasks oscillates with one period that all steps share,
each with its own phase. A curve is the least squares fit of a mean, a sine and
a cosine of that period, with exponentially decaying sample weights.
"""

import collections
import math
from collections.abc import Iterable
from collections.abc import Sequence

HALF_LIFE_MS = 20_000
"""Age at which the weight of a sample is halved: two cycles of a load
period of 10 s."""
MEAN_PRIOR_WEIGHT = 0.3
AMPLITUDE_PRIOR_WEIGHT = 1.5
"""Weights of the prior, in samples; the reports of one step's tasks outweigh
that of the amplitude after about a third of a second."""
BIN_MS = 500
"""Interval at which tail latencies are measured."""
BINS_MAX = 80
"""40 s: two cycles of the longest candidate period."""

TREND_BINS = 4
TREND_MAX_MS = 1_000
"""Bins that determine the slope while the period is unknown, and the limit
of its extrapolation: a quarter of the shortest period."""

PERIODS_MS = tuple(int(4_000 * 1.06**number) for number in range(28))
"""Candidate periods from 4 to 19.3 seconds, in steps of 6%."""
REFINEMENT_STEPS = (0.03, 0.015, 0.008, 0.004)
"""Relative steps around the best candidate; the last one keeps the phase
error within 0.1 over 40 s."""
SEARCH_CURVES_MAX = 8
SEARCH_BINS_MIN = 12
"""Minimum number of bins of a curve in the search: six seconds."""
SEARCH_CYCLES_MIN = 1.2
"""Cycles that the longest curve must cover."""
SEARCH_EXPLAINED_MIN = 0.6
"""Share of the variance that a period must explain to be accepted."""

Bin = tuple[int, float, float]
"""Midpoint in milliseconds, mean headroom and total sample weight."""


class LoadCurve:
    """Fit of the headroom of one step without interference.

    Parameters
    ----------
    mean : float
        Headroom expected before the first sample.
    """

    __slots__ = ("_bins", "_fit", "_period_ms", "_sums", "_updated_ms", "mean")

    def __init__(self, mean: float) -> None:
        self.mean = mean
        self._period_ms: int | None = None
        self._bins: collections.deque[Bin] = collections.deque(maxlen=BINS_MAX)
        self._updated_ms = 0
        # Upper triangle of the normal equations, then their right-hand side.
        self._sums = [0.0] * 9
        self._fit: tuple[float, float, float] | None = None

    @property
    def bins(self) -> Sequence[Bin]:
        """Bins in the order of time."""
        return self._bins

    def use_period(self, period_ms: int | None) -> None:
        """Refit the stored bins to another period."""
        if period_ms == self._period_ms:
            return
        self._period_ms = period_ms
        self._sums = [0.0] * 9
        for at_ms, headroom, count in self._bins:
            self._add(headroom, count, at_ms)

    def add(self, headroom: float, weight: float, at_ms: int) -> None:
        """Add a sample.

        Parameters
        ----------
        headroom : float
            Target over tail latency, corrected for interference.
        weight : float
            1 for a sample of full precision, less for others.
        at_ms : int
            Time of the sample on the boot clock.
        """
        middle_ms = at_ms - at_ms % BIN_MS + BIN_MS // 2
        if self._bins and self._bins[-1][0] == middle_ms:
            _, mean, count = self._bins[-1]
            count += weight
            mean += (headroom - mean) * weight / count
            self._bins[-1] = (middle_ms, mean, count)
        else:
            self._bins.append((middle_ms, headroom, weight))
        self._add(headroom, weight, at_ms)

    def at(self, at_ms: int) -> float:
        """Return the expected headroom at a time on the boot clock."""
        if self._period_ms is None and len(self._bins) >= TREND_BINS:
            return self._trend(at_ms)
        if self._fit is None:
            self._fit = self._solve()
        level, sine, cosine = self._fit
        if self._period_ms is None:
            return level
        angle = math.tau * (at_ms % self._period_ms) / self._period_ms
        return level + sine * math.sin(angle) + cosine * math.cos(angle)

    def _trend(self, at_ms: int) -> float:
        """Extrapolate the last bins linearly while the period is unknown."""
        last_ms, last, _ = self._bins[-1]
        first_ms, first, _ = self._bins[-TREND_BINS]
        slope = (last - first) / (last_ms - first_ms)
        offset_ms = max(0, min(TREND_MAX_MS, at_ms - last_ms))
        return last + slope * offset_ms

    def _add(self, headroom: float, weight: float, at_ms: int) -> None:
        sums = self._sums
        elapsed_ms = at_ms - self._updated_ms
        if elapsed_ms > 0:
            decay = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
            for index in range(9):
                sums[index] *= decay
            self._updated_ms = at_ms
        sine = cosine = 0.0
        if self._period_ms is not None:
            angle = math.tau * (at_ms % self._period_ms) / self._period_ms
            sine = math.sin(angle)
            cosine = math.cos(angle)
        sums[0] += weight
        sums[1] += weight * sine
        sums[2] += weight * cosine
        sums[3] += weight * sine * sine
        sums[4] += weight * sine * cosine
        sums[5] += weight * cosine * cosine
        sums[6] += weight * headroom
        sums[7] += weight * headroom * sine
        sums[8] += weight * headroom * cosine
        self._fit = None

    def _solve(self) -> tuple[float, float, float]:
        """Solve the normal equations with the prior by Cramer's rule."""
        a, b, c, d, e, f, x, y, z = self._sums
        a += MEAN_PRIOR_WEIGHT
        x += MEAN_PRIOR_WEIGHT * self.mean
        d += AMPLITUDE_PRIOR_WEIGHT
        f += AMPLITUDE_PRIOR_WEIGHT
        cofactor_a, cofactor_b, cofactor_c = (
            d * f - e * e,
            c * e - b * f,
            b * e - c * d,
        )
        determinant = a * cofactor_a + b * cofactor_b + c * cofactor_c
        return (
            (x * cofactor_a + y * cofactor_b + z * cofactor_c) / determinant,
            (x * cofactor_b + y * (a * f - c * c) + z * (b * c - a * e))
            / determinant,
            (x * cofactor_c + y * (b * c - a * e) + z * (a * d - b * b))
            / determinant,
        )


def find_period_ms(curves: Iterable[LoadCurve]) -> int | None:
    """Return the period that best explains several curves, or None.

    Parameters
    ----------
    curves : iterable of LoadCurve
        Those with the most bins are used.
    """
    series = sorted((curve.bins for curve in curves), key=len, reverse=True)
    series = [bins for bins in series if len(bins) >= SEARCH_BINS_MIN]
    series = series[:SEARCH_CURVES_MAX]
    if not series:
        return None
    spans_ms = [bins[-1][0] - bins[0][0] for bins in series]
    total_squares = sum(_total_squares(bins) for bins in series)
    best_ms = None
    best_explained = SEARCH_EXPLAINED_MIN * total_squares
    for period_ms in PERIODS_MS:
        # A span of less than a cycle fits any longer period.
        if period_ms * SEARCH_CYCLES_MIN > max(spans_ms):
            break
        explained = _total_explained_squares(series, period_ms)
        if explained > best_explained:
            best_ms, best_explained = period_ms, explained
    if best_ms is None:
        return None
    for step in REFINEMENT_STEPS:
        for factor in (1.0 - step, 1.0 + step):
            period_ms = int(best_ms * factor)
            explained = _total_explained_squares(series, period_ms)
            if explained > best_explained:
                best_ms, best_explained = period_ms, explained
                break
    return best_ms


def _total_explained_squares(
    series: Sequence[Sequence[Bin]], period_ms: int
) -> float:
    return sum(_explained_squares(bins, period_ms) for bins in series)


def _total_squares(bins: Sequence[Bin]) -> float:
    mean = sum(headroom for _, headroom, _ in bins) / len(bins)
    return sum((headroom - mean) ** 2 for _, headroom, _ in bins)


def _explained_squares(bins: Sequence[Bin], period_ms: int) -> float:
    """Return the sum of squares that a sinusoid of a period explains."""
    size = len(bins)
    rows = [
        (math.tau * (at_ms % period_ms) / period_ms, headroom)
        for at_ms, headroom, _ in bins
    ]
    mean = sum(headroom for _, headroom in rows) / size
    sines = [math.sin(angle) for angle, _ in rows]
    cosines = [math.cos(angle) for angle, _ in rows]
    sine_mean = sum(sines) / size
    cosine_mean = sum(cosines) / size
    ss = cc = sc = sy = cy = 0.0
    for sine, cosine, (_, headroom) in zip(sines, cosines, rows, strict=True):
        sine -= sine_mean
        cosine -= cosine_mean
        ss += sine * sine
        cc += cosine * cosine
        sc += sine * cosine
        sy += sine * (headroom - mean)
        cy += cosine * (headroom - mean)
    determinant = ss * cc - sc * sc
    if determinant <= 1e-9:
        return 0.0
    return (sy * sy * cc - 2 * sy * cy * sc + cy * cy * ss) / determinant
