"""Lease renewals over the client's connections to a worker."""

import asyncio
import json
import socket
from typing import Any

import pytest

from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import StopRun
from sardinespool.dispatch.orders import Withheld
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.platform import worker_client
from sardinespool.platform.worker_client import WorkerClient
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ReceivedRequest
from sardinespool.transport.http_server import ServerLimits
from sardinespool.transport.indexed_http_connections import (
    IndexedHttpConnections,
)


class StubWorker:
    """Answers lease renewals and records what they acknowledge."""

    def __init__(self, address: str, incarnation: int, body: bytes) -> None:
        self.acknowledged: list[int] = []
        self._body = (
            body
            or json.dumps(
                {
                    "clock_ms": 1,
                    "running": [],
                    "ended": [],
                    "born": incarnation,
                }
            ).encode()
        )
        self._listener = HttpListener(address, self, ServerLimits(10_000))

    async def __call__(self, received: ReceivedRequest) -> HttpResponse:
        body = json.loads(received.request.body)
        self.acknowledged.append(body["ack_cursor"])
        return HttpResponse(
            200, (("Content-Type", "application/json"),), self._body
        )

    def start(self) -> None:
        self._listener.start()

    async def stop(self) -> None:
        await self._listener.stop()


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def describe(address: str, incarnation: int) -> WorkerDescription:
    return WorkerDescription(
        worker_id="w",
        incarnation=incarnation,
        address=address,
        pool="p",
        failure_domain="centro",
        host="h",
        labels=(),
        processors_millicores=1_000,
        memory_mb=1_000,
        accelerators=0,
    )


def repr_short(value: object) -> str:
    return repr(value)[:20]


async def renew(
    client: WorkerClient, worker: WorkerDescription, count: int
) -> list[object]:
    renewal = RenewLease(fencing_token=1, acknowledged_end=57, wait_ms=0)
    return [
        await client.renew_lease(worker, renewal, 1_000, lambda: True)
        for _ in range(count)
    ]


def test_restarted_worker_keeps_its_unrecorded_ends() -> None:
    """Guards against an acknowledgement meant for the earlier process.

    The worker starts anew under its id and address, and the client does not
    know that yet.
    """

    async def run() -> tuple[list[int], list[int]]:
        address = free_address()
        client = WorkerClient(IndexedHttpConnections())
        first = StubWorker(address, 1, b"")
        first.start()
        await renew(client, describe(address, 1), 3)
        await first.stop()
        second = StubWorker(address, 2, b"")
        second.start()
        while not second.acknowledged:
            await renew(client, describe(address, 1), 1)
        await renew(client, describe(address, 1), 2)
        await renew(client, describe(address, 2), 1)
        client.close_connections("w")
        await second.stop()
        return first.acknowledged, second.acknowledged

    first, second = asyncio.run(run())
    assert first == [0, 57, 57]
    assert second == [0, 0, 0, 57]


@pytest.mark.parametrize(
    ("body", "answer"),
    [
        (b'{"clock_ms":1}', LeaseRenewed(1, None, (), ())),
        (b"[]", NoAnswer(sent=True, reason="invalid hold response")),
        (b"\xff", NoAnswer(sent=True, reason="invalid hold response")),
        (
            b'{"clock_ms":1,"ended":[[1,"t",1,"unheard",""]]}',
            NoAnswer(sent=True, reason="invalid hold response"),
        ),
    ],
)
def test_answers_without_start_time_or_meaning(
    body: bytes, answer: object
) -> None:
    """Guards against ends that are acknowledged to an unknown process."""

    async def run() -> tuple[list[object], list[int]]:
        address = free_address()
        client = WorkerClient(IndexedHttpConnections())
        worker = StubWorker(address, 1, body)
        worker.start()
        answers = await renew(client, describe(address, 1), 2)
        client.close_connections("w")
        await worker.stop()
        return answers, worker.acknowledged

    answers, acknowledged = asyncio.run(run())
    assert answers == [answer, answer]
    known = isinstance(answer, LeaseRenewed)
    assert acknowledged == [0, 57 if known else 0]


@pytest.mark.parametrize("kind", ["renewal", "order"])
def test_nothing_is_sent_after_the_right_to_send_has_ended(kind: str) -> None:
    """Guards against orders of a member that no longer leads.

    Its lease ends while the connection to the worker is being opened, as when
    the process is paused.
    """

    async def run() -> tuple[object, list[int]]:
        address = free_address()
        connections = IndexedHttpConnections()
        client = WorkerClient(connections)
        worker = StubWorker(address, 1, b"")
        worker.start()
        leads = [True]
        connect = connections.connect

        async def connect_and_pause(*arguments: Any) -> Any:
            connection = await connect(*arguments)
            leads[0] = False
            return connection

        connections.connect = connect_and_pause  # type: ignore[method-assign]
        description = describe(address, 1)
        answer: object
        if kind == "renewal":
            answer = await client.renew_lease(
                description, RenewLease(1, 57, 0), 1_000, lambda: leads[0]
            )
        else:
            answer = await client.order(
                description, 0, StopRun("t", 1, 1), 1_000, lambda: leads[0]
            )
        client.close_connections("w")
        await worker.stop()
        return answer, worker.acknowledged

    assert asyncio.run(run()) == (Withheld(), [])


