"""Persistent HTTP connections to servers, identified by index."""

import asyncio

from tornado.iostream import StreamClosedError

from sardinespool.settings.addresses import split_address
from sardinespool.transport.http_client import HttpConnection
from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_stream import open_stream

RESPONSE_LIMIT_BYTES = 1_048_576
CONNECT_TIMEOUT_MS = 500
"""A healthy server in another failure domain accepts within 5 ms."""


class IndexedHttpConnections:
    """Keeps one connection for each server and connection index.

    Connections to the same server are independent. A connection is opened on
    first use and reopened after a failure. At most one exchange may be in
    progress on a connection.
    """

    def __init__(self) -> None:
        self._connections: dict[tuple[str, int], HttpConnection] = {}
        self._addresses: dict[str, str] = {}

    async def connect(
        self, server: str, connection_index: int, address: str
    ) -> HttpConnection | ExchangeNotSent:
        """Return the connection for the next exchange, opened if needed."""
        if self._addresses.get(server) != address:
            self.close_connections(server)
            self._addresses[server] = address
        key = (server, connection_index)
        connection = self._connections.get(key)
        if connection is None or not connection.idle:
            if connection is not None:
                connection.close()
            try:
                connection = await self._connect(address)
            except (OSError, TimeoutError) as error:
                return ExchangeNotSent(
                    f"the connect failed: {error!r}", _is_refusal(error)
                )
            if self._addresses.get(server) != address:
                # Another call has changed the address, or closed the
                # connections, while this one was being opened.
                connection.close()
                return ExchangeNotSent("the address has changed")
            self._connections[key] = connection
        return connection

    def close_connections(self, server: str) -> None:
        """Close all connections to a server."""
        self._addresses.pop(server, None)
        for key in [key for key in self._connections if key[0] == server]:
            self._connections.pop(key).close()

    async def _connect(self, address: str) -> HttpConnection:
        host, port = split_address(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
            stream = await open_stream(host, port, None, RESPONSE_LIMIT_BYTES)
        stream.set_nodelay(True)
        return HttpConnection(stream, address, RESPONSE_LIMIT_BYTES)


def _is_refusal(error: OSError | TimeoutError) -> bool:
    """Return whether the peer's host refused or reset a connect.

    A host that can't be reached leaves it open or causes another error.
    """
    if isinstance(error, StreamClosedError):
        return isinstance(error.real_error, ConnectionError)
    return isinstance(error, ConnectionError)
