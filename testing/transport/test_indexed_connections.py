"""Bound on the connections to servers."""

import asyncio

from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.indexed_http_connections import (
    IndexedHttpConnections,
)

REQUEST = HttpRequest("GET", "/", (), b"")


async def _open_more_than_allowed() -> None:
    release = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await release.wait()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connections = IndexedHttpConnections(2)
    first = await connections.connect("w1", 0, address)
    second = await connections.connect("w2", 0, address)
    assert await connections.connect("w1", 0, address) is first
    assert not isinstance(first, ExchangeNotSent)
    assert not isinstance(second, ExchangeNotSent)
    exchanges = [
        asyncio.create_task(first.exchange(REQUEST, "", lambda: True, 30.0))
    ]
    # The least recently used one that is idle makes room.
    third = await connections.connect("w3", 0, address)
    assert not isinstance(third, ExchangeNotSent)
    assert second.closed
    assert not first.closed
    exchanges.append(
        asyncio.create_task(third.exchange(REQUEST, "", lambda: True, 30.0))
    )
    await asyncio.sleep(0)
    assert isinstance(
        await connections.connect("w4", 0, address), ExchangeNotSent
    )
    assert not first.closed
    assert not third.closed
    release.set()
    await asyncio.gather(*exchanges)
    for worker in ("w1", "w3"):
        connections.close_connections(worker)
    server.close()


def test_descriptors_do_not_run_out_on_a_large_fleet() -> None:
    """Guards against a leader whose connections to workers take them all."""
    asyncio.run(_open_more_than_allowed())
