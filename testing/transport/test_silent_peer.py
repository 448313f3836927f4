"""Tests of connections that stop delivering data without a reset."""

import asyncio
import itertools
from typing import Any

import pytest
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient

from sardinespool.errors.transport import CallTimeoutError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.transport import peer_link
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.peer_link import hello_frame
from sardinespool.transport.peer_link import PeerLink


class SlowHandler:
    """Replies to calls late and ignores replication messages."""

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        await asyncio.sleep(0.3)
        return b"late"

    def handle_replication_message(
        self, group: str, sender: str, body: bytes
    ) -> None:
        """Ignore the message."""


@pytest.fixture(autouse=True)
def short_keepalive_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_link, "KEEPALIVE_INTERVAL_MS", 10)
    monkeypatch.setattr(peer_link, "SILENCE_TIMEOUT_MS", 100)


def test_silent_connection_is_closed() -> None:
    """Guards against calls that wait on a connection without traffic."""

    async def discard_input(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(4_096):
            pass
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(discard_input, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = PeerLink(f"127.0.0.1:{port}", hello_frame("a", "t"), None)
        with pytest.raises(ConnectionLostError) as caught:
            await link.call("g", b"", 0, 60_000)
        assert not isinstance(caught.value, CallTimeoutError)
        await link.close()
        server.close()

    asyncio.run(run())


def test_connection_is_attempted_again_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lost first packet that delays a rejoin by a second."""
    monkeypatch.setattr(peer_link, "CONNECT_TIMEOUT_MS", 60_000)
    monkeypatch.setattr(peer_link, "SILENCE_TIMEOUT_MS", 60_000)
    connect = TCPClient.connect
    attempts = itertools.count(1)

    async def lose_first(
        client: TCPClient, *arguments: Any, **options: Any
    ) -> IOStream:
        if next(attempts) == 1:
            await asyncio.Event().wait()
        return await connect(client, *arguments, **options)

    monkeypatch.setattr(TCPClient, "connect", lose_first)

    async def run() -> None:
        server = FrameServer("t", SlowHandler(), None)
        server.listen(0, "127.0.0.1")
        (listening_socket,) = server._sockets.values()
        port = listening_socket.getsockname()[1]
        link = PeerLink(f"127.0.0.1:{port}", hello_frame("a", "t"), None)
        assert await link.call("g", b"", 0, 30_000) == b"late"
        await link.close()
        server.close()

    asyncio.run(run())


def test_keepalives_preserve_a_connection_with_a_slow_call() -> None:
    """Guards against closing a working connection."""

    async def run() -> None:
        server = FrameServer("t", SlowHandler(), None)
        server.listen(0, "127.0.0.1")
        (listening_socket,) = server._sockets.values()
        port = listening_socket.getsockname()[1]
        link = PeerLink(f"127.0.0.1:{port}", hello_frame("a", "t"), None)
        assert await link.call("g", b"", 0, 60_000) == b"late"
        await link.close()
        server.close()

    asyncio.run(run())
