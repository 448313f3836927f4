"""Frame codec and the listener for other processes."""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import pytest

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.replication import NotLeaderError
from sardinespool.errors.tasks import JobNotFoundError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.errors.transport import FrameError
from sardinespool.errors.transport import NotReadyError
from sardinespool.errors.transport import ReplyTooLargeError
from sardinespool.groups.refusal import refused
from sardinespool.messages import codec
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import ReadConfiguration
from sardinespool.settings.model import ClusterSettings
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.frames import decode_frame
from sardinespool.transport.frames import encode_frame
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FRAME_BYTES_MAX
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.rpc_client import GroupClient

FRAME = Frame(
    kind=FrameKind.CALL,
    call_id=7,
    group="centro",
    sender="store/a",
    body=b"\x00\xff" * 100,
    deadline_unix_ms=2**41,
)
CALL = encode_frame(FRAME)
FAR_MS = 60_000


class Handler:
    """Answers calls from a list, then with a configuration."""

    def __init__(self, replies: list[Any]) -> None:
        self.replies = replies
        self.calls = 0
        self.peers: asyncio.Queue[bytes] = asyncio.Queue()

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        """Return the next reply."""
        self.calls += 1
        reply = self.replies.pop(0) if self.replies else Configuration()
        if isinstance(reply, Exception):
            return codec.encode(refused(reply))  # type: ignore[arg-type]
        return codec.encode(reply)

    def handle_peer(self, group: str, sender: str, body: bytes) -> None:
        """Keep a replication message."""
        self.peers.put_nowait(body)


def cluster(token: str = "secret") -> ClusterSettings:
    return ClusterSettings(
        failure_domains=("centro",),
        stores=(),
        entries=(),
        cluster_token=token,
        credentials=(),
    )


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def with_servers(
    handlers: list[Handler],
    use: Callable[[list[str]], Awaitable[None]],
) -> None:
    async def run() -> None:
        addresses = [free_address() for _ in handlers]
        servers = [
            FrameServer("secret", handler, None) for handler in handlers
        ]
        for server, address in zip(servers, addresses, strict=True):
            server.start_listening(address)
        try:
            await use(addresses)
        finally:
            for server in servers:
                server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "frame",
    [FRAME, Frame(kind=FrameKind.HELLO, token="t", protocol_version=1)],
)
def test_frame_survives_encoding(frame: Frame) -> None:
    """Guards against a field that the thrift struct lacks."""
    assert decode_frame(encode_frame(frame)) == frame


@pytest.mark.parametrize("length", range(len(CALL)))
def test_cut_frame_has_typed_error(length: int) -> None:
    """Guards against an untyped exception for a frame cut anywhere."""
    with pytest.raises(FrameError):
        decode_frame(CALL[:length])


def test_wrong_token_gets_no_answer() -> None:
    """Guards against strangers on the processes' own port."""
    handler = Handler([])

    async def use(addresses: list[str]) -> None:
        connector = Connector(cluster("wrong"), "test", "a")
        with pytest.raises(ConnectionLostError):
            await connector.call(addresses[0], "g", b"", 0, FAR_MS)
        await connector.close()

    with_servers([handler], use)
    assert handler.calls == 0


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">I", FRAME_BYTES_MAX + 1),
        struct.pack(">I", 4) + b"\xff\xff\xff\xff",
        struct.pack(">I", len(CALL)) + CALL,
    ],
)
def test_malformed_connection_is_closed(data: bytes) -> None:
    """Guards against a stranger's bytes that hold memory or a task."""
    handler = Handler([])

    async def use(addresses: list[str]) -> None:
        host, port = addresses[0].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        assert await reader.read() == b""
        writer.close()

    with_servers([handler], use)
    assert handler.calls == 0


@pytest.mark.parametrize(
    "error",
    [NotLeaderError("No.", leader="b"), NotReadyError("Stopping.")],
)
def test_client_moves_on_to_the_leader(error: SardinespoolError) -> None:
    """Guards against a client that stays with a former leader.

    A stopping member made answers of finished requests unknown (R9).
    """
    follower = Handler([error])
    leader = Handler([])

    async def use(addresses: list[str]) -> None:
        connector = Connector(cluster(), "test", "a")
        client = GroupClient(
            "g", dict(zip("ab", addresses, strict=True)), connector
        )
        deadline = system_clock.now().unix_ms + FAR_MS
        for _ in range(2):
            await client.call(ReadConfiguration(), deadline)
        await connector.close()

    with_servers([follower, leader], use)
    assert (follower.calls, leader.calls) == (1, 2)


def test_client_moves_on_from_a_member_that_is_down() -> None:
    """Guards against a client that waits for a dead member."""
    leader = Handler([])

    async def use(addresses: list[str]) -> None:
        connector = Connector(cluster(), "test", "a")
        members = {"a": free_address(), "b": addresses[0]}
        client = GroupClient("g", members, connector)
        deadline = system_clock.now().unix_ms + FAR_MS
        reply = await client.call(ReadConfiguration(), deadline)
        assert reply == Configuration()
        await connector.close()

    with_servers([leader], use)


def test_call_does_not_wait_for_a_reconnect() -> None:
    """Guards against calls that wait for a dead member's next connect."""

    async def run() -> None:
        connector = Connector(cluster(), "test", "a")
        address = free_address()
        for _ in range(2_000):
            with pytest.raises(ConnectionLostError):
                await connector.call(address, "g", b"", 0, FAR_MS)
        await connector.close()

    asyncio.run(run())


def test_refusal_arrives_as_its_own_type() -> None:
    """Guards against refusals that are retried or lose their details."""
    handler = Handler([JobNotFoundError("No job.", job_id="j")])

    async def use(addresses: list[str]) -> None:
        connector = Connector(cluster(), "test", "a")
        client = GroupClient("g", {"a": addresses[0]}, connector)
        deadline = system_clock.now().unix_ms + FAR_MS
        with pytest.raises(JobNotFoundError) as refusal:
            await client.call(ReadConfiguration(), deadline)
        assert refusal.value.details == {"job_id": "j"}
        with pytest.raises(GroupUnavailableError):
            await client.call(ReadConfiguration(), 0)
        await connector.close()

    with_servers([handler], use)
    assert handler.calls == 1


def test_oversized_reply_is_a_typed_refusal() -> None:
    """Guards against a caller that resends a call without an answer.

    A scheduling view over 8 MiB stopped a domain's scheduler.
    """
    large = Configuration(values={"limits/x": "x" * FRAME_BYTES_MAX})

    async def use(addresses: list[str]) -> None:
        connector = Connector(cluster(), "test", "a")
        client = GroupClient("g", {"a": addresses[0]}, connector)
        deadline = system_clock.now().unix_ms + FAR_MS
        with pytest.raises(ReplyTooLargeError):
            await client.call(ReadConfiguration(), deadline)
        assert await client.call(ReadConfiguration(), deadline)
        await connector.close()

    with_servers([Handler([large])], use)


def test_peer_messages_arrive_in_order() -> None:
    """Guards against reordering while a connection is being made."""
    handler = Handler([])

    async def use(addresses: list[str]) -> None:
        connector = Connector(cluster(), "test", "a")
        bodies = [bytes([number]) for number in range(50)]
        for body in bodies:
            connector.send_peer(addresses[0], "g", "a", body)
        assert [await handler.peers.get() for _ in bodies] == bodies
        await connector.close()

    with_servers([handler], use)


def test_frames_are_frozen() -> None:
    """Guards against a frame that changes while it waits for sending."""
    with pytest.raises(dataclasses.FrozenInstanceError):
        FRAME.group = "other"  # type: ignore[misc]
