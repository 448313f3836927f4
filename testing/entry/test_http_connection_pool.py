"""Tests of the endpoint connection pool with faulty endpoints."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator
from collections.abc import Callable

import pytest

from sardinespool.transport.http_connection_pool import HttpConnectionPool
from sardinespool.transport.http_messages import ExchangeAnswered
from sardinespool.transport.http_messages import ExchangeLost
from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import HttpRequest
from testing.entry.scripted_server import LATER_UNIX_MS
from testing.entry.scripted_server import NOW
from testing.entry.scripted_server import RecordedRequest
from testing.entry.scripted_server import reply
from testing.entry.scripted_server import run_async
from testing.entry.scripted_server import Script
from testing.entry.scripted_server import ScriptedServer

LIMIT_BYTES = 10_000
POST = HttpRequest("POST", "/seats/book", (("X-Test", "1"),), b"body")


async def send(
    pool: HttpConnectionPool,
    address: str,
    request_id: str = "r1",
    deadline_unix_ms: int = LATER_UNIX_MS,
    may_send: Callable[[], bool] = lambda: True,
    connection_limit: int = 4,
    request: HttpRequest = POST,
) -> ExchangeResult:
    return await pool.exchange(
        address,
        connection_limit,
        request,
        request_id,
        may_send,
        deadline_unix_ms,
    )


@contextlib.asynccontextmanager
async def running(
    script: Script,
) -> AsyncIterator[tuple[HttpConnectionPool, ScriptedServer]]:
    pool = HttpConnectionPool(LIMIT_BYTES, lambda: NOW)
    async with ScriptedServer(script) as server:
        yield pool, server
        await pool.close()


async def write_and_close(received: RecordedRequest, data: bytes) -> None:
    received.writer.write(data)
    await received.writer.drain()
    received.writer.close()


@run_async
async def test_connection_is_reused_for_whole_answers() -> None:
    """Guards against opening a connection for each request."""
    async with running(reply) as (pool, server):
        for number in range(3):
            result = await send(pool, server.address, f"r{number}")
            assert isinstance(result, ExchangeAnswered)
            assert result.response.body == b"ok"
        assert server.connections == 1
        received = server.requests[-1]
        assert received.head.startswith("POST /seats/book HTTP/1.1\r\n")
        assert (received.request_id, received.body) == ("r2", b"body")


@run_async
async def test_answer_truncated_at_any_byte_is_lost() -> None:
    """Guards against accepting a truncated answer as complete."""
    position = 0
    whole = b""

    async def script(received: RecordedRequest) -> None:
        nonlocal whole
        whole = received.answer()
        await write_and_close(received, whole[:position])

    async with running(script) as (pool, server):
        while isinstance(await send(pool, server.address), ExchangeLost):
            position += 1
        assert position == len(whole) > 0
        assert server.connections == position + 1


INVALID_ANSWERS: dict[str, Callable[[RecordedRequest], bytes]] = {
    "wrong id": lambda r: r.answer().replace(b"r1", b"r9"),
    "no id": lambda r: b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "two ids": lambda r: r.answer(extra="Sardinespool-Request-Id: r9\r\n"),
    "no length": lambda r: r.answer().replace(b"Content-Length: 2\r\n", b""),
    "two lengths": lambda r: r.answer(extra="Content-Length: 1\r\n"),
    "length and chunks": lambda r: r.answer(
        extra="Transfer-Encoding: chunked\r\n"
    ),
    "oversized": lambda r: r.answer(b"x" * (LIMIT_BYTES + 1)),
    "oversized head": lambda r: r.answer(extra="X-A: " + "x" * 100_000),
    "no http": lambda r: b"\x00\x01\x02\r\n\r\n",
    "no status": lambda r: b"HTTP/1.1 abc\r\n\r\n",
}


@pytest.mark.parametrize("case", INVALID_ANSWERS)
@run_async
async def test_invalid_answer_is_lost_and_connection_not_reused(
    case: str,
) -> None:
    """Guards against accepting a mismatched or oversized answer (R5)."""

    async def script(received: RecordedRequest) -> None:
        if received.connection > 1:
            await reply(received)
            return
        received.writer.write(INVALID_ANSWERS[case](received))
        # Waits for the pool to close the connection first.
        await received.reader.read()
        received.writer.close()

    async with running(script) as (pool, server):
        result = await send(pool, server.address)
        assert isinstance(result, ExchangeLost)
        result = await send(pool, server.address, "r2")
        assert isinstance(result, ExchangeAnswered)
        assert server.connections == 2


@run_async
async def test_timeout_closes_connection_and_drops_late_answer() -> None:
    """Guards against a late answer delivered to the next request."""
    closed = asyncio.Event()

    async def script(received: RecordedRequest) -> None:
        if received.request_id == "late":
            await received.reader.read()
            closed.set()
        await reply(received)

    async with running(script) as (pool, server):
        await send(pool, server.address)
        result = await send(
            pool, server.address, "late", deadline_unix_ms=NOW.unix_ms
        )
        assert isinstance(result, ExchangeLost)
        await closed.wait()
        result = await send(pool, server.address, "next")
        assert isinstance(result, ExchangeAnswered)
        assert result.response.header("sardinespool-request-id") == "next"
        assert server.connections == 2


async def _leave_open(received: RecordedRequest) -> None:
    del received


async def _close(received: RecordedRequest) -> None:
    received.writer.close()
    await received.writer.wait_closed()


async def _reset(received: RecordedRequest) -> None:
    raw: socket.socket = received.writer.get_extra_info("socket")
    raw.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    received.writer.transport.abort()


async def _second_answer(received: RecordedRequest) -> None:
    received.writer.write(received.answer(b"second"))
    await received.writer.drain()


@pytest.mark.parametrize(
    ("after", "connections"),
    [(_leave_open, 1), (_close, 2), (_reset, 2), (_second_answer, 2)],
)
@pytest.mark.parametrize("at_once", [True, False])
@run_async
async def test_closed_idle_connection_is_not_reused(
    after: Script, connections: int, at_once: bool
) -> None:
    """Guards against sending a request on a closed connection."""
    answered = asyncio.Event()
    ended = asyncio.Event()

    async def script(received: RecordedRequest) -> None:
        await reply(received)
        if len(servers[0].requests) == 1:
            if not at_once:
                await answered.wait()
            await after(received)
            ended.set()

    servers: list[ScriptedServer] = []
    async with running(script) as (pool, server):
        servers.append(server)
        first = await send(pool, server.address)
        assert isinstance(first, ExchangeAnswered)
        assert first.response.body == b"ok"
        answered.set()
        await ended.wait()
        result = await send(pool, server.address, "r2")
        assert isinstance(result, ExchangeAnswered)
        assert result.response.body == b"ok"
        assert server.connections == connections


@run_async
async def test_first_byte_needs_permission() -> None:
    """Guards against sending bytes after the deadline of a record."""
    async with running(reply) as (pool, server):
        await send(pool, server.address)
        result = await send(
            pool, server.address, "late", may_send=lambda: False
        )
        assert isinstance(result, ExchangeNotSent)
        await send(pool, server.address, "r3")
        ids = [received.request_id for received in server.requests]
        assert ids == ["r1", "r3"]


@run_async
async def test_refused_connection_is_not_sent() -> None:
    """Guards against reporting "unknown" for a refused connection."""
    async with running(reply) as (pool, server):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{free.getsockname()[1]}"
            result = await send(pool, address)
            assert isinstance(result, ExchangeNotSent)


@run_async
async def test_connections_are_bounded_and_cancelled_ones_closed() -> None:
    """Guards against exceeding the connection limit of an address."""
    arrived = asyncio.Event()
    closed = asyncio.Event()

    async def script(received: RecordedRequest) -> None:
        arrived.set()
        await received.reader.read()
        closed.set()

    async with running(script) as (pool, server):
        first = asyncio.create_task(
            send(pool, server.address, connection_limit=1)
        )
        await arrived.wait()
        second = await send(pool, server.address, connection_limit=1)
        assert isinstance(second, ExchangeNotSent)
        first.cancel()
        await closed.wait()
        assert pool.connection_counts()[server.address] == (0, 0)


@run_async
async def test_connections_to_a_removed_endpoint_finish_and_close() -> None:
    """Guards against aborting a request on a removed endpoint (R9)."""
    arrived = asyncio.Event()
    resume = asyncio.Event()

    async def script(received: RecordedRequest) -> None:
        arrived.set()
        await resume.wait()
        await reply(received)

    async with running(script) as (pool, server):
        first = asyncio.create_task(send(pool, server.address))
        await arrived.wait()
        pool.retain(frozenset())
        resume.set()
        assert isinstance(await first, ExchangeAnswered)
        assert pool.connection_counts() == {}


@pytest.mark.parametrize(
    ("method", "head", "body"),
    [
        ("HEAD", "200 OK", b""),
        ("GET", "204 No Content", b""),
        ("GET", "304 Not Modified", b""),
    ],
)
@run_async
async def test_answers_without_body_are_whole(
    method: str, head: str, body: bytes
) -> None:
    """Guards against waiting for a body that is never sent."""

    async def script(received: RecordedRequest) -> None:
        text = received.answer(status=head).replace(b"ok", b"")
        if method == "GET":
            text = text.replace(b"Content-Length: 2\r\n", b"")
        received.writer.write(text)

    async with running(script) as (pool, server):
        for number in range(2):
            result = await send(
                pool,
                server.address,
                f"r{number}",
                request=HttpRequest(method, "/seats/1"),
            )
            assert isinstance(result, ExchangeAnswered)
            assert result.response.body == body
        assert server.connections == 1
