"""States of a non-idempotent request."""

import enum


class NonIdempotentState(enum.Enum):
    """State of `NonIdempotentFlow`, named after what it waits for."""

    NEW = enum.auto()
    WAITING_FOR_SLOT = enum.auto()
    BEGINNING = enum.auto()
    WAITING_FOR_OTHER_ATTEMPT = enum.auto()
    SENDING = enum.auto()
    FINISHING = enum.auto()
    ABANDONING = enum.auto()
    FORWARDING = enum.auto()
    ENDED = enum.auto()
