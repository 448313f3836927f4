"""The exception tree of sardinespool."""

from sardinespool.errors.base import error_from_code
from sardinespool.errors.base import SardinespoolError

__all__ = ["SardinespoolError", "error_from_code"]
