"""Conversion between `Refused` replies and exceptions."""

from sardinespool.errors import error_from_code
from sardinespool.errors import SardinespoolError
from sardinespool.messages.commands import Refused


def refusal_from_error(error: SardinespoolError) -> Refused:
    """Return the `Refused` reply for an exception."""
    return Refused(code=error.code, text=error.text, details=error.details)


def error_from_refusal(refusal: Refused) -> SardinespoolError:
    """Return the exception for a `Refused` reply."""
    return error_from_code(refusal.code, refusal.text, refusal.details)
