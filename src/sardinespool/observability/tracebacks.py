"""Tracebacks for log lines."""

import traceback

_FRAMES_MAX = 3
"""Number of innermost frames of a logged traceback."""


def format_current_exception() -> str:
    """Return the short traceback of the exception that is being handled."""
    return traceback.format_exc(limit=-_FRAMES_MAX)
