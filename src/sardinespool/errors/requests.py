"""Errors of requests from callers."""

from sardinespool.errors.base import SardinespoolError


class RequestError(SardinespoolError):
    """A caller's request ended without a response from an endpoint."""

    http_status = 503


class InvalidRequestError(RequestError):
    """A header, parameter or body is malformed."""

    http_status = 400


class BodyTooLargeError(RequestError):
    """The body exceeds the size limit."""

    http_status = 413


class PathNotFoundError(RequestError):
    """The entry has no resource at this path."""

    http_status = 404


class MethodNotAllowedError(RequestError):
    """The path does not support this HTTP method."""

    http_status = 405


class ServiceNotFoundError(RequestError):
    """The active configuration has no such service."""

    http_status = 404


class KeyReusedError(RequestError):
    """The idempotency key was already used with a different request."""

    http_status = 409


class KeyExpiredError(RequestError):
    """The idempotency key is older than the retention time of records."""

    http_status = 409


class KeyNotFoundError(RequestError):
    """There is no record for this key and attempt."""

    http_status = 404


class RequestTableFullError(RequestError):
    """The home group holds the maximum number of request records."""

    http_status = 429


class QueueFullError(RequestError):
    """The bounded queue of the service is full."""

    http_status = 429


class DeadlineUnreachableError(RequestError):
    """The request can't be completed before its deadline."""


class NoEndpointError(RequestError):
    """No endpoint of the service can accept the request."""


class EndpointRefusedError(RequestError):
    """The endpoint reported that it did not run the request."""


class OutcomeUnknownError(RequestError):
    """The request may have run, but its response was lost."""

    http_status = 504
