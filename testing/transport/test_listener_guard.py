"""Tests of what clients get when a listener gives them up."""

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator

import pytest
from tornado.iostream import IOStream

from sardinespool.programs.controller.settings import CONTROL_GROUP
from sardinespool.programs.guard_metrics import RefusalLog
from sardinespool.transport import frame_server
from sardinespool.transport import listener_guard
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.guard_settings import GuardSettings
from sardinespool.transport.guard_settings import Refusal
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ReceivedRequest
from sardinespool.transport.http_server import ServerLimits
from sardinespool.transport.listener_guard import ListenerGuard
from sardinespool.transport.request_deadlines import RequestDeadlines
from testing.entry.scripted_server import run_async
from testing.hostile_clients.crowd import frame
from testing.hostile_clients.crowd import HELLO
from testing.transport.test_arrivals import stand_still
from testing.transport.test_frames import free_address

BODY_LIMIT_BYTES = 200_000
HEAD = "POST /a HTTP/1.1\r\nHost: a\r\n"
REQUEST = f"{HEAD}Content-Length: 4\r\n\r\nbody".encode()
LARGE = f"{HEAD}Content-Length: {BODY_LIMIT_BYTES}\r\n\r\n".encode()
IMPATIENT = RequestDeadlines(request_timeout_ms=100)
PATIENT = RequestDeadlines()
READ_LIMIT_S = 30.0


class Listening:
    """A listener, its guard and what they have passed on."""

    def __init__(self, settings: GuardSettings, idle_timeout_s: float) -> None:
        address = free_address()
        self.port = int(address.partition(":")[2])
        self.refusals: list[Refusal] = []
        self.handled = 0
        self.held_bytes = 0
        self.answer = b"answer"
        self.guard = ListenerGuard(settings, self.refusals.append)
        self.listener = HttpListener(
            address,
            self._handle,
            ServerLimits(
                BODY_LIMIT_BYTES,
                idle_timeout_s=idle_timeout_s,
                receive_buffer_bytes=16_384,
            ),
            guard=self.guard,
        )

    async def _handle(self, received: ReceivedRequest) -> HttpResponse:
        self.handled += 1
        self.held_bytes = self.guard.held_bytes
        return HttpResponse(200, (), self.answer)

    async def connect(
        self, source_ip: str = "127.0.0.1"
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection(
            "127.0.0.1", self.port, local_addr=(source_ip, 0)
        )

    async def exchange(self, data: bytes, source_ip: str = "127.0.0.1") -> str:
        """Return all that is answered until the connection is closed."""
        reader, writer = await self.connect(source_ip)
        writer.write(data)
        async with asyncio.timeout(READ_LIMIT_S):
            answer = await reader.read()
        writer.close()
        return answer.decode()


@contextlib.asynccontextmanager
async def listening(
    settings: GuardSettings, idle_timeout_s: float = 60.0
) -> AsyncIterator[Listening]:
    server = Listening(settings, idle_timeout_s)
    server.listener.start()
    yield server
    await server.listener.stop(1.0)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        pytest.param(b"POST /a HTTP/1.1\r\nHo", "408", id="head"),
        pytest.param(REQUEST[:-1], "408", id="body"),
        pytest.param(
            f"{HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nbod".encode(),
            "408",
            id="chunk",
        ),
        pytest.param(b"", "", id="nothing"),
    ],
)
@run_async
async def test_client_that_stands_still(data: bytes, expected: str) -> None:
    """Guards against connections that are held by unfinished requests."""
    settings = GuardSettings(deadlines=IMPATIENT)
    async with listening(settings, idle_timeout_s=0.1) as server:
        answer = await server.exchange(data)
        assert answer[9:12] == expected
        assert server.handled == 0
        assert [refusal.reason for refusal in server.refusals] == (
            ["deadline"] if expected else []
        )
        assert server.guard.connections == server.guard.held_bytes == 0


@run_async
async def test_client_that_is_still_sending_gets_the_refusal() -> None:
    """Guards against a reset that hides the refusal, and against a run."""
    settings = GuardSettings(receive_budget_bytes=200_000)
    async with listening(settings) as server:
        answer = await server.exchange(LARGE + bytes(BODY_LIMIT_BYTES))
        assert answer.startswith("HTTP/1.1 503 ")
        assert "\r\nRetry-After: 1\r\n" in answer
        assert server.handled == 0
        assert server.refusals[0].reason == "memory"
        # What was refused is not held any more.
        assert server.guard.held_bytes == 0
        answer = await server.exchange(
            REQUEST.replace(b"Host", b"Connection: close\r\nHost")
        )
        assert answer.endswith("answer")


