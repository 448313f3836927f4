"""Decides whose requests are given up when received data fills the memory.

Load: clients that send many large bodies at once, most of which stop just
short of the end and stay open, or that do not read large answers.
"""

from sardinespool.transport.connection_limits import ADDRESS_SHARE
from sardinespool.transport.connection_limits import closing_order
from sardinespool.transport.connection_limits import Connection
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.connection_limits import ConnectionState

LOW_WATER = 7 / 8
"""Share of the limit that is left after some were given up, so that a scan of
all connections frees room for many reads."""
PROGRESS_BYTES = 1_024
"""Bytes that count as progress; single bytes keep no connection alive."""


def _is_sending(connection: Connection) -> bool:
    # An internal link is idle while calls or replies of it are held.
    return (
        connection.held_bytes > 0
        and connection.state is not ConnectionState.RUNNING
    )


class ReceiveBudget:
    """Bytes that a process holds for all its accepted connections.

    Parameters
    ----------
    limit_bytes : int
        Bytes for all classes.
    shares : dict
        Share of the limit that a class and all lower ones may use; the rest
        is a reserve of the higher ones.
    """

    def __init__(
        self, limit_bytes: int, shares: dict[ConnectionClass, float]
    ) -> None:
        self._limit_bytes = limit_bytes
        self._shares = shares
        self._held = dict.fromkeys(ConnectionClass, 0)
        self._held_bytes = 0
        # Below this, no class can be over its share.
        self._free_bytes = int(min(shares.values()) * limit_bytes)

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return self._held_bytes

    def change(self, connection: Connection, change_bytes: int) -> bool:
        """Change what a connection holds; return whether to look for room."""
        connection.held_bytes += change_bytes
        self._held[connection.connection_class] += change_bytes
        self._held_bytes += change_bytes
        return change_bytes > 0 and self._held_bytes > self._free_bytes

    def release(self, connection: Connection) -> None:
        """Note that nothing of a connection is held any more."""
        self.change(connection, -connection.held_bytes)

    def victims_for(
        self, connection: Connection, connections: list[Connection]
    ) -> list[Connection]:
        """Return the connections to give up after one has received bytes.

        Parameters
        ----------
        connection : Connection
            The one that has received; it may be among the result.
        connections : list of Connection
            All connections.
        """
        own_class = connection.connection_class
        over_share_bytes = self._over_share_bytes(own_class)
        missing_bytes = max(
            over_share_bytes, self._held_bytes - self._limit_bytes
        )
        if missing_bytes <= 0:
            return []
        missing_bytes += int((1 - LOW_WATER) * self._limit_of(own_class))
        victims: list[Connection] = []
        order = closing_order(
            connections,
            lambda other: other.held_bytes,
            own_class,
            over_share_bytes <= 0,
            ADDRESS_SHARE
            * (
                self._limit_bytes
                if over_share_bytes <= 0
                else self._limit_of(own_class)
            ),
            _is_sending,
        )
        if (
            order == [connection]
            and connection.state is ConnectionState.ANSWERING
        ):
            # One answer larger than the share is sent; there is only one.
            return []
        for candidate in order:
            victims.append(candidate)
            missing_bytes -= candidate.held_bytes
            if missing_bytes <= 0:
                break
        return victims

    def _limit_of(self, connection_class: ConnectionClass) -> int:
        return int(self._shares[connection_class] * self._limit_bytes)

    def _over_share_bytes(self, connection_class: ConnectionClass) -> int:
        of_class = sum(
            held_bytes
            for other_class, held_bytes in self._held.items()
            if other_class <= connection_class
        )
        return of_class - self._limit_of(connection_class)
