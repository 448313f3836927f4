"""Interference estimates that a leader stores for its successor."""

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class PressEstimate(Record, frozen=True, kw_only=True):
    """Interference of a filling image with a serving image.

    Attributes
    ----------
    serving : str
        Image of the tasks that have a tail latency target.
    filling : str
        Image of the tasks that use leftover processors.
    press : float
        Headroom that a serving task loses when filling tasks use all
        processors of its worker.
    variance : float
        Square of the standard error of `press`.
    """

    serving: str
    filling: str
    press: float
    variance: float


class RecordEstimates(Message, frozen=True, kw_only=True):
    """Replace the stored estimates.

    They shorten the learning phase of a new leader and are not needed for
    correctness.

    Attributes
    ----------
    period_ms : int or None
        Period of the load cycle, None while unknown.
    presses : tuple of PressEstimate
        One estimate for each pair of images.
    """

    period_ms: int | None
    presses: tuple[PressEstimate, ...]
