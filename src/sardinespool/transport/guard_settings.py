"""Limits of the listeners of a process, and the report of a refusal."""

import dataclasses

from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.connection_limits import ConnectionState
from sardinespool.transport.request_deadlines import RequestDeadlines

BYTE_SHARES = {
    ConnectionClass.STATUS: 0.25,
    ConnectionClass.CALLER: 0.5,
    ConnectionClass.CONTROL: 0.75,
    ConnectionClass.PEER: 1.0,
}
CONNECTION_SHARES = {
    ConnectionClass.STATUS: 0.5,
    ConnectionClass.CALLER: 0.75,
    ConnectionClass.CONTROL: 0.9,
    ConnectionClass.PEER: 1.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class GuardSettings:
    """Limits of all listeners of a process.

    The defaults are for processes without a limit of memory.

    Attributes
    ----------
    receive_budget_bytes : int
        Bytes held for requests that are not completed and for answers.
    connections_max : int or None
        Accepted connections; None for what the descriptors allow.
    file_descriptors : int or None
        Descriptors of the process; None for the operating system's limit.
    reserved_descriptors : int
        Descriptors for files and own connections, if these use no more.
    deadlines : RequestDeadlines
        Times and rates of each connection.
    """

    receive_budget_bytes: int = 1 << 30
    connections_max: int | None = None
    file_descriptors: int | None = None
    reserved_descriptors: int = 200
    deadlines: RequestDeadlines = RequestDeadlines()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A connection that was refused or given up.

    `reason` is ``connections``, ``memory`` or ``deadline``.
    """

    reason: str
    connection_class: ConnectionClass
    address: str
    state: ConnectionState
    received_bytes: int
