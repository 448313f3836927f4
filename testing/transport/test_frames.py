"""Tests of the frame encoding, `FrameServer` and `GroupClient`."""

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
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.tasks import GangTooLargeError
from sardinespool.errors.tasks import JobNotFoundError
from sardinespool.errors.tasks import OtherWorkspaceError
from sardinespool.errors.tasks import OverloadedError
from sardinespool.errors.tasks import QueueNotFoundError
from sardinespool.errors.tasks import UnknownWorkspaceKeyError
from sardinespool.errors.tasks import UnplaceableJobError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.errors.transport import FrameError
from sardinespool.errors.transport import NotReadyError
from sardinespool.errors.transport import ReplyTooLargeError
from sardinespool.errors.transport import ServiceFaultError
from sardinespool.groups.refusal import refusal_from_error
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
from sardinespool.transport.group_client import GroupClient

FRAME = Frame(
    kind=FrameKind.CALL,
    call_id=7,
    group="centro",
    sender="store/a",
    body=b"\x00\xff" * 100,
    deadline_unix_ms=2**41,
)
ENCODED_FRAME = encode_frame(FRAME)
LONG_TIMEOUT_MS = 60_000


class RecordingHandler:
    """Replies to calls from a list, then with an empty configuration."""

    def __init__(self, replies: list[Any]) -> None:
        self.replies = replies
        self.calls = 0
        self.peer_messages: asyncio.Queue[bytes] = asyncio.Queue()

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        """Return the next reply."""
        self.calls += 1
        reply = self.replies.pop(0) if self.replies else Configuration()
        if isinstance(reply, Exception):
            return codec.encode(refusal_from_error(reply))  # type: ignore[arg-type]
        return codec.encode(reply)

    def handle_replication_message(
        self, group: str, sender: str, body: bytes
    ) -> None:
        """Record a replication message."""
        self.peer_messages.put_nowait(body)


def cluster_settings(token: str = "secret") -> ClusterSettings:
    return ClusterSettings(
        failure_domains=("centro",),
        stores=(),
        entries=(),
        cluster_token=token,
        credentials=(),
    )


def free_address() -> str:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


def run_with_servers(
    handlers: list[RecordingHandler],
    scenario: Callable[[list[str]], Awaitable[None]],
) -> None:
    async def run() -> None:
        addresses = [free_address() for _ in handlers]
        servers = [
            FrameServer("secret", handler, None) for handler in handlers
        ]
        for server, address in zip(servers, addresses, strict=True):
            server.start_listening(address)
        try:
            await scenario(addresses)
        finally:
            for server in servers:
                server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "frame",
    [FRAME, Frame(kind=FrameKind.HELLO, token="t", protocol_version=1)],
)
def test_frame_encoding_round_trip(frame: Frame) -> None:
    """Guards against a field that is missing in the Thrift struct."""
    assert decode_frame(encode_frame(frame)) == frame


@pytest.mark.parametrize("length", range(len(ENCODED_FRAME)))
def test_truncated_frame_raises_frame_error(length: int) -> None:
    """Guards against an untyped exception for a truncated frame."""
    with pytest.raises(FrameError):
        decode_frame(ENCODED_FRAME[:length])


def test_connection_with_wrong_token_is_refused() -> None:
    """Guards against serving clients that lack the cluster token."""
    handler = RecordingHandler([])

    async def scenario(addresses: list[str]) -> None:
        connector = Connector(cluster_settings("wrong"), "test", "a")
        with pytest.raises(ConnectionLostError):
            await connector.call(addresses[0], "g", b"", 0, LONG_TIMEOUT_MS)
        await connector.close()

    run_with_servers([handler], scenario)
    assert handler.calls == 0


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">I", FRAME_BYTES_MAX + 1),
        struct.pack(">I", 4) + b"\xff\xff\xff\xff",
        struct.pack(">I", len(ENCODED_FRAME)) + ENCODED_FRAME,
    ],
)
def test_malformed_connection_is_closed(data: bytes) -> None:
    """Guards against invalid input that occupies memory or a task."""
    handler = RecordingHandler([])

    async def scenario(addresses: list[str]) -> None:
        host, port = addresses[0].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        assert await reader.read() == b""
        writer.close()

    run_with_servers([handler], scenario)
    assert handler.calls == 0


