"""Decides which connections stay open when descriptors or memory are short.

Load: clients that open connections by the thousand and hold them, and a core
machine of a large deployment whose descriptors the idle connections take.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable
from collections.abc import Iterable

ADDRESS_SHARE = 0.25
"""Share of a limit above which an address loses the protection of its
class; a peer needs a handful of connections."""
BATCH_SHARE = 1 / 32
"""Share of the connections closed at once, so that a scan of all connections
is not repeated for each new one."""


class ConnectionClass(enum.IntEnum):
    """Kind of a connection; those of a lower class are closed first."""

    STATUS = 0
    CALLER = 1
    CONTROL = 2
    PEER = 3


class ConnectionState(enum.Enum):
    """What a connection does.

    `DRAINING` connections have their answer, and what they still send is
    discarded so that they receive it.
    """

    IDLE = enum.auto()
    RECEIVING = enum.auto()
    RUNNING = enum.auto()
    ANSWERING = enum.auto()
    DRAINING = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """State of one accepted connection.

    Attributes
    ----------
    since_ms : int
        Start of the state; of a request, the time of its first byte.
    progress_ms : int
        Time of the last progress.
    received_bytes : int
        Bytes of the request so far.
    held_bytes : int
        Bytes that the process holds for the connection.
    """

    connection_class: ConnectionClass
    address: str
    since_ms: int
    state: ConnectionState = ConnectionState.IDLE
    progress_ms: int = 0
    received_bytes: int = 0
    held_bytes: int = 0


_CLOSING_ORDER = {
    ConnectionState.DRAINING: 0,
    ConnectionState.IDLE: 1,
    ConnectionState.RECEIVING: 2,
    ConnectionState.ANSWERING: 3,
}
"""Order of closing; `RUNNING` requests are completed."""


def closing_order(
    connections: Iterable[Connection],
    weight: Callable[[Connection], int],
    newcomer_class: ConnectionClass,
    include_higher: bool,
    address_limit: float,
    closable: Callable[[Connection], bool],
) -> list[Connection]:
    """Return the connections that may be closed, the first one first.

    Parameters
    ----------
    connections : iterable of Connection
        All connections.
    weight : callable
        What a connection takes of the limit.
    newcomer_class : ConnectionClass
        Class that needs room.
    include_higher : bool
        Whether to close connections of higher classes too, of addresses over
        their limit; it makes no room in the share of the class.
    address_limit : float
        Weight above which connections of an address are closed first.
    closable : callable
        Whether a connection may be closed in its state.
    """
    weights: collections.Counter[str] = collections.Counter()
    candidates = []
    for connection in connections:
        weights[connection.address] += weight(connection)
        if closable(connection):
            candidates.append(connection)

    def is_over(connection: Connection) -> bool:
        return weights[connection.address] > address_limit

    # The addresses over their share come first, the heaviest one first: their
    # classes don't count, and no address of the lowest class is heavier.
    return sorted(
        (
            connection
            for connection in candidates
            if connection.connection_class <= newcomer_class
            or (include_higher and is_over(connection))
        ),
        key=lambda connection: (
            0 if is_over(connection) else connection.connection_class,
            -weights[connection.address],
            _CLOSING_ORDER[connection.state],
            connection.progress_ms,
            # Among those that progressed in the same interval, small
            # requests stay.
            -connection.held_bytes,
        ),
    )


def _is_closable(connection: Connection) -> bool:
    return connection.state is not ConnectionState.RUNNING


class ConnectionLimits:
    """Bounds the number of accepted connections.

    Parameters
    ----------
    limit : int
        Connections of all classes.
    shares : dict
        Share of the limit that a class and all lower ones may use.
    """

    def __init__(
        self, limit: int, shares: dict[ConnectionClass, float]
    ) -> None:
        self._limit = limit
        self._shares = shares
        self._connections: dict[Connection, None] = {}
        self._counts = dict.fromkeys(ConnectionClass, 0)

    @property
    def connections(self) -> list[Connection]:
        """All open connections."""
        return list(self._connections)

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def set_limit(self, limit: int) -> None:
        """Set the limit, which is at least 1."""
        self._limit = max(1, limit)

    def victims_for(self, newcomer: Connection) -> list[Connection]:
        """Return the connections to close before a newcomer is added.

        If the newcomer itself is among them, it is refused.
        """
        newcomer_class = newcomer.connection_class
        over_share = 1 + self._over_share(newcomer_class)
        excess = max(over_share, 1 + len(self._connections) - self._limit)
        if excess <= 0:
            return []
        order = closing_order(
            self._connections,
            lambda _: 1,
            newcomer_class,
            over_share <= 0,
            ADDRESS_SHARE * self._limit,
            _is_closable,
        )
        if len(order) < excess:
            return [newcomer]
        return order[: max(excess, int(BATCH_SHARE * self._limit))]

    def surplus(self) -> list[Connection]:
        """Return the idle connections to close as the limit has shrunk."""
        excess = len(self._connections) - self._limit
        if excess <= 0:
            return []
        order = closing_order(
            self._connections,
            lambda _: 1,
            ConnectionClass.PEER,
            True,
            ADDRESS_SHARE * self._limit,
            lambda connection: connection.state is ConnectionState.IDLE,
        )
        return order[:excess]

    def add(self, connection: Connection) -> None:
        """Add an accepted connection."""
        self._connections[connection] = None
        self._counts[connection.connection_class] += 1

    def promote(
        self, connection: Connection, connection_class: ConnectionClass
    ) -> None:
        """Change the class of a connection that has proved its identity."""
        self._counts[connection.connection_class] -= 1
        connection.connection_class = connection_class
        self._counts[connection_class] += 1

    def remove(self, connection: Connection) -> None:
        """Forget a connection; may be called more than once."""
        if connection in self._connections:
            del self._connections[connection]
            self._counts[connection.connection_class] -= 1

    def _over_share(self, newcomer_class: ConnectionClass) -> int:
        of_class = sum(
            count
            for connection_class, count in self._counts.items()
            if connection_class <= newcomer_class
        )
        return of_class - int(self._shares[newcomer_class] * self._limit)
