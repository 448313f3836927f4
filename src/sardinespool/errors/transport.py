"""Errors of connections between processes."""

from sardinespool.errors.base import SardinespoolError


class TransportError(SardinespoolError):
    """A connection between processes failed."""

    http_status = 503


class FrameError(TransportError):
    """A frame is malformed or over the size limit."""


class ReplyTooLargeError(TransportError):
    """The reply would exceed the frame limit."""

    http_status = 500


class AuthenticationError(TransportError):
    """The credential is missing or wrong."""

    http_status = 401


class PermissionDeniedError(TransportError):
    """The credential does not allow this operation."""

    http_status = 403


class ConnectionLostError(TransportError):
    """The connection ended before the reply."""


class UnreachableError(ConnectionLostError):
    """There is no connection to the address; nothing was sent."""


class CallTimeoutError(TransportError):
    """No reply arrived before the deadline."""

    http_status = 504


class InvalidMessageError(TransportError):
    """A message does not have the expected form."""

    http_status = 400


class NotReadyError(TransportError):
    """The process has not synchronised since its start, or is stopping."""

    http_status = 503
