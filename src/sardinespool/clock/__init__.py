"""Clock readings that are passed to the state machines."""

from sardinespool.clock.instant import CLOCK_ERROR_MS
from sardinespool.clock.instant import Instant

__all__ = ["CLOCK_ERROR_MS", "Instant"]
