"""Errors of the settings file."""

from sardinespool.errors.base import SardinespoolError


class SettingsError(SardinespoolError):
    """The settings file is invalid.

    ``details['problems']`` lists each problem with its key path, the value
    that was found and the values that are allowed.
    """

    http_status = 400