@pytest.mark.parametrize(
    "error",
    [NotLeaderError("No.", leader="b"), NotReadyError("Stopping.")],
)
def test_client_retries_at_the_leader(error: SardinespoolError) -> None:
    """Guards against a client that keeps calling a former leader.

    While a member was stopping, the outcome of finished requests became
    unknown.
    """
    follower = RecordingHandler([error])
    leader = RecordingHandler([])

    async def scenario(addresses: list[str]) -> None:
        connector = Connector(cluster_settings(), "test", "a")
        client = GroupClient(
            "g", dict(zip("ab", addresses, strict=True)), connector
        )
        deadline = system_clock.now().unix_ms + LONG_TIMEOUT_MS
        for _ in range(2):
            await client.call(ReadConfiguration(), deadline)
        await connector.close()

    run_with_servers([follower, leader], scenario)
    assert (follower.calls, leader.calls) == (1, 2)


@pytest.mark.parametrize(
    ("errors", "sent"),
    [
        ([ServiceFaultError("Fault.")], None),
        ([NotReadyError("Stopping."), ServiceFaultError("Fault.")], None),
        ([ProposalLostError("Lapsed."), ServiceFaultError("Fault.")], True),
        # The manifest may have changed between the attempts.
        ([UnknownWorkspaceKeyError("Withdrawn.")], None),
        ([ProposalLostError("x"), UnknownWorkspaceKeyError("x")], True),
        ([ProposalLostError("x"), OtherWorkspaceError("x")], True),
        ([ProposalLostError("x"), GangTooLargeError("x")], True),
        ([ProposalLostError("x"), QueueNotFoundError("x")], True),
        ([OverloadedError("Late.")], None),
        ([ProposalLostError("Lapsed."), OverloadedError("Late.")], True),
        ([ProposalLostError("Lapsed."), UnplaceableJobError("Big.")], True),
    ],
    ids=[
        "first",
        "after-refusal",
        "after-lapse",
        "first-key",
        "key-after-lapse",
        "owner-after-lapse",
        "gang-after-lapse",
        "queue-after-lapse",
        "overloaded",
        "overloaded-after-lapse",
        "unplaceable-after-lapse",
    ],
)
def test_fault_after_an_attempt_that_may_have_run_leaves_it_open(
    errors: list[SardinespoolError], sent: bool | None
) -> None:
    """Guards against a caller that is told that a stored job never ran."""
    members = [RecordingHandler([error]) for error in errors]

    async def scenario(addresses: list[str]) -> SardinespoolError:
        connector = Connector(cluster_settings(), "test", "a")
        names = "ab"[: len(addresses)]
        client = GroupClient(
            "g", dict(zip(names, addresses, strict=True)), connector
        )
        deadline = system_clock.now().unix_ms + LONG_TIMEOUT_MS
        with pytest.raises(SardinespoolError) as raised:
            await client.call(ReadConfiguration(), deadline)
        await connector.close()
        assert raised.value.details.get("sent") == sent
        refused = isinstance(raised.value, type(errors[-1]))
        assert refused == (sent is None)
        return raised.value

    run_with_servers(members, scenario)


def test_client_gives_up_the_search_for_a_leader_early() -> None:
    """Guards against callers that wait in vain until their time is over."""
    refusals = [NotLeaderError("No.") for _ in range(1_000)]
    follower = RecordingHandler(refusals)

    async def scenario(addresses: list[str]) -> None:
        connector = Connector(cluster_settings(), "test", "a")
        client = GroupClient("g", {"a": addresses[0]}, connector)
        now_unix_ms = system_clock.now().unix_ms
        deadline = now_unix_ms + 10 * LONG_TIMEOUT_MS
        with pytest.raises(GroupUnavailableError) as raised:
            await client.call(ReadConfiguration(), deadline, now_unix_ms + 150)
        await connector.close()
        assert system_clock.now().unix_ms < deadline
        assert raised.value.details["sent"] is False

    run_with_servers([follower], scenario)
    assert follower.calls >= 1


