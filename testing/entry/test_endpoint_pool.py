"""Connections to endpoints that misbehave."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator
from collections.abc import Callable

import pytest

from sardinespool.transport.endpoint_pool import EndpointPool
from sardinespool.transport.http_messages import ExchangeAnswered
from sardinespool.transport.http_messages import ExchangeLost
from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import HttpRequest
from testing.entry.http_standin import HttpStandin
from testing.entry.http_standin import in_loop
from testing.entry.http_standin import LATER_UNIX_MS
from testing.entry.http_standin import NOW
from testing.entry.http_standin import Received
from testing.entry.http_standin import reply
from testing.entry.http_standin import Script

LIMIT_BYTES = 10_000
POST = HttpRequest("POST", "/seats/book", (("X-Test", "1"),), b"body")


async def send(
    pool: EndpointPool,
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
) -> AsyncIterator[tuple[EndpointPool, HttpStandin]]:
    pool = EndpointPool(LIMIT_BYTES, lambda: NOW)
    async with HttpStandin(script) as standin:
        yield pool, standin
        await pool.close()


async def cut(received: Received, data: bytes) -> None:
    received.writer.write(data)
    await received.writer.drain()
    received.writer.close()


@in_loop
async def test_connection_is_reused_for_whole_answers() -> None:
    """Guards against one connection for each request."""
    async with running(reply) as (pool, standin):
        for number in range(3):
            result = await send(pool, standin.address, f"r{number}")
            assert isinstance(result, ExchangeAnswered)
            assert result.answer.body == b"ok"
        assert standin.connections == 1
        received = standin.requests[-1]
        assert received.head.startswith("POST /seats/book HTTP/1.1\r\n")
        assert (received.request_id, received.body) == ("r2", b"body")


@in_loop
async def test_answer_cut_at_each_byte_is_lost() -> None:
    """Guards against a truncated answer that passes for a short one."""
    position = 0
    whole = b""

    async def script(received: Received) -> None:
        nonlocal whole
        whole = received.answer()
        await cut(received, whole[:position])

    async with running(script) as (pool, standin):
        while isinstance(await send(pool, standin.address), ExchangeLost):
            position += 1
        assert position == len(whole) > 0
        assert standin.connections == position + 1


BAD_ANSWERS: dict[str, Callable[[Received], bytes]] = {
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


@pytest.mark.parametrize("case", BAD_ANSWERS)
@in_loop
async def test_bad_answer_is_lost_and_connection_not_reused(case: str) -> None:
    """Guards against another request's or an unbounded answer (R5)."""

    async def script(received: Received) -> None:
        if received.connection > 1:
            await reply(received)
            return
        received.writer.write(BAD_ANSWERS[case](received))
        # The other side must close, not this one.
        await received.reader.read()
        received.writer.close()

    async with running(script) as (pool, standin):
        result = await send(pool, standin.address)
        assert isinstance(result, ExchangeLost)
        result = await send(pool, standin.address, "r2")
        assert isinstance(result, ExchangeAnswered)
        assert standin.connections == 2


@in_loop
async def test_timeout_closes_the_connection_and_drops_the_late_answer() -> (
    None
):
    """Guards against a late answer that reaches the next request."""
    closed = asyncio.Event()

    async def script(received: Received) -> None:
        if received.request_id == "late":
            await received.reader.read()
            closed.set()
        await reply(received)

    async with running(script) as (pool, standin):
        await send(pool, standin.address)
        result = await send(
            pool, standin.address, "late", deadline_unix_ms=NOW.unix_ms
        )
        assert isinstance(result, ExchangeLost)
        await closed.wait()
        result = await send(pool, standin.address, "next")
        assert isinstance(result, ExchangeAnswered)
        assert result.answer.header("sardinespool-request-id") == "next"
        assert standin.connections == 2


async def _leave_open(received: Received) -> None:
    del received


async def _close(received: Received) -> None:
    received.writer.close()
    await received.writer.wait_closed()


async def _reset(received: Received) -> None:
    raw: socket.socket = received.writer.get_extra_info("socket")
    raw.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    received.writer.transport.abort()


