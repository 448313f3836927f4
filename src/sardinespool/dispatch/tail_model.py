"""How filling tasks press on the tail latency of serving ones.

A serving task is taken as a queue: its tail is ``floor / (1 - level)``,
where the level is the sum of its own load and of what fills beside it. Each
filling image adds the press of the pair of images times the share of the
worker's processors that it uses. In the reports of a played day a few pairs
press hard (1.5 and more) and most hardly at all, and the load of a task
swings by half within ten seconds.
"""

from collections.abc import Mapping

from sardinespool.placement.estimates import ShrunkenMeans

PRESS_PRIOR = 0.6
"""Press of a pair before any report; a third of the pairs press by 1.7."""
PRESS_DEVIATION = 0.8
PRIOR_REPORTS = 2.0
HALF_LIFE_MS = 10_000
"""Age at which a report counts half; the press changes within seconds."""
LOAD_PRIOR = 0.45
"""Level of a serving task before any report."""
PRESS_MAX = 5.0
"""Reports beyond are clipped, so that one report has little effect."""
USE_MIN = 0.01
"""Shares of a worker below this tell nothing about a press."""
FULL_WEIGHT_USE = 0.1
"""Share of a worker from which a report counts in full."""
LOAD_STEP = 0.5
"""Weight of the last report in the load of a serving task."""

MARGIN_MAX = 0.14
"""Distance that a level keeps from its limit while the load may rise; it
rises by up to 0.13 a second."""
MARGIN_MIN = 0.09
"""Distance that a level keeps at the peak of its load."""
OWN_WEIGHT = 0.5
"""Weight of a task's own load against the mean of its image."""
MEAN_STEP = 0.02
"""Step of the mean load of an image for each report."""
PEAK_RISE = 0.2
PEAK_FALL = 0.003
"""Steps of the estimate of an image's peak load for each report."""


class TailModel:
    """Learned press by pair of images (serving, filling)."""

    def __init__(self) -> None:
        self._press: ShrunkenMeans[tuple[str, str]] = ShrunkenMeans(
            PRESS_PRIOR, PRESS_DEVIATION, PRIOR_REPORTS, HALF_LIFE_MS, 1.0
        )
        self._floor_ms: dict[str, float] = {}
        self._peak: dict[str, float] = {}
        self._mean: dict[str, float] = {}

    def level(self, serving: str, tail_ms: float) -> float:
        """Return the level of a tail, from 0 at its floor to 1.

        Parameters
        ----------
        serving : str
            Image of the serving task.
        tail_ms : float
            A reported tail, or a target.
        """
        floor_ms = self._floor_ms.get(serving, tail_ms)
        return 1.0 - floor_ms / max(tail_ms, floor_ms, 0.1)

    def press(self, serving: str, filling: str) -> float:
        """Return the press of a pair for a whole worker of use."""
        return max(0.0, self._press.mean((serving, filling)))

    def added(self, serving: str, use: Mapping[str, float]) -> float:
        """Return what filling images add to the level of a serving image.

        Parameters
        ----------
        use : mapping of str to float
            Share of the worker's processors by filling image.
        """
        return sum(
            self.press(serving, image) * share for image, share in use.items()
        )

    def expected_load(self, serving: str, load: float | None) -> float:
        """Return the load of a task, drawn towards the mean of its image.

        The tails of one half second are few samples, and the highest of
        several noisy loads would rule a worker.
        """
        mean = self._mean.get(serving, LOAD_PRIOR)
        if load is None:
            return mean
        return mean + OWN_WEIGHT * (load - mean)

    def margin(self, serving: str, load: float) -> float:
        """Return the distance that a level must keep from its limit.

        Parameters
        ----------
        load : float
            Present load; it is not expected to rise above the image's peak.
        """
        peak = self._peak.get(serving, 1.0)
        return min(MARGIN_MAX, max(MARGIN_MIN, peak - load))

    def observe(
        self,
        serving: str,
        tail_ms: float,
        load: float | None,
        use: Mapping[str, float],
        now_ms: int,
    ) -> float:
        """Learn from a report and return the load of the serving task.

        Parameters
        ----------
        load : float or None
            Load after the last report; None before the first.
        use : mapping of str to float
            Share of the worker's processors by filling image.
        now_ms : int
            Time of the report on the boot clock.
        """
        floor_ms = self._floor_ms.get(serving, tail_ms)
        self._floor_ms[serving] = min(floor_ms, tail_ms)
        level = self.level(serving, tail_ms)
        added = self.added(serving, use)
        own = max(0.0, level - added)
        if load is None:
            return own
        error = level - load - added
        shares = {
            image: share for image, share in use.items() if share > USE_MIN
        }
        squares = sum(share * share for share in shares.values())
        for image, share in shares.items():
            key = (serving, image)
            sample = self._press.mean(key) + error * share / squares
            self._press.add(
                key,
                max(-PRESS_MAX, min(PRESS_MAX, sample)),
                min(1.0, share / FULL_WEIGHT_USE),
                now_ms,
            )
        load += LOAD_STEP * (own - load)
        mean = self._mean.get(serving, load)
        self._mean[serving] = mean + MEAN_STEP * (load - mean)
        peak = self._peak.get(serving, load)
        step = PEAK_RISE if load > peak else PEAK_FALL
        self._peak[serving] = peak + step * (load - peak)
        return load
