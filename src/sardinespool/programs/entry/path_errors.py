"""Errors of paths and methods that the entry does not serve."""

from sardinespool.errors.requests import RequestError


class PathNotFoundError(RequestError):
    """The entry serves nothing at this path."""

    http_status = 404


class MethodNotAllowedError(RequestError):
    """The path does not take this method."""

    http_status = 405