async def _second_answer(received: Received) -> None:
    received.writer.write(received.answer(b"second"))
    await received.writer.drain()


@pytest.mark.parametrize(
    ("after", "connections"),
    [(_leave_open, 1), (_close, 2), (_reset, 2), (_second_answer, 2)],
)
@pytest.mark.parametrize("at_once", [True, False])
@in_loop
async def test_idle_connection_that_ended_is_not_used(
    after: Script, connections: int, at_once: bool
) -> None:
    """Guards against a request that is lost on a connection long closed."""
    answered = asyncio.Event()
    ended = asyncio.Event()

    async def script(received: Received) -> None:
        await reply(received)
        if len(standins[0].requests) == 1:
            if not at_once:
                await answered.wait()
            await after(received)
            ended.set()

    standins: list[HttpStandin] = []
    async with running(script) as (pool, standin):
        standins.append(standin)
        first = await send(pool, standin.address)
        assert isinstance(first, ExchangeAnswered)
        assert first.answer.body == b"ok"
        answered.set()
        await ended.wait()
        result = await send(pool, standin.address, "r2")
        assert isinstance(result, ExchangeAnswered)
        assert result.answer.body == b"ok"
        assert standin.connections == connections


@in_loop
async def test_first_byte_needs_permission() -> None:
    """Guards against a byte that leaves after the deadline of a record."""
    async with running(reply) as (pool, standin):
        await send(pool, standin.address)
        result = await send(
            pool, standin.address, "late", may_send=lambda: False
        )
        assert isinstance(result, ExchangeNotSent)
        await send(pool, standin.address, "r3")
        ids = [received.request_id for received in standin.requests]
        assert ids == ["r1", "r3"]


@in_loop
async def test_refused_connection_is_not_sent() -> None:
    """Guards against "unknown" for an endpoint that is not there."""
    async with running(reply) as (pool, standin):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{free.getsockname()[1]}"
            result = await send(pool, address)
            assert isinstance(result, ExchangeNotSent)


@in_loop
async def test_connections_are_bounded_and_cancelled_ones_closed() -> None:
    """Guards against more connections than an endpoint announced."""
    arrived = asyncio.Event()
    closed = asyncio.Event()

    async def script(received: Received) -> None:
        arrived.set()
        await received.reader.read()
        closed.set()

    async with running(script) as (pool, standin):
        first = asyncio.create_task(
            send(pool, standin.address, connection_limit=1)
        )
        await arrived.wait()
        second = await send(pool, standin.address, connection_limit=1)
        assert isinstance(second, ExchangeNotSent)
        first.cancel()
        await closed.wait()
        assert pool.counts()[standin.address] == (0, 0)


@in_loop
async def test_connections_to_a_removed_endpoint_finish_and_close() -> None:
    """Guards against a planned stop that cuts a request in progress (R9)."""
    arrived = asyncio.Event()
    go_on = asyncio.Event()

    async def script(received: Received) -> None:
        arrived.set()
        await go_on.wait()
        await reply(received)

    async with running(script) as (pool, standin):
        first = asyncio.create_task(send(pool, standin.address))
        await arrived.wait()
        pool.retain(frozenset())
        go_on.set()
        assert isinstance(await first, ExchangeAnswered)
        assert pool.counts() == {}


@pytest.mark.parametrize(
    ("method", "head", "body"),
    [
        ("HEAD", "200 OK", b""),
        ("GET", "204 No Content", b""),
        ("GET", "304 Not Modified", b""),
    ],
)
@in_loop
async def test_answers_without_body_are_whole(
    method: str, head: str, body: bytes
) -> None:
    """Guards against waiting for a body that never comes."""

    async def script(received: Received) -> None:
        text = received.answer(status=head).replace(b"ok", b"")
        if method == "GET":
            text = text.replace(b"Content-Length: 2\r\n", b"")
        received.writer.write(text)

    async with running(script) as (pool, standin):
        for number in range(2):
            result = await send(
                pool,
                standin.address,
                f"r{number}",
                request=HttpRequest(method, "/seats/1"),
            )
            assert isinstance(result, ExchangeAnswered)
            assert result.answer.body == body
        assert standin.connections == 1