class SequenceWorker:
    """Sends the given answers in turn, the last one for good."""

    def __init__(self, address: str, *answers: tuple[int, bytes]) -> None:
        self._answers = list(answers)
        self.listener = HttpListener(address, self, ServerLimits(10_000))

    async def __call__(self, received: ReceivedRequest) -> HttpResponse:
        status, body = self._answers[0]
        if len(self._answers) > 1:
            del self._answers[0]
        return HttpResponse(status, (), body)


DEEP = b'{"clock_ms":1,"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
LARGE = b'{"clock_ms":' + b"9" * 400 + b"}"
GOOD = b'{"clock_ms":7,"running":[],"ended":[],"born":1}'


@pytest.mark.parametrize("body", [DEEP, LARGE, b"\xff", b""], ids=repr_short)
@pytest.mark.parametrize(
    ("status", "order_answer"),
    [
        (200, OrderDone(None)),
        (409, OrderRefused(Refusal.INVALID)),
        (503, OrderRefused(Refusal.UNHEALTHY)),
        (299, NoAnswer(sent=True, reason="status 299")),
        (500, NoAnswer(sent=True, reason="status 500")),
    ],
)
def test_next_answer_counts_after_an_odd_one(
    body: bytes,
    status: int,
    order_answer: object,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a worker that stays unused after one odd answer.

    The status of an odd answer still tells whether an order was carried out.
    """
    warnings: list[str] = []
    monkeypatch.setattr(
        worker_client._LOG,
        "warning",
        lambda event, **fields: warnings.append(event),
    )

    async def run() -> list[object]:
        address = free_address()
        client = WorkerClient(IndexedHttpConnections())
        stub = SequenceWorker(
            address, (status, body), (200, GOOD), (status, body), (200, GOOD)
        )
        stub.listener.start()
        worker = describe(address, 1)
        answers: list[object] = [
            await client.order(
                worker, 0, StopRun("t", 1, 1), 60_000, lambda: True
            )
            for _ in range(2)
        ]
        renewal = RenewLease(1, 0, 0)
        answers += [
            await client.renew_lease(worker, renewal, 60_000, lambda: True)
            for _ in range(2)
        ]
        client.close_connections("w")
        await stub.listener.stop()
        return answers

    first, second, odd_renewal, good_renewal = asyncio.run(run())
    assert first == order_answer
    assert second == OrderDone(7)
    assert not isinstance(odd_renewal, LeaseRenewed)
    assert good_renewal == LeaseRenewed(7, 1, (), ())
    assert len(warnings) == (status == 200)


async def close_after_request(listener: socket.socket) -> None:
    """Take one connection and close it once a request has arrived."""
    loop = asyncio.get_running_loop()
    connection, _ = await loop.sock_accept(listener)
    await loop.sock_recv(connection, 1_000)
    connection.close()


@pytest.mark.parametrize(
    ("worker", "sent", "closed"),
    [
        ("refuses", False, True),
        ("closes", True, True),
        ("silent", True, False),
    ],
)
@pytest.mark.parametrize("kind", ["renewal", "order"])
def test_closed_connections_are_told_from_silence(
    kind: str, worker: str, sent: bool, closed: bool
) -> None:
    """Guards against a worker that is cut off and counts as crashed."""

    async def run(listener: socket.socket) -> object:
        host, port = listener.getsockname()
        description = describe(f"{host}:{port}", 1)
        client = WorkerClient(IndexedHttpConnections())
        if worker != "refuses":
            listener.listen()
        closing = asyncio.create_task(
            close_after_request(listener)
            if worker == "closes"
            else asyncio.sleep(0)
        )
        answer: object
        if kind == "renewal":
            answer = await client.renew_lease(
                description, RenewLease(1, 0, 0), 200, lambda: True
            )
        else:
            answer = await client.order(
                description, 0, StopRun("t", 1, 1), 200, lambda: True
            )
        await closing
        client.close_connections("w")
        return answer

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.setblocking(False)
        answer = asyncio.run(run(listener))
    assert isinstance(answer, NoAnswer)
    assert (answer.sent, answer.closed) == (sent, closed)
