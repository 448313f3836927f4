"""Headroom of a serving step over time, as a periodic curve.

The load of serving tasks swings with a period that all steps share in the
reports of played days, each with its own phase. A curve is the least squares
fit of a mean, a sine and a cosine of that period; older samples count less.
"""

import collections
import math
from collections.abc import Iterable
from collections.abc import Sequence

HALF_LIFE_MS = 20_000
"""Age at which a sample counts half: two swings of the shorter period."""
MEAN_PRIOR_WEIGHT = 0.3
SWING_PRIOR_WEIGHT = 1.5
"""Weights of the prior in samples; a swing is believed after about a third
of a second of reports of one step's tasks."""
BIN_MS = 500
"""Tails are measured each half second."""
BINS_MAX = 80
"""Forty seconds: two of the longest periods that are searched."""

TREND_BINS = 4
TREND_MAX_MS = 1_000
"""Bins that give the slope while the period is unknown, and how far it is
extended: a quarter of the shortest period."""

PERIODS_MS = tuple(int(4_000 * 1.06**number) for number in range(28))
"""Candidates from 4 to 19.3 seconds, in steps of 6%."""
REFINEMENTS = (0.03, 0.015, 0.008, 0.004)
"""Steps around the best candidate; the last is a phase of 0.1 in 40 s."""
SEARCH_CURVES_MAX = 8
SEARCH_BINS_MIN = 12
"""Six seconds of a curve, below which it tells nothing of the period."""
SEARCH_SWINGS_MIN = 1.2
"""Swings that the longest curve must cover."""
SEARCH_GAIN_MIN = 0.6
"""Share of the variance that a period must explain to be believed."""

Bin = tuple[int, float, float]
"""Middle in milliseconds, mean headroom, number of samples."""


class LoadCurve:
    """Fit of one step's headroom without what fills beside it.

    Parameters
    ----------
    mean : float
        Headroom that is expected before any sample.
    """

    __slots__ = ("_bins", "_fit", "_period_ms", "_sums", "_updated_ms", "mean")

    def __init__(self, mean: float) -> None:
        self.mean = mean
        self._period_ms: int | None = None
        self._bins: collections.deque[Bin] = collections.deque(maxlen=BINS_MAX)
        self._updated_ms = 0
        # Upper triangle of the normal equations and their right side.
        self._sums = [0.0] * 9
        self._fit: tuple[float, float, float] | None = None

    @property
    def bins(self) -> Sequence[Bin]:
        """Means of half seconds, the oldest first."""
        return self._bins

    def use_period(self, period_ms: int | None) -> None:
        """Fit the kept samples to another period."""
        if period_ms == self._period_ms:
            return
        self._period_ms = period_ms
        self._sums = [0.0] * 9
        for at_ms, headroom, count in self._bins:
            self._add(headroom, count, at_ms)

    def add(self, headroom: float, weight: float, at_ms: int) -> None:
        """Take a sample.

        Parameters
        ----------
        headroom : float
            Target over tail, as it would be without what fills.
        weight : float
            1 for a sample of full precision.
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
        """Extend the last bins by a line while the period is unknown."""
        last_ms, last, _ = self._bins[-1]
        first_ms, first, _ = self._bins[-TREND_BINS]
        slope = (last - first) / (last_ms - first_ms)
        ahead_ms = max(0, min(TREND_MAX_MS, at_ms - last_ms))
        return last + slope * ahead_ms

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
        d += SWING_PRIOR_WEIGHT
        f += SWING_PRIOR_WEIGHT
        first, second, third = d * f - e * e, c * e - b * f, b * e - c * d
        whole = a * first + b * second + c * third
        return (
            (x * first + y * second + z * third) / whole,
            (x * second + y * (a * f - c * c) + z * (b * c - a * e)) / whole,
            (x * third + y * (b * c - a * e) + z * (a * d - b * b)) / whole,
        )


def find_period_ms(curves: Iterable[LoadCurve]) -> int | None:
    """Return the period that explains most of several curves, or None.

    Parameters
    ----------
    curves : iterable of LoadCurve
        The ones with the most samples are used.
    """
    sets = sorted((curve.bins for curve in curves), key=len, reverse=True)
    sets = [bins for bins in sets if len(bins) >= SEARCH_BINS_MIN]
    sets = sets[:SEARCH_CURVES_MAX]
    if not sets:
        return None
    spans_ms = [bins[-1][0] - bins[0][0] for bins in sets]
    whole = sum(_variation(bins) for bins in sets)
    best_ms = None
    best = SEARCH_GAIN_MIN * whole
    for period_ms in PERIODS_MS:
        # Less than a swing can be part of any longer one.
        if period_ms * SEARCH_SWINGS_MIN > max(spans_ms):
            break
        explained = _explained_by_all(sets, period_ms)
        if explained > best:
            best_ms, best = period_ms, explained
    if best_ms is None:
        return None
    for share in REFINEMENTS:
        for factor in (1.0 - share, 1.0 + share):
            period_ms = int(best_ms * factor)
            explained = _explained_by_all(sets, period_ms)
            if explained > best:
                best_ms, best = period_ms, explained
                break
    return best_ms


def _explained_by_all(sets: Sequence[Sequence[Bin]], period_ms: int) -> float:
    return sum(_explained(bins, period_ms) for bins in sets)


def _variation(bins: Sequence[Bin]) -> float:
    mean = sum(headroom for _, headroom, _ in bins) / len(bins)
    return sum((headroom - mean) ** 2 for _, headroom, _ in bins)


def _explained(bins: Sequence[Bin], period_ms: int) -> float:
    """Return the sum of squares that a swing of a period explains."""
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
    whole = ss * cc - sc * sc
    if whole <= 1e-9:
        return 0.0
    return (sy * sy * cc - 2 * sy * cy * sc + cy * cy * ss) / whole
