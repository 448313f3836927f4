"""Pool of persistent HTTP connections, limited per address."""

import asyncio
import dataclasses
import ssl
from collections.abc import Callable
from collections.abc import Set as AbstractSet

from sardinespool.clock import Instant
from sardinespool.settings.addresses import split_address
from sardinespool.transport.http_client import HEADER_LIMIT_BYTES
from sardinespool.transport.http_client import HttpConnection
from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_stream import open_stream

CONNECT_TIMEOUT_MS = 1_000


@dataclasses.dataclass(slots=True)
class _AddressPool:
    """Connections to one address.

    `busy` counts connections in use and those being opened.
    """

    idle: list[HttpConnection]
    busy: int = 0
    retained: bool = True

    def discard_closed(self) -> None:
        self.idle = [connection for connection in self.idle if connection.idle]


class HttpConnectionPool:
    """Pool of the HTTP connections of one process, by address.

    Parameters
    ----------
    body_limit_bytes : int
        Maximum size of a response body.
    clock : callable
        Returns the current time.
    tls_context : ssl.SSLContext or None
        Client-side TLS context; None for plain TCP.
    """

    def __init__(
        self,
        body_limit_bytes: int,
        clock: Callable[[], Instant],
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        self._body_limit_bytes = body_limit_bytes
        self._clock = clock
        self._tls_context = tls_context
        self._pools: dict[str, _AddressPool] = {}

    async def exchange(
        self,
        address: str,
        connection_limit: int,
        request: HttpRequest,
        request_id: str,
        may_send: Callable[[], bool],
        deadline_unix_ms: int,
    ) -> ExchangeResult:
        """Send a request once, over an idle or a new connection.

        Parameters
        ----------
        address : str
            ``ip:port``.
        connection_limit : int
            Maximum number of connections to the address.
        request, request_id, may_send
            See `HttpConnection.exchange`.
        deadline_unix_ms : int
            Time at which the exchange ends even without a response.
        """
        pool = self._pools.setdefault(address, _AddressPool([]))
        pool.discard_closed()
        if pool.busy + len(pool.idle) >= connection_limit and not pool.idle:
            return ExchangeNotSent("all connections are in use")
        pool.busy += 1
        connection: HttpConnection | None = None
        try:
            while pool.idle:
                connection = pool.idle.pop()
                result = await connection.exchange(
                    request,
                    request_id,
                    may_send,
                    self._remaining_s(deadline_unix_ms),
                )
                if not (
                    isinstance(result, ExchangeNotSent) and connection.closed
                ):
                    return result
            # No byte was sent on an idle connection that turned out to be
            # closed, so sending over a new connection is not a repeat.
            connected = await self._connect(address, deadline_unix_ms)
            if isinstance(connected, ExchangeNotSent):
                return connected
            connection = connected
            return await connection.exchange(
                request,
                request_id,
                may_send,
                self._remaining_s(deadline_unix_ms),
            )
        finally:
            pool.busy -= 1
            if connection is not None and connection.idle:
                self._release(address, pool, connection)

    def retain(self, addresses: AbstractSet[str]) -> None:
        """Close the connections to all other addresses.

        Idle connections are closed at once, busy ones after their exchange.
        """
        for address, pool in list(self._pools.items()):
            pool.retained = address in addresses
            if pool.retained:
                continue
            for connection in pool.idle:
                connection.close()
            pool.idle.clear()
            if not pool.busy:
                del self._pools[address]

    def connection_counts(self) -> dict[str, tuple[int, int]]:
        """Return the number of idle and busy connections by address."""
        for pool in self._pools.values():
            pool.discard_closed()
        return {
            address: (len(pool.idle), pool.busy)
            for address, pool in self._pools.items()
        }

    async def close(self) -> None:
        """Close all idle connections and wait until their tasks end."""
        connections = [
            connection
            for pool in self._pools.values()
            for connection in pool.idle
        ]
        self._pools.clear()
        await asyncio.gather(
            *(connection.wait_closed() for connection in connections)
        )

    def _remaining_s(self, deadline_unix_ms: int) -> float:
        return max(0, deadline_unix_ms - self._clock().unix_ms) / 1000

    def _release(
        self, address: str, pool: _AddressPool, connection: HttpConnection
    ) -> None:
        if pool.retained and self._pools.get(address) is pool:
            pool.idle.append(connection)
            return
        connection.close()
        if not pool.busy and self._pools.get(address) is pool:
            del self._pools[address]

    async def _connect(
        self, address: str, deadline_unix_ms: int
    ) -> HttpConnection | ExchangeNotSent:
        timeout_s = min(
            self._remaining_s(deadline_unix_ms), CONNECT_TIMEOUT_MS / 1000
        )
        host, port = split_address(address)
        try:
            async with asyncio.timeout(timeout_s):
                stream = await open_stream(
                    host,
                    port,
                    self._tls_context,
                    self._body_limit_bytes + HEADER_LIMIT_BYTES,
                )
        except (OSError, TimeoutError) as error:
            return ExchangeNotSent(f"the connection failed: {error!r}")
        return HttpConnection(stream, address, self._body_limit_bytes)
