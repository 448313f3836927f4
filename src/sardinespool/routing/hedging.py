"""When an idempotent request is sent a second time in parallel."""

import dataclasses

_FACTOR = 3.0
_MINIMUM_DELAY_MS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class HedgePolicy:
    """Hedges are off unless `enabled`, and use the retry budget.

    A hedge is sent once the first exchange has taken three times the recent
    mean service time, which few exchanges of a healthy endpoint do.
    """

    enabled: bool = False

    def delay_ms(self, expected_ms: float) -> int | None:
        """Return the delay before a hedge, None for no hedge."""
        if not self.enabled or expected_ms <= 0.0:
            return None
        return max(_MINIMUM_DELAY_MS, round(_FACTOR * expected_ms))
