"""Messages of state dumps."""

from sardinespool.messages.base import Message


class DumpState(Message, frozen=True, kw_only=True):
    """Ask a group's leader for its whole state; answered by `StateDump`."""


class StateDump(Message, frozen=True, kw_only=True):
    """Whole state of a group at one instant, as JSON."""

    json: bytes
