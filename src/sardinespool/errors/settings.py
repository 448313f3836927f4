"""Errors of the settings file."""

from sardinespool.errors.base import SardinespoolError


class SettingsError(SardinespoolError):
    """The settings file has one or more problems.

    ``details['problems']`` lists each with its key path, what was found and
    what is allowed.
    """

    http_status = 400
