"""Arrival of requests at a process that stands still, or in parts."""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator

import pytest

from sardinespool.errors.transport import OutdatedOrderError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import OrderTicket
from sardinespool.messages.manifest import ReadOrderTicket
from sardinespool.messages.tasks import Accepted
from sardinespool.platform import control_handler
from sardinespool.platform.control_handler import CALL_TIMEOUT_MS
from sardinespool.platform.control_handler import ControlHandler
from sardinespool.programs.controller.timely_orders import TimelyOrders
from sardinespool.transport import system_clock
from sardinespool.transport.arrivals import LoopWatch
from sardinespool.transport.arrivals import WATCH_INTERVAL_MS
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import Handler
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ReceivedRequest
from sardinespool.transport.http_server import ServerLimits
from testing.entry.scripted_server import run_async
from testing.transport.test_frames import free_address

REQUEST = b"POST /api/evacuation/a/finish HTTP/1.1\r\nHost: h\r\n\r\n"
LONGER_THAN_THE_BOUND_S = 5 * WATCH_INTERVAL_MS / 1000


def boot_ms() -> int:
    return system_clock.now().boot_ms


def stand_still(duration_s: float) -> None:
    """Block the event loop, as a signal that stops the process would."""
    time.sleep(duration_s)


@contextlib.asynccontextmanager
async def listen(
    handler: Handler,
) -> AsyncIterator[tuple[socket.socket, LoopWatch]]:
    """Serve with a watch; yield it and an accepted connection."""
    watch = LoopWatch(system_clock.now)
    address = free_address()
    listener = HttpListener(
        address, handler, ServerLimits(10_000), watch=watch
    )
    watch.start()
    listener.start()
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as client:
        await asyncio.sleep(LONGER_THAN_THE_BOUND_S)
        yield client, watch
    watch.stop()
    await listener.stop(1.0)


class Recorder:
    """Handler that records the requests."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[ReceivedRequest] = asyncio.Queue()

    async def __call__(self, received: ReceivedRequest) -> HttpResponse:
        self.received.put_nowait(received)
        return HttpResponse(200, (), b"")


@pytest.mark.parametrize("cut", [len(REQUEST), 1, len(REQUEST) - 2])
@pytest.mark.parametrize("stands_still", [False, True])
@run_async
async def test_request_is_as_old_as_its_first_byte(
    cut: int, stands_still: bool
) -> None:
    """Guards against an old request that counts as new when it is read."""
    recorder = Recorder()
    async with listen(recorder) as (client, watch):
        client.sendall(REQUEST)
        await recorder.received.get()
        first_boot_ms = boot_ms()
        for _ in range(1_000):
            if watch.earliest_arrival_boot_ms > first_boot_ms:
                break
            await asyncio.sleep(WATCH_INTERVAL_MS / 1000)
        client.sendall(REQUEST[:cut])
        sent_boot_ms = boot_ms()
        if stands_still:
            stand_still(LONGER_THAN_THE_BOUND_S)
        else:
            await asyncio.sleep(LONGER_THAN_THE_BOUND_S)
        client.sendall(REQUEST[cut:])
        received = await recorder.received.get()
        # The second request of a connection has its own first byte.
        assert first_boot_ms < received.since_boot_ms <= sent_boot_ms


@pytest.mark.parametrize("leaves", [False, True])
@run_async
async def test_client_that_left_is_noticed(leaves: bool) -> None:
    """Guards against orders for which nobody waits any more."""
    left: asyncio.Queue[bool] = asyncio.Queue()

    async def handle(received: ReceivedRequest) -> HttpResponse:
        left.put_nowait(received.has_client_left())
        return HttpResponse(200, (), b"")

    async with listen(handle) as (client, _):
        client.sendall(REQUEST)
        if leaves:
            client.close()
        assert await left.get() == leaves


@pytest.mark.parametrize("stands_still", [False, True])
@run_async
async def test_order_read_after_a_pause_is_not_carried_out(
    stands_still: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an old end of an evacuation that undoes a later one."""
    if not stands_still:
        # A busy machine must not make the order old.
        monkeypatch.setattr(control_handler, "CALL_TIMEOUT_MS", 60_000)
    carried_out: list[Request] = []

    async def call(request: Request, timeout_ms: int) -> Reply:
        if isinstance(request, ReadOrderTicket):
            return OrderTicket(term=1, sequence=0, issued_boot_ms=boot_ms())
        carried_out.append(request)
        return Accepted()

    handler = ControlHandler(
        call, TimelyOrders(call, system_clock.now).send, lambda: ""
    )
    async with listen(handler) as (client, _):
        client.sendall(REQUEST)
        if stands_still:
            stand_still(CALL_TIMEOUT_MS / 1000)
        loop = asyncio.get_running_loop()
        answer = await loop.run_in_executor(None, client.recv, 1_000)
    assert (OutdatedOrderError.code.encode() in answer) == stands_still
    assert (b" 503 " in answer.splitlines()[0]) == stands_still
    assert len(carried_out) == (not stands_still)
