"""Errors of callers' requests."""

from sardinespool.errors.base import SardinespoolError


class RequestError(SardinespoolError):
    """A caller's request ended without an endpoint's answer."""

    http_status = 503


class InvalidRequestError(RequestError):
    """A header, parameter or body is malformed."""

    http_status = 400


class BodyTooLargeError(RequestError):
    """The body is over the limit."""

    http_status = 413


class PathNotFoundError(RequestError):
    """The entry serves nothing at this path."""

    http_status = 404


class MethodNotAllowedError(RequestError):
    """The path does not take this method."""

    http_status = 405


class ServiceNotFoundError(RequestError):
    """The configuration in force has no such service."""

    http_status = 404


class KeyReusedError(RequestError):
    """The idempotency key was used before with another request."""

    http_status = 409


class KeyExpiredError(RequestError):
    """The idempotency key is older than records are kept."""

    http_status = 409


class KeyNotFoundError(RequestError):
    """No record exists for this key and attempt."""

    http_status = 404


class RequestTableFullError(RequestError):
    """The home group holds the maximum number of request records."""

    http_status = 429


class QueueFullError(RequestError):
    """The bounded queue of the service is full."""

    http_status = 429


class DeadlineUnreachableError(RequestError):
    """The request can't be answered before its deadline."""


class NoEndpointError(RequestError):
    """No endpoint of the service can take the request."""


class EndpointRefusedError(RequestError):
    """The endpoint said that it did not run the request."""


class OutcomeUnknownError(RequestError):
    """The request may have run; its answer was lost."""

    http_status = 504
