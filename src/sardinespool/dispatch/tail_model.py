"""How filling tasks press on the tail latency of serving ones.

The logarithm of a serving task's tail, as a share of its target, is taken as
a baseline of its image plus, for each image that fills beside it, the press
of the pair times the share of the worker's processors that the image uses.
In the reports of a played day a few pairs press hard (5 to 10) and most do
not press at all, so the pair decides where a task belongs.
"""

import math
from collections.abc import Mapping

from sardinespool.placement.estimates import ShrunkenMeans

PRESS_PRIOR = 2.0
"""Press of a pair before any report: a third of the pairs press by 5 to 10."""
PRESS_DEVIATION = 3.0
PRIOR_REPORTS = 2.0
HALF_LIFE_MS = 8_000
"""Age at which a report counts half; the press changes within seconds."""
BASELINE_PRIOR = math.log(0.35)
"""Undisturbed tail, as a share of the target."""
PRESS_MAX = 30.0
"""Reports beyond are clipped, so that one report has little effect."""
USE_MIN = 0.005
"""Shares of a worker below this tell nothing about a press."""


class TailModel:
    """Learned press by pair of images (serving, filling)."""

    def __init__(self) -> None:
        self._press: ShrunkenMeans[tuple[str, str]] = ShrunkenMeans(
            PRESS_PRIOR, PRESS_DEVIATION, PRIOR_REPORTS, HALF_LIFE_MS, 1.0
        )
        self._filling: set[str] = set()
        self._baseline: ShrunkenMeans[str] = ShrunkenMeans(
            BASELINE_PRIOR, 0.5, PRIOR_REPORTS, HALF_LIFE_MS, 1.0
        )

    def press(self, serving: str, filling: str) -> float:
        """Return the press of a pair for a whole worker of use."""
        return max(0.0, self._press.mean((serving, filling)))

    def mean_press(self, serving: str) -> float:
        """Return the mean press of the known filling images on an image."""
        known = self._filling
        if not known:
            return PRESS_PRIOR
        return sum(self.press(serving, image) for image in known) / len(known)

    def predict(self, serving: str, use: Mapping[str, float]) -> float:
        """Return the expected logarithm of tail over target.

        Parameters
        ----------
        serving : str
            Image of the serving task.
        use : mapping of str to float
            Share of the worker's processors by filling image.
        """
        return self._baseline.mean(serving) + sum(
            self.press(serving, image) * share for image, share in use.items()
        )

    def observe(
        self, serving: str, level: float, use: Mapping[str, float], now_ms: int
    ) -> None:
        """Learn from a report.

        Parameters
        ----------
        level : float
            Logarithm of the reported tail over its target.
        use : mapping of str to float
            Share of the worker's processors by filling image at that time.
        now_ms : int
            Time of the report on the boot clock.
        """
        error = level - self.predict(serving, use)
        squares = sum(
            share * share for share in use.values() if share > USE_MIN
        )
        if squares == 0.0:
            self._baseline.add(
                serving, self._baseline.mean(serving) + error, 1.0, now_ms
            )
            return
        self._baseline.add(
            serving, self._baseline.mean(serving) + error, 0.2, now_ms
        )
        for image, share in use.items():
            if share <= USE_MIN:
                continue
            self._filling.add(image)
            key = (serving, image)
            sample = self._press.mean(key) + error * share / squares
            weight = min(1.0, share / 0.1)
            self._press.add(
                key,
                max(-1.0, min(PRESS_MAX, sample)),
                weight,
                now_ms,
            )
