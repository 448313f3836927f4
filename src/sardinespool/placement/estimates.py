"""Shrunken, decayed means with a confidence bound."""

import dataclasses
import math
from collections.abc import Hashable
from typing import Generic
from typing import Protocol
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

MAXIMUM_KEYS = 20_000
"""Bound on memory: about 4 MB. The oldest half is dropped beyond it."""


class PairEstimates(Protocol):
    """Excess slowdown of one class by another that fills its host."""

    def mean(self, key: tuple[str, str]) -> float:
        """Return the estimate for (disturbed, disturbing)."""

    def keys(self) -> list[tuple[str, str]]:
        """Return the pairs that have samples."""

    def upper(self, key: tuple[str, str]) -> float:
        """Return the upper confidence bound."""

    def lower(self, key: tuple[str, str]) -> float:
        """Return the lower confidence bound."""

    def add(
        self, key: tuple[str, str], value: float, weight: float, unix_ms: int
    ) -> None:
        """Take a sample into the estimate."""


@dataclasses.dataclass(slots=True)
class _Cell:
    weight: float
    mean: float
    variance: float
    updated_unix_ms: int


class ShrunkenMeans(Generic[K]):
    """Means of samples by key, shrunk towards a prior.

    Source of the estimator: the posterior mean of a normal variable with a
    conjugate prior of `prior_weight` samples; decay halves the weight of a
    sample every `half_life_ms`.

    Parameters
    ----------
    prior_mean, prior_deviation : float
        Expected value and standard deviation before any sample.
    prior_weight : float
        Number of samples that the prior counts as.
    half_life_ms : int
        Age at which a sample counts half.
    confidence : float
        Standard errors between the mean and its bounds.
    """

    def __init__(
        self,
        prior_mean: float,
        prior_deviation: float,
        prior_weight: float,
        half_life_ms: int,
        confidence: float,
    ) -> None:
        self._prior_mean = prior_mean
        self._prior_variance = prior_deviation**2
        self._prior_weight = prior_weight
        self._half_life_ms = half_life_ms
        self._confidence = confidence
        self._cells: dict[K, _Cell] = {}

    def add(self, key: K, value: float, weight: float, unix_ms: int) -> None:
        """Take a sample with a weight into the estimate of `key`."""
        cell = self._cells.get(key)
        if cell is None:
            if len(self._cells) >= MAXIMUM_KEYS:
                self._drop_oldest_half()
            cell = _Cell(
                self._prior_weight,
                self._prior_mean,
                self._prior_variance,
                unix_ms,
            )
            self._cells[key] = cell
        age_ms = unix_ms - cell.updated_unix_ms
        if age_ms > 0:
            # The prior's weight does not decay, so that an estimate without
            # new samples returns to the prior's uncertainty.
            decayed = (cell.weight - self._prior_weight) * 0.5 ** (
                age_ms / self._half_life_ms
            )
            cell.weight = self._prior_weight + decayed
            cell.updated_unix_ms = unix_ms
        cell.weight += weight
        step = weight / cell.weight
        difference = value - cell.mean
        cell.mean += step * difference
        cell.variance += step * (
            (1.0 - step) * difference * difference - cell.variance
        )

    def mean(self, key: K) -> float:
        """Return the estimate of `key`, the prior without a sample."""
        cell = self._cells.get(key)
        return self._prior_mean if cell is None else cell.mean

    def upper(self, key: K) -> float:
        """Return the upper confidence bound of the estimate."""
        return self.mean(key) + self._error(key)

    def lower(self, key: K) -> float:
        """Return the lower confidence bound of the estimate."""
        return self.mean(key) - self._error(key)

    def keys(self) -> list[K]:
        """Return the keys that have samples."""
        return list(self._cells)

    def _error(self, key: K) -> float:
        cell = self._cells.get(key)
        if cell is None:
            return self._confidence * math.sqrt(
                self._prior_variance / self._prior_weight
            )
        return self._confidence * math.sqrt(cell.variance / cell.weight)

    def _drop_oldest_half(self) -> None:
        by_age = sorted(
            self._cells, key=lambda key: self._cells[key].updated_unix_ms
        )
        for key in by_age[: len(by_age) // 2]:
            del self._cells[key]
