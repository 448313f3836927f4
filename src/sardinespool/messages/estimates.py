"""What a leader learned of images, for the next leader."""

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class PressEstimate(Record, frozen=True, kw_only=True):
    """Press of a filling image on a serving one, for a whole worker of use.

    Attributes
    ----------
    variance : float
        Square of the standard error of `press`.
    """

    serving: str
    filling: str
    press: float
    variance: float


class RecordEstimates(Message, frozen=True, kw_only=True):
    """Replace the estimates; they speed a leader up and decide nothing.

    Attributes
    ----------
    period_ms : int or None
        Period of the swings of load, None while it is not known.
    """

    period_ms: int | None
    presses: tuple[PressEstimate, ...]
