"""Errors of reading log files."""

from sardinespool.errors.base import SardinespoolError


class LogFileError(SardinespoolError):
    """A log file can't be read."""

    http_status = 400


class NoHistoryError(SardinespoolError):
    """No line of the logs contains the id."""

    http_status = 404
