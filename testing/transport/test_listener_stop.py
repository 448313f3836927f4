"""Tests of requests that arrive while the HTTP listener stops."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from collections.abc import Callable

import pytest

from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ReceivedRequest
from sardinespool.transport.http_server import ServerLimits
from testing.entry.scripted_server import run_async
from testing.entry.test_http_server import free_address

REQUEST = b"POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nwork"
ANSWER_BYTES = 20_000_000
"""Exceeds the send and receive buffers of a loopback connection."""


class Recorder:
    """Handler that records requests and answers once it may."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.arrived = asyncio.Event()
        self.resume = asyncio.Event()
        self.resume.set()
        self.before_answer: Callable[[], None] = lambda: None
        self.body = b"whole answer"

    async def __call__(self, received: ReceivedRequest) -> HttpResponse:
        self.targets.append(received.request.target)
        self.arrived.set()
        await self.resume.wait()
        self.before_answer()
        return HttpResponse(200, (), self.body)


class Caller:
    """Blocking client, whose bytes have arrived when `send` returns."""

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self._socket = socket.create_connection((host, int(port)))

    def send(self, data: bytes) -> None:
        self._socket.sendall(data)

    async def read(self) -> bytes:
        """Return what arrives until the connection ends."""
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        received = b""
        with contextlib.suppress(ConnectionError):
            while data := await loop.sock_recv(self._socket, 65_536):
                received += data
        return received

    async def read_answer(self) -> None:
        """Read one answer and leave the connection open."""
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        received = b""
        while not received.endswith(b"whole answer"):
            received += await loop.sock_recv(self._socket, 65_536)
        self._socket.setblocking(True)

    def close(self) -> None:
        self._socket.close()


@contextlib.asynccontextmanager
async def listening(
    recorder: Recorder,
) -> AsyncIterator[tuple[HttpListener, str]]:
    address = free_address()
    listener = HttpListener(address, recorder, ServerLimits(1_000_000))
    listener.start()
    yield listener, address
    await listener.stop()


@pytest.mark.parametrize(
    ("sent_before", "sent_last"),
    [
        ([], REQUEST),
        ([REQUEST], REQUEST),
        ([REQUEST[:20]], REQUEST[20:]),
        ([REQUEST[:-1]], REQUEST[-1:]),
    ],
    ids=["unaccepted", "keep-alive", "half-header", "half-body"],
)
@pytest.mark.parametrize("callers", [1, 3])
@run_async
async def test_request_that_arrived_before_the_stop_is_answered(
    sent_before: list[bytes], sent_last: bytes, callers: int
) -> None:
    """Guards against a reset of connections with an unread request."""
    recorder = Recorder()
    async with listening(recorder) as (listener, address):
        clients = [Caller(address) for _ in range(callers)]
        for client in clients:
            for part in sent_before:
                client.send(part)
                if part == REQUEST:
                    await client.read_answer()
        for _ in range(50 if sent_before else 0):
            await asyncio.sleep(0)
        for client in clients:
            client.send(sent_last)
        stopped = asyncio.create_task(listener.stop())
        for client in clients:
            answer = await client.read()
            assert answer.endswith(b"whole answer")
            assert b"Connection: close" in answer
            client.close()
        await stopped


@run_async
async def test_request_of_a_connection_is_not_begun_while_others_close() -> (
    None
):
    """Guards against a request that is passed on and then cut."""
    recorder = Recorder()
    async with listening(recorder) as (listener, address):
        clients = [Caller(address) for _ in range(20)]
        for client in clients:
            client.send(REQUEST)
            await client.read_answer()
        recorder.targets.clear()
        stopped = asyncio.create_task(listener.stop())
        answers = 0
        for client in clients:
            with contextlib.suppress(ConnectionError):
                client.send(REQUEST)
            await asyncio.sleep(0)
        for client in clients:
            answers += (await client.read()).endswith(b"whole answer")
            client.close()
        await stopped
        assert answers == len(recorder.targets)


@pytest.mark.parametrize("closing_first", [False, True])
@run_async
async def test_pipelined_request_is_answered_before_the_close(
    closing_first: bool,
) -> None:
    """Guards against a request that was read ahead and dropped."""
    recorder = Recorder()
    recorder.resume.clear()
    async with listening(recorder) as (listener, address):
        if closing_first:
            listener.close_after_responses()
        client = Caller(address)
        client.send(REQUEST + REQUEST.replace(b"/a", b"/b"))
        await recorder.arrived.wait()
        stopped = asyncio.create_task(listener.stop())
        await asyncio.sleep(0)
        recorder.resume.set()
        answer = await client.read()
        assert answer.count(b"whole answer") == len(recorder.targets) == 2
        assert answer.count(b"Connection: close") == 1
        client.close()
        await stopped


@run_async
async def test_request_that_follows_the_last_answer_is_not_begun() -> None:
    """Guards against a request that is passed on after the close."""
    recorder = Recorder()
    async with listening(recorder) as (listener, address):
        listener.close_after_responses()
        client = Caller(address)
        # Arrives after the last read and before the answer is written.
        recorder.before_answer = lambda: client.send(REQUEST)
        client.send(REQUEST)
        answer = await client.read()
        assert answer.count(b"whole answer") == len(recorder.targets) == 1
        client.close()


@run_async
async def test_slow_reader_gets_its_whole_answer() -> None:
    """Guards against a stop that cuts an answer that is being sent."""
    recorder = Recorder()
    recorder.body = b"x" * ANSWER_BYTES
    async with listening(recorder) as (listener, address):
        listener.close_after_responses()
        client = Caller(address)
        client.send(REQUEST)
        await recorder.arrived.wait()
        stopped = asyncio.create_task(listener.stop())
        for _ in range(5):
            await asyncio.sleep(0)
        answer = await client.read()
        assert len(answer.partition(b"\r\n\r\n")[2]) == ANSWER_BYTES
        assert b"Connection: close" in answer[:200]
        client.close()
        await stopped


@pytest.mark.parametrize("stalled", ["reader", "sender", "handler"])
@run_async
async def test_stalled_request_does_not_block_the_stop(stalled: str) -> None:
    """Guards against a stop that waits until the process is killed."""
    recorder = Recorder()
    recorder.body = b"x" * ANSWER_BYTES
    async with listening(recorder) as (listener, address):
        client = Caller(address)
        client.send(REQUEST[:-1] if stalled == "sender" else REQUEST)
        if stalled == "handler":
            recorder.resume.clear()
        if stalled != "sender":
            await recorder.arrived.wait()
        await listener.stop(limit_s=0.05)
        assert listener.in_progress == 0
        client.close()
