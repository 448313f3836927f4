"""Tests of the HTTP listener: size limit and graceful stop."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import Handler
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ReceivedRequest
from sardinespool.transport.http_server import ServerLimits
from testing.entry.scripted_server import run_async

LIMIT_BYTES = 1_000


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.partition(":")
    return await asyncio.open_connection(host, int(port))


@contextlib.asynccontextmanager
async def listening(
    handler: Handler,
) -> AsyncIterator[tuple[HttpListener, str]]:
    address = free_address()
    listener = HttpListener(address, handler, ServerLimits(LIMIT_BYTES))
    listener.start()
    yield listener, address
    await listener.stop()


async def echo(received: ReceivedRequest) -> HttpResponse:
    status = 413 if received.too_large else 200
    return HttpResponse(status, (), received.request.body)


@pytest.mark.parametrize(
    ("size_bytes", "chunked", "status", "open_after"),
    [
        (1_000, False, 200, True),
        (1_001, False, 413, True),
        (1_000, True, 200, True),
        (1_001, True, 413, True),
        (100_000_000, False, 413, False),
    ],
)
@run_async
async def test_body_over_the_limit_gets_an_answer(
    size_bytes: int, chunked: bool, status: int, open_after: bool
) -> None:
    """Guards against a connection reset that hides the 413 answer."""
    async with listening(echo) as (listener, address):
        reader, writer = await connect(address)
        if chunked:
            body = f"{size_bytes:x}\r\n{'x' * size_bytes}\r\n0\r\n\r\n"
            length = "Transfer-Encoding: chunked"
        else:
            body = "x" * min(size_bytes, 10_000)
            length = f"Content-Length: {size_bytes}"
        writer.write(f"POST /a HTTP/1.1\r\n{length}\r\n\r\n{body}".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(f"HTTP/1.1 {status} ".encode())
        if open_after:
            await reader.readexactly(size_bytes if status == 200 else 0)
            writer.write(b"GET /b HTTP/1.1\r\n\r\n")
            assert b" 200 OK" in await reader.readuntil(b"\r\n\r\n")
        writer.close()


@run_async
async def test_stop_finishes_requests_and_closes_idle_connections() -> None:
    """Guards against a graceful stop that aborts a request (R9)."""
    arrived = asyncio.Event()
    resume = asyncio.Event()

    async def slow(received: ReceivedRequest) -> HttpResponse:
        if received.request.target == "/slow":
            arrived.set()
            await resume.wait()
        return HttpResponse(200, (), b"whole answer")

    async with listening(slow) as (listener, address):
        idle_reader, idle_writer = await connect(address)
        idle_writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        await idle_reader.readuntil(b"whole answer")
        reader, writer = await connect(address)
        writer.write(b"GET /slow HTTP/1.1\r\n\r\n")
        await arrived.wait()
        stopped = asyncio.create_task(listener.stop())
        await asyncio.sleep(0)
        with pytest.raises(ConnectionError):
            await connect(address)
        resume.set()
        answer = await reader.read()
        assert answer.endswith(b"whole answer")
        assert b"Connection: close" in answer
        assert await idle_reader.read() == b""
        await stopped
        for each in (writer, idle_writer):
            each.close()


@run_async
async def test_request_sent_during_stop_is_answered() -> None:
    """Guards against closing a connection with a request in flight (R9)."""
    async with listening(echo) as (listener, address):
        reader, writer = await connect(address)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        listener.close_after_responses()
        lingered = asyncio.create_task(listener.wait_for_connections(3_600))
        writer.write(b"GET /b HTTP/1.1\r\n\r\n")
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200 OK")
        assert b"Connection: close" in answer
        # The last connection is closed, so the linger time is cut short.
        await lingered
        writer.close()


@run_async
async def test_aborted_connection_does_not_block_the_stop() -> None:
    """Guards against a stop that waits for an aborted connection."""
    arrived = asyncio.Event()
    resume = asyncio.Event()

    async def slow(received: ReceivedRequest) -> HttpResponse:
        arrived.set()
        await resume.wait()
        return HttpResponse(200, (), b"x" * 10_000_000)

    async with listening(slow) as (listener, address):
        _, writer = await connect(address)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        await arrived.wait()
        writer.transport.abort()
        resume.set()
        await listener.stop()
        assert listener.in_progress == 0


@pytest.mark.parametrize(
    ("status", "method", "length"),
    [(200, "HEAD", b"4"), (204, "GET", None), (200, "GET", b"4")],
)
@run_async
async def test_answer_without_body_keeps_connection_usable(
    status: int, method: str, length: bytes | None
) -> None:
    """Guards against body bytes that corrupt the next answer."""

    async def answer(received: ReceivedRequest) -> HttpResponse:
        return HttpResponse(status, (), b"body")

    async with listening(answer) as (listener, address):
        reader, writer = await connect(address)
        for _ in range(2):
            writer.write(f"{method} /a HTTP/1.1\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(f"HTTP/1.1 {status}".encode())
            if length is None:
                assert b"Content-Length" not in head
            else:
                assert b"Content-Length: " + length in head
            if method == "GET" and status == 200:
                await reader.readexactly(4)
        writer.close()
