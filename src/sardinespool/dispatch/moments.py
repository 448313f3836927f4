"""Mean and spread of a drifting quantity with a prior."""

import math

PRIOR_WEIGHT = 2.0
"""Values that the prior is worth."""
DECAY = 1.0 - 1.0 / 256
"""Weight of a value once another one follows. Spreads are then known to 5%,
and a load that changes is learned within some hundred values."""


class DecayedMoments:
    """Decayed sums of values that may be corrected later.

    Parameters
    ----------
    spread_prior : float
        Standard deviation that is assumed before there are values.

    Attributes
    ----------
    count : int
        Number of values so far.
    weight : float
        Sum of the weights of the values.
    """

    __slots__ = ("_spread_prior", "_squares", "_sum", "count", "weight")

    def __init__(self, spread_prior: float) -> None:
        self._spread_prior = spread_prior
        self.count = 0
        self.weight = 0.0
        self._sum = 0.0
        self._squares = 0.0

    def add(self, value: float) -> None:
        """Add a value."""
        self.count += 1
        self.weight = self.weight * DECAY + 1.0
        self._sum = self._sum * DECAY + value
        self._squares = self._squares * DECAY + value * value

    def replace(self, earlier: float, value: float, number: int) -> None:
        """Correct a value.

        Parameters
        ----------
        earlier : float
            The value so far.
        value : float
            What it is now.
        number : int
            `count` when it was added.
        """
        weight = DECAY ** max(0, self.count - number)
        self._sum += weight * (value - earlier)
        self._squares += weight * (value * value - earlier * earlier)

    def estimate(
        self, mean_prior: float = 0.0, spread_prior: float | None = None
    ) -> tuple[float, float]:
        """Return the mean and the standard deviation of the next value.

        Parameters
        ----------
        mean_prior : float
            Mean that is assumed before there are values.
        spread_prior : float, optional
            Standard deviation to assume instead of the usual one.
        """
        prior = self._spread_prior if spread_prior is None else spread_prior
        total = PRIOR_WEIGHT + self.weight
        mean = (PRIOR_WEIGHT * mean_prior + self._sum) / total
        squares = (
            PRIOR_WEIGHT * (prior * prior + (mean - mean_prior) ** 2)
            + self._squares
            - 2.0 * mean * self._sum
            + self.weight * mean * mean
        )
        variance = max(1e-4, squares / total)
        # The mean itself is uncertain by its standard error.
        return mean, math.sqrt(variance * (1.0 + 1.0 / total))

    @property
    def state(self) -> tuple[float, float, float]:
        """Weight, mean and variance of the values alone."""
        if not self.weight:
            return 0.0, 0.0, 0.0
        mean = self._sum / self.weight
        return self.weight, mean, self._squares / self.weight - mean * mean

    def restore(self, weight: float, mean: float, variance: float) -> None:
        """Replace the values by others with this weight, mean and variance."""
        self.count = 0
        self.weight = max(0.0, weight)
        self._sum = self.weight * mean
        self._squares = self.weight * (max(0.0, variance) + mean * mean)
