"""Persistent connections to endpoints, bounded for each address."""

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
class _Address:
    """Connections to one address; `busy` also counts those being opened."""

    idle: list[HttpConnection]
    busy: int = 0
    retained: bool = True

    def drop_closed(self) -> None:
        self.idle = [each for each in self.idle if each.idle]


class EndpointPool:
    """Connections of one process by address.

    Parameters
    ----------
    body_limit_bytes : int
        Largest body of an answer.
    clock : callable
        Returns the present instant.
    context : ssl.SSLContext or None
        TLS context of the client side.
    """

    def __init__(
        self,
        body_limit_bytes: int,
        clock: Callable[[], Instant],
        context: ssl.SSLContext | None = None,
    ) -> None:
        self._body_limit_bytes = body_limit_bytes
        self._clock = clock
        self._context = context
        self._addresses: dict[str, _Address] = {}

    async def exchange(
        self,
        address: str,
        connection_limit: int,
        request: HttpRequest,
        request_id: str,
        may_send: Callable[[], bool],
        deadline_unix_ms: int,
    ) -> ExchangeResult:
        """Send a request once over an idle or a new connection.

        Parameters
        ----------
        address : str
            ``ip:port``.
        connection_limit : int
            Largest number of connections to the address.
        request, request_id, may_send
            See `HttpConnection.exchange`.
        deadline_unix_ms : int
            The exchange ends then, whatever happens.
        """
        pool = self._addresses.setdefault(address, _Address([]))
        pool.drop_closed()
        if pool.busy + len(pool.idle) >= connection_limit and not pool.idle:
            return ExchangeNotSent("all connections are in use")
        pool.busy += 1
        connection: HttpConnection | None = None
        try:
            while pool.idle:
                connection = pool.idle.pop()
                result = await connection.exchange(
                    request, request_id, may_send, self._left(deadline_unix_ms)
                )
                if not (
                    isinstance(result, ExchangeNotSent) and connection.closed
                ):
                    return result
            # Idle connections that were closed meanwhile carried no byte, so
            # a new connection may be tried.
            opened = await self._open(address, deadline_unix_ms)
            if isinstance(opened, ExchangeNotSent):
                return opened
            connection = opened
            return await connection.exchange(
                request, request_id, may_send, self._left(deadline_unix_ms)
            )
        finally:
            pool.busy -= 1
            if connection is not None and connection.idle:
                self._keep(address, pool, connection)

    def retain(self, addresses: AbstractSet[str]) -> None:
        """Close idle connections to other addresses.

        Exchanges in progress there finish; their connections close then.
        """
        for address, pool in list(self._addresses.items()):
            pool.retained = address in addresses
            if pool.retained:
                continue
            for connection in pool.idle:
                connection.close()
            pool.idle.clear()
            if not pool.busy:
                del self._addresses[address]

    def counts(self) -> dict[str, tuple[int, int]]:
        """Return the numbers of idle and busy connections by address."""
        for pool in self._addresses.values():
            pool.drop_closed()
        return {
            address: (len(pool.idle), pool.busy)
            for address, pool in self._addresses.items()
        }

    async def close(self) -> None:
        """Close all idle connections and wait for the end of their tasks."""
        connections = [
            connection
            for pool in self._addresses.values()
            for connection in pool.idle
        ]
        self._addresses.clear()
        await asyncio.gather(*(each.wait_closed() for each in connections))

    def _left(self, deadline_unix_ms: int) -> float:
        return max(0, deadline_unix_ms - self._clock().unix_ms) / 1000

    def _keep(
        self, address: str, pool: _Address, connection: HttpConnection
    ) -> None:
        if pool.retained and self._addresses.get(address) is pool:
            pool.idle.append(connection)
            return
        connection.close()
        if not pool.busy and self._addresses.get(address) is pool:
            del self._addresses[address]

    async def _open(
        self, address: str, deadline_unix_ms: int
    ) -> HttpConnection | ExchangeNotSent:
        timeout_s = min(
            self._left(deadline_unix_ms), CONNECT_TIMEOUT_MS / 1000
        )
        host, port = split_address(address)
        try:
            async with asyncio.timeout(timeout_s):
                stream = await open_stream(
                    host,
                    port,
                    self._context,
                    self._body_limit_bytes + HEADER_LIMIT_BYTES,
                )
        except (OSError, TimeoutError) as error:
            return ExchangeNotSent(f"the connection failed: {error!r}")
        return HttpConnection(stream, address, self._body_limit_bytes)