@run_async
async def test_complete_request_without_room_has_not_run() -> None:
    """Guards against a request that runs although it is refused."""
    # The copies of the body don't fit, the body alone does.
    settings = GuardSettings(receive_budget_bytes=500_000)
    async with listening(settings) as server:
        answer = await server.exchange(LARGE + bytes(BODY_LIMIT_BYTES))
        assert answer.startswith("HTTP/1.1 503 ")
        assert server.handled == 0


@run_async
async def test_other_address_keeps_its_request() -> None:
    """Guards against one address that takes the budget from the others."""
    settings = GuardSettings(receive_budget_bytes=800_000)
    async with listening(settings) as server:
        reader, writer = await server.connect("127.0.0.3")
        writer.write(REQUEST[:-1])
        crowd = [await server.connect("127.0.0.2") for _ in range(8)]
        for _, other in crowd:
            other.write(LARGE + bytes(BODY_LIMIT_BYTES - 1))
        async with asyncio.timeout(READ_LIMIT_S):
            await asyncio.wait(
                [asyncio.create_task(other.read(1)) for other, _ in crowd],
                return_when=asyncio.FIRST_COMPLETED,
            )
        writer.write(REQUEST[-1:])
        async with asyncio.timeout(READ_LIMIT_S):
            head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert {r.address for r in server.refusals} == {"127.0.0.2"}
        for _, open_writer in [*crowd, (reader, writer)]:
            open_writer.close()


@run_async
async def test_longest_idle_connection_is_closed_for_a_new_one() -> None:
    """Guards against new clients that idle ones shut out."""
    settings = GuardSettings(connections_max=4)
    async with listening(settings) as server:
        clients = []
        # Callers may use three of four connections.
        for _ in range(4):
            reader, writer = await server.connect()
            writer.write(REQUEST)
            async with asyncio.timeout(READ_LIMIT_S):
                await reader.readuntil(b"answer")
            clients.append((reader, writer))
        async with asyncio.timeout(READ_LIMIT_S):
            assert await clients[0][0].read() == b""
        assert server.guard.connections == 3
        for _, writer in clients:
            writer.close()


@run_async
async def test_answer_that_is_not_read_is_given_up() -> None:
    """Guards against memory for answers of clients that don't read."""
    deadlines = RequestDeadlines(rate_grace_ms=1, minimum_bytes_per_s=1 << 30)
    async with listening(GuardSettings(deadlines=deadlines)) as server:
        server.answer = bytes(64 << 20)
        _, writer = await server.connect()
        writer.write(REQUEST)
        for _ in range(int(READ_LIMIT_S / 0.01)):
            if server.refusals and not server.guard.held_bytes:
                break
            await asyncio.sleep(0.01)
        assert server.refusals[0].reason == "deadline"
        writer.close()


