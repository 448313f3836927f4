"""Decides which connections have stood still for too long.

Load: clients that send or read a byte now and then to keep a connection.
"""

import dataclasses

from sardinespool.transport.connection_limits import Connection
from sardinespool.transport.connection_limits import ConnectionState


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDeadlines:
    """Times and rates that each connection has to keep.

    Attributes
    ----------
    request_timeout_ms : int
        Time from the first byte of a request to its last one. A body of
        4 MiB takes 17 s at 2 Mbit/s.
    rate_grace_ms : int
        Time from which on the minimum rate counts, also that of answers.
    minimum_bytes_per_s : int
        500 callers that share 2 Mbit/s get 500 bytes a second each.
    drain_timeout_ms : int
        Time in which a client that is still sending can read its refusal.
    """

    request_timeout_ms: int = 60_000
    rate_grace_ms: int = 10_000
    minimum_bytes_per_s: int = 256
    drain_timeout_ms: int = 2_000

    def is_overdue(
        self, connection: Connection, now_ms: int, idle_timeout_ms: int
    ) -> bool:
        """Return whether a connection is to be closed."""
        elapsed_ms = now_ms - connection.since_ms
        match connection.state:
            case ConnectionState.IDLE:
                return elapsed_ms > idle_timeout_ms
            case ConnectionState.RECEIVING:
                return (
                    elapsed_ms > self.request_timeout_ms
                    or elapsed_ms > self._allowed_ms(connection.received_bytes)
                )
            case ConnectionState.ANSWERING:
                return elapsed_ms > self._allowed_ms(connection.held_bytes)
            case ConnectionState.DRAINING:
                return elapsed_ms > self.drain_timeout_ms
            case _:
                return False

    def _allowed_ms(self, size_bytes: int) -> int:
        return (
            self.rate_grace_ms + size_bytes * 1_000 // self.minimum_bytes_per_s
        )
