"""Exponentially decayed means with shrinkage and confidence bounds."""

import dataclasses
import math
from collections.abc import Hashable
from typing import Generic
from typing import Protocol
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

MAXIMUM_KEYS = 20_000
"""Maximum number of estimates, which take about 4 MB.

When it is reached, the half that was updated least recently is dropped.
"""


class PairEstimates(Protocol):
    """Excess slowdown of a class by another that uses the whole host."""

    def mean(self, key: tuple[str, str]) -> float:
        """Return the estimate for (affected class, interfering class)."""

    def keys(self) -> list[tuple[str, str]]:
        """Return the pairs that have samples."""

    def upper(self, key: tuple[str, str]) -> float:
        """Return the upper confidence bound."""

    def lower(self, key: tuple[str, str]) -> float:
        """Return the lower confidence bound."""

    def add(
        self, key: tuple[str, str], value: float, weight: float, unix_ms: int
    ) -> None:
        """Add a weighted sample to the estimate."""


@dataclasses.dataclass(slots=True)
class _Estimate:
    weight: float
    mean: float
    variance: float
    updated_unix_ms: int


class ShrunkenMeans(Generic[K]):
    """Means of samples by key, shrunk towards a prior.

    An estimate is the posterior mean of a normal variable with a conjugate
    prior that weighs as much as `prior_weight` samples. The weight of a
    sample halves every `half_life_ms`.

    Parameters
    ----------
    prior_mean, prior_deviation : float
        Expected value and standard deviation before any sample.
    prior_weight : float
        Number of samples that the prior counts as.
    half_life_ms : int
        Age at which a sample has half its weight.
    confidence : float
        Number of standard errors between the mean and each bound.
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
        self._estimates: dict[K, _Estimate] = {}

    def add(self, key: K, value: float, weight: float, unix_ms: int) -> None:
        """Add a weighted sample to the estimate of `key`."""
        estimate = self._estimates.get(key)
        if estimate is None:
            if len(self._estimates) >= MAXIMUM_KEYS:
                self._drop_oldest_half()
            estimate = _Estimate(
                self._prior_weight,
                self._prior_mean,
                self._prior_variance,
                unix_ms,
            )
            self._estimates[key] = estimate
        age_ms = unix_ms - estimate.updated_unix_ms
        if age_ms > 0:
            # The weight of the prior does not decay, so the uncertainty of
            # an estimate without new samples returns to that of the prior.
            decayed = (estimate.weight - self._prior_weight) * 0.5 ** (
                age_ms / self._half_life_ms
            )
            estimate.weight = self._prior_weight + decayed
            estimate.updated_unix_ms = unix_ms
        estimate.weight += weight
        gain = weight / estimate.weight
        difference = value - estimate.mean
        estimate.mean += gain * difference
        estimate.variance += gain * (
            (1.0 - gain) * difference * difference - estimate.variance
        )

    def mean(self, key: K) -> float:
        """Return the estimate of `key`, or the prior mean without samples."""
        estimate = self._estimates.get(key)
        return self._prior_mean if estimate is None else estimate.mean

    def upper(self, key: K) -> float:
        """Return the upper confidence bound of the estimate."""
        return self.mean(key) + self._confidence_margin(key)

    def lower(self, key: K) -> float:
        """Return the lower confidence bound of the estimate."""
        return self.mean(key) - self._confidence_margin(key)

    def keys(self) -> list[K]:
        """Return the keys that have samples."""
        return list(self._estimates)

    def _confidence_margin(self, key: K) -> float:
        estimate = self._estimates.get(key)
        if estimate is None:
            return self._confidence * math.sqrt(
                self._prior_variance / self._prior_weight
            )
        return self._confidence * math.sqrt(
            estimate.variance / estimate.weight
        )

    def _drop_oldest_half(self) -> None:
        keys_by_age = sorted(
            self._estimates,
            key=lambda key: self._estimates[key].updated_unix_ms,
        )
        for key in keys_by_age[: len(keys_by_age) // 2]:
            del self._estimates[key]
