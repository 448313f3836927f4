"""Errors of connections between processes."""

from sardinespool.errors.base import SardinespoolError


class TransportError(SardinespoolError):
    """A connection between processes failed."""

    http_status = 503


class FrameError(TransportError):
    """A frame is malformed or exceeds the size limit."""


class ReplyTooLargeError(TransportError):
    """The reply would exceed the frame size limit."""

    http_status = 500


class AuthenticationError(TransportError):
    """The credential is missing or wrong."""

    http_status = 401


class PermissionDeniedError(TransportError):
    """The credential does not allow this operation."""

    http_status = 403


class ConnectionLostError(TransportError):
    """The connection closed before the reply arrived."""


class UnreachableError(ConnectionLostError):
    """No connection could be made to the address; nothing was sent."""


class CallTimeoutError(TransportError):
    """The call's deadline expired before a reply arrived."""

    http_status = 504


class InvalidMessageError(TransportError):
    """A message can't be decoded or has an unexpected type."""

    http_status = 400


class OutdatedOrderError(TransportError):
    """The order came after its caller had moved on; nothing was done."""


class NotReadyError(TransportError):
    """The process hasn't synchronized since its start, or is stopping."""

    http_status = 503


class ServiceFaultError(TransportError):
    """An unexpected error ended the request before it had any effect."""

    http_status = 503
