"""Conversion between refusals as results and as exceptions."""

from sardinespool.errors import error_from_code
from sardinespool.errors import SardinespoolError
from sardinespool.messages.commands import Refused


def refused(error: SardinespoolError) -> Refused:
    """Return the refusal that carries an error."""
    return Refused(code=error.code, text=error.text, details=error.details)


def error_of(refusal: Refused) -> SardinespoolError:
    """Return the error that a refusal carries."""
    return error_from_code(refusal.code, refusal.text, refusal.details)