@pytest.mark.parametrize("draining_max", [64, 0])
@run_async
async def test_few_refused_clients_are_read_on(
    draining_max: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refused clients that stay, by the hundred."""
    monkeypatch.setattr(listener_guard, "DRAINING_MAX", draining_max)
    settings = GuardSettings(receive_budget_bytes=200_000)
    async with listening(settings) as server:
        reader, writer = await server.connect()
        writer.write(LARGE + bytes(BODY_LIMIT_BYTES - 1))
        async with asyncio.timeout(READ_LIMIT_S):
            with contextlib.suppress(ConnectionResetError):
                await reader.read(1)
        assert server.guard.connections == (1 if draining_max else 0)
        writer.close()


@run_async
async def test_request_that_arrived_during_a_pause_is_served() -> None:
    """Guards against refusals after the process was frozen."""
    deadlines = RequestDeadlines(request_timeout_ms=1_900)
    async with listening(GuardSettings(deadlines=deadlines)) as server:
        reader, writer = await server.connect()
        writer.write(REQUEST[:-1])
        await asyncio.sleep(0.05)
        writer.write(REQUEST[-1:])
        stand_still(2.5)
        async with asyncio.timeout(READ_LIMIT_S):
            head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        writer.close()


@run_async
async def test_own_descriptors_come_first() -> None:
    """Guards against a leader that has no descriptors for its workers."""
    used = len(os.listdir("/proc/self/fd"))
    settings = GuardSettings(
        file_descriptors=used + 60, reserved_descriptors=0
    )
    async with listening(settings) as server:
        clients = [await server.connect() for _ in range(6)]
        own = [os.open("/dev/null", os.O_RDONLY) for _ in range(100)]
        try:
            async with asyncio.timeout(READ_LIMIT_S):
                for reader, _ in clients[:2]:
                    assert await reader.read() == b""
        finally:
            for descriptor in own:
                os.close(descriptor)
        assert server.guard.connections == 4
        for _, writer in clients:
            writer.close()


@run_async
async def test_idle_connection_with_a_new_request_is_spared() -> None:
    """Guards against a closed connection whose request has just arrived."""
    guard = ListenerGuard(GuardSettings(connections_max=64))
    pairs = [socket.socketpair() for _ in range(49)]
    pairs[0][1].send(b"P")
    streams = [IOStream(ours) for ours, _ in pairs]
    for stream in streams:
        guard.accept(stream, "a", ConnectionClass.CALLER, 60_000)
    assert [stream.closed() for stream in streams[:3]] == [False, True, False]
    for stream, (_, theirs) in zip(streams, pairs, strict=True):
        stream.close()
        theirs.close()


@pytest.mark.parametrize(
    ("data", "held_bytes"),
    [
        (REQUEST.replace(b"\r\n\r\n", b"\r\na: b" * 1_000 + b"\r\n\r\n"), 2e5),
        (LARGE + bytes(BODY_LIMIT_BYTES), 3 * BODY_LIMIT_BYTES),
    ],
    ids=["headers", "body"],
)
@run_async
async def test_objects_of_a_request_count(
    data: bytes, held_bytes: float
) -> None:
    """Guards against small data that takes much memory once it is read."""
    async with listening(GuardSettings()) as server:
        reader, writer = await server.connect()
        writer.write(data)
        async with asyncio.timeout(READ_LIMIT_S):
            await reader.readuntil(b"answer")
        assert server.held_bytes >= held_bytes
        writer.close()


def test_kernel_buffers_are_bounded() -> None:
    """Guards against memory of the host for bytes that were not read."""

    async def run() -> None:
        async with listening(GuardSettings()) as server:
            (listening_socket,) = server.listener._server._sockets.values()
            size_bytes = listening_socket.getsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF
            )
            # The kernel doubles it.
            assert size_bytes == 2 * 16_384

    asyncio.run(run())


class _WaitingHandler:
    def __init__(self) -> None:
        self.called = asyncio.Event()

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        self.called.set()
        await asyncio.Event().wait()
        raise AssertionError

    def handle_replication_message(
        self, group: str, sender: str, body: bytes
    ) -> None:
        raise AssertionError


@run_async
async def test_frames_before_and_after_the_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against large frames of strangers, and uncounted calls."""
    monkeypatch.setattr(frame_server, "HELLO_TIMEOUT_MS", 120_000)
    address = free_address()
    refusals: list[Refusal] = []
    guard = ListenerGuard(report=refusals.append)
    handler = _WaitingHandler()
    server = FrameServer(CONTROL_GROUP, handler, None, guard)
    server.start_listening(address)
    call = Frame(FrameKind.CALL, call_id=1, group="g", body=bytes(100_000))
    async with asyncio.timeout(READ_LIMIT_S):
        reader, writer = await asyncio.open_connection(*address.split(":"))
        writer.write((4_097).to_bytes(4) + b"x")
        assert await reader.read() == b""
        # The guard would close it as well, but only in time.
        assert guard.connections == 0 and refusals == []
        writer.close()
        reader, writer = await asyncio.open_connection(*address.split(":"))
        writer.write(HELLO + frame(call))
        await handler.called.wait()
        assert 100_000 <= guard.held_bytes < 120_000
        writer.close()
    server.close()


def test_refusals_are_logged_once_a_second() -> None:
    """Guards against a log that hostile clients fill."""
    log = RefusalLog()
    times = [5_000, 5_001, 5_999, 6_000, 6_500, 9_000]
    assert [log.take(now) for now in times] == [0, None, None, 2, None, 1]