def test_client_goes_on_after_an_attempt_that_may_have_run() -> None:
    """Guards against an unknown outcome that a later attempt would clear."""
    former = RecordingHandler([ProposalLostError("Lapsed.")])
    leader = RecordingHandler([])

    async def scenario(addresses: list[str]) -> None:
        connector = Connector(cluster_settings(), "test", "a")
        client = GroupClient(
            "g", dict(zip("ab", addresses, strict=True)), connector
        )
        now_unix_ms = system_clock.now().unix_ms
        reply = await client.call(
            ReadConfiguration(),
            now_unix_ms + LONG_TIMEOUT_MS,
            now_unix_ms + 1,
        )
        assert reply == Configuration()
        await connector.close()

    run_with_servers([former, leader], scenario)
    assert (former.calls, leader.calls) == (1, 1)


def test_client_skips_an_unreachable_member() -> None:
    """Guards against a client that waits for an unreachable member."""
    leader = RecordingHandler([])

    async def scenario(addresses: list[str]) -> None:
        connector = Connector(cluster_settings(), "test", "a")
        members = {"a": free_address(), "b": addresses[0]}
        client = GroupClient("g", members, connector)
        deadline = system_clock.now().unix_ms + LONG_TIMEOUT_MS
        reply = await client.call(ReadConfiguration(), deadline)
        assert reply == Configuration()
        await connector.close()

    run_with_servers([leader], scenario)


def test_call_fails_at_once_before_a_reconnect() -> None:
    """Guards against calls that wait for the reconnect delay."""

    async def run() -> None:
        connector = Connector(cluster_settings(), "test", "a")
        address = free_address()
        for _ in range(2_000):
            with pytest.raises(ConnectionLostError):
                await connector.call(address, "g", b"", 0, LONG_TIMEOUT_MS)
        await connector.close()

    asyncio.run(run())


def test_refusal_keeps_its_error_type() -> None:
    """Guards against refusals that are retried or lose their details."""
    handler = RecordingHandler([JobNotFoundError("No job.", job_id="j")])

    async def scenario(addresses: list[str]) -> None:
        connector = Connector(cluster_settings(), "test", "a")
        client = GroupClient("g", {"a": addresses[0]}, connector)
        deadline = system_clock.now().unix_ms + LONG_TIMEOUT_MS
        with pytest.raises(JobNotFoundError) as refusal:
            await client.call(ReadConfiguration(), deadline)
        assert refusal.value.details == {"job_id": "j"}
        with pytest.raises(GroupUnavailableError):
            await client.call(ReadConfiguration(), 0)
        await connector.close()

    run_with_servers([handler], scenario)
    assert handler.calls == 1


def test_oversized_reply_is_refused() -> None:
    """Guards against a caller that resends a call forever without a reply.

    A scheduling view over 8 MiB stopped the scheduler of a failure domain.
    """
    large = Configuration(values={"limits/x": "x" * FRAME_BYTES_MAX})

    async def scenario(addresses: list[str]) -> None:
        connector = Connector(cluster_settings(), "test", "a")
        client = GroupClient("g", {"a": addresses[0]}, connector)
        deadline = system_clock.now().unix_ms + LONG_TIMEOUT_MS
        with pytest.raises(ReplyTooLargeError):
            await client.call(ReadConfiguration(), deadline)
        assert await client.call(ReadConfiguration(), deadline)
        await connector.close()

    run_with_servers([RecordingHandler([large])], scenario)


def test_replication_messages_arrive_in_order() -> None:
    """Guards against reordering while the connection is opened."""
    handler = RecordingHandler([])

    async def scenario(addresses: list[str]) -> None:
        connector = Connector(cluster_settings(), "test", "a")
        bodies = [bytes([number]) for number in range(50)]
        for body in bodies:
            connector.send_replication_message(addresses[0], "g", "a", body)
        assert [await handler.peer_messages.get() for _ in bodies] == bodies
        await connector.close()

    run_with_servers([handler], scenario)


def test_frames_are_immutable() -> None:
    """Guards against a frame that changes while it is queued."""
    with pytest.raises(dataclasses.FrozenInstanceError):
        FRAME.group = "other"  # type: ignore[misc]
