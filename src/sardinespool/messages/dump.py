"""Messages about state dumps."""

from sardinespool.messages.base import Message


class DumpState(Message, frozen=True, kw_only=True):
    """Read the whole state of a group; answered by `StateDump`."""


class StateDump(Message, frozen=True, kw_only=True):
    """Whole state of a group at one instant, as JSON."""

    json: bytes
