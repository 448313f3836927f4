"""Hedged requests: parallel second sends of idempotent requests."""

import dataclasses

_DELAY_FACTOR = 3.0
_MIN_DELAY_MS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class HedgePolicy:
    """Whether and when to hedge; hedges count against the retry budget.

    A hedge is sent once the first exchange has taken three times the recent
    mean service time, which is rare for a healthy endpoint.
    """

    enabled: bool = False

    def delay_ms(self, expected_ms: float) -> int | None:
        """Return the delay before the hedge, or None for no hedge."""
        if not self.enabled or expected_ms <= 0.0:
            return None
        return max(_MIN_DELAY_MS, round(_DELAY_FACTOR * expected_ms))
