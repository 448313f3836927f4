"""Calls that wait for a connection, which may never be opened."""

import asyncio

import pytest

from sardinespool.errors import SardinespoolError
from sardinespool.errors.transport import CallTimeoutError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.errors.transport import UnreachableError
from sardinespool.transport.frame_stream import FrameStream
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.group_client import may_take_effect
from sardinespool.transport.peer_link import hello_frame
from sardinespool.transport.peer_link import PeerLink
from sardinespool.transport.peer_link import QUEUED_BYTES_MAX


class GatedLink(PeerLink):
    """Opens its connection when told, or fails to."""

    def __init__(self, address: str) -> None:
        super().__init__(address, hello_frame("a", "t"), None)
        self.connect_outcome: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )

    async def _connect(self) -> FrameStream:
        if not await self.connect_outcome:
            raise ConnectionLostError("The connect timed out.")
        return await super()._connect()


class Peer:
    """Counts the calls with a body that it receives and answers none."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.close_after_call = False
        self._serving: asyncio.Task[None] | None = None

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._serving = asyncio.current_task()
        while chunk := await reader.read(65_536):
            self.bodies += [
                body for body in (b"first", b"second") if body in chunk
            ]
            if self.close_after_call and self.bodies:
                break
        writer.close()
        await writer.wait_closed()

    async def stop(self) -> None:
        self._server.close()
        if self._serving is not None:
            await asyncio.wait([self._serving])


async def call(
    link: PeerLink, body: bytes, timeout_ms: int
) -> SardinespoolError:
    with pytest.raises(SardinespoolError) as raised:
        await link.call("g", body, 0, timeout_ms)
    return raised.value


@pytest.mark.parametrize("outcome", ["fails", "hangs"])
def test_call_without_a_connection_has_not_run(outcome: str) -> None:
    """Guards against an unknown outcome of a call that was never sent.

    Callers can't safely repeat a request whose outcome is unknown.
    """

    async def run() -> tuple[SardinespoolError, list[bytes]]:
        peer = Peer()
        link = GatedLink(await peer.start())
        first = asyncio.create_task(call(link, b"first", 100))
        await asyncio.sleep(0.02)
        if outcome == "fails":
            link.connect_outcome.set_result(False)
        error = await first
        if outcome == "hangs":
            # The connection is opened after all, for a later call.
            second = asyncio.create_task(call(link, b"second", 100))
            await asyncio.sleep(0.02)
            link.connect_outcome.set_result(True)
            assert isinstance(await second, CallTimeoutError)
        await link.close()
        await peer.stop()
        return error, peer.bodies

    error, bodies = asyncio.run(run())
    assert isinstance(error, UnreachableError)
    assert not may_take_effect(error)
    assert bodies == ([] if outcome == "fails" else [b"second"])


@pytest.mark.parametrize("closes", [False, True])
def test_call_that_was_sent_may_have_run(closes: bool) -> None:
    """Guards against 503, which says that nothing ran, for a sent call."""

    async def run() -> SardinespoolError:
        peer = Peer()
        peer.close_after_call = closes
        link = GatedLink(await peer.start())
        link.connect_outcome.set_result(True)
        error = await call(link, b"first", 100)
        await link.close()
        await peer.stop()
        assert peer.bodies == [b"first"]
        return error

    error = asyncio.run(run())
    expected = ConnectionLostError if closes else CallTimeoutError
    assert type(error) is expected
    assert may_take_effect(error)


def test_call_on_a_closed_stream_has_not_run() -> None:
    """Guards against 504 for a call that the closed stream did not take.

    A stream is closed when its peer does not read, and the link learns of it
    only by the next write.
    """

    async def run() -> tuple[SardinespoolError, list[bytes]]:
        peer = Peer()
        link = GatedLink(await peer.start())
        link.connect_outcome.set_result(True)
        await call(link, b"first", 100)
        assert link._stream is not None
        link._stream.close()
        error = await call(link, b"second", 100)
        await link.close()
        await peer.stop()
        return error, peer.bodies

    error, bodies = asyncio.run(run())
    assert bodies == [b"first"]
    assert isinstance(error, UnreachableError)
    assert not may_take_effect(error)


def test_replication_messages_wait_for_the_connection() -> None:
    """Guards against messages that are dropped with the calls."""

    async def run() -> list[bytes]:
        peer = Peer()
        link = GatedLink(await peer.start())
        link.send(Frame(kind=FrameKind.PEER, group="g", body=b"first"))
        await asyncio.sleep(0.02)
        link.connect_outcome.set_result(True)
        await asyncio.sleep(0.05)
        await link.close()
        await peer.stop()
        return peer.bodies

    assert asyncio.run(run()) == [b"first"]


def test_frames_for_an_unreachable_member_are_bounded_in_bytes() -> None:
    """Guards against a queue of large frames that fills the memory."""

    async def run() -> None:
        link = GatedLink("127.0.0.1:9")
        for number in range(40):
            body = bytes([number]) * (QUEUED_BYTES_MAX // 8)
            link.send(Frame(kind=FrameKind.PEER, group="g", body=body))
            queued = list(link._queued_frames._queue)  # type: ignore[attr-defined]
            assert sum(len(item.body) for item in queued) <= QUEUED_BYTES_MAX
        assert [item.body[0] for item in queued] == list(range(32, 40))
        # A frame that exceeds the limit alone is still sent.
        link.send(Frame(kind=FrameKind.PEER, body=bytes(QUEUED_BYTES_MAX + 1)))
        assert link._queued_frames.qsize() == 1
        await link.close()

    asyncio.run(run())
