"""Connections that go silent without a reset."""

import asyncio

import pytest

from sardinespool.errors.transport import CallTimeoutError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.transport import peer_link
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.peer_link import hello_frame
from sardinespool.transport.peer_link import PeerLink


class SlowHandler:
    """Answers calls late and ignores replication messages."""

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        await asyncio.sleep(0.3)
        return b"late"

    def handle_peer(self, group: str, sender: str, body: bytes) -> None:
        """Ignore the message."""


@pytest.fixture(autouse=True)
def quick_probes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(peer_link, "PROBE_INTERVAL_MS", 10)
    monkeypatch.setattr(peer_link, "SILENCE_MAX_MS", 100)


def test_silent_connection_is_given_up() -> None:
    """Guards against a group that waits for a connection gone silent."""

    async def swallow(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(4_096):
            pass
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(swallow, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        link = PeerLink(f"127.0.0.1:{port}", hello_frame("a", "t"), None)
        with pytest.raises(ConnectionLostError) as caught:
            await link.call("g", b"", 0, 60_000)
        assert not isinstance(caught.value, CallTimeoutError)
        await link.close()
        server.close()

    asyncio.run(run())


def test_probes_keep_a_connection_with_a_slow_call() -> None:
    """Guards against a connection that is given up while it is well."""

    async def run() -> None:
        server = FrameServer("t", SlowHandler(), None)
        server.listen(0, "127.0.0.1")
        (listening,) = server._sockets.values()
        port = listening.getsockname()[1]
        link = PeerLink(f"127.0.0.1:{port}", hello_frame("a", "t"), None)
        assert await link.call("g", b"", 0, 60_000) == b"late"
        await link.close()
        server.close()

    asyncio.run(run())
