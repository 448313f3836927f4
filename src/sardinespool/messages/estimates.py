"""Interference estimates that a leader stores for its successor."""

import msgspec

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class InterferenceEstimateRecord(Record, frozen=True, kw_only=True):
    """Interference of a filling image with a serving image.

    Attributes
    ----------
    serving : str
        Image of the tasks that have a tail latency target.
    filling : str
        Image of the tasks that use leftover processors.
    interference : float
        Headroom that a serving task loses when filling tasks use all
        processors of its worker.
    variance : float
        Square of the standard error of `interference`.
    """

    serving: str
    filling: str
    interference: float = msgspec.field(name="press")
    variance: float


class RecordEstimates(Message, frozen=True, kw_only=True):
    """Replace the stored estimates.

    They shorten the learning phase of a new leader and are not needed for
    correctness.

    Attributes
    ----------
    period_ms : int or None
        Period of the load cycle, None while unknown.
    pair_estimates : tuple of InterferenceEstimateRecord
        One estimate for each pair of images.
    """

    period_ms: int | None
    pair_estimates: tuple[InterferenceEstimateRecord, ...] = msgspec.field(
        name="presses"
    )
