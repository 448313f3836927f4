"""Tests of callers' requests through a complete entry."""

import asyncio

import pytest

from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from testing.entry.harness import running_entry
from testing.entry.scripted_server import RecordedRequest
from testing.entry.scripted_server import reply
from testing.entry.scripted_server import run_async
from testing.entry.scripted_server import Script
from testing.entry.scripted_server import ScriptedServer

SEAT = "/v1/services/seats/course/7?day=2"
DEADLINE = "Sardinespool_Deadline_Unix_Ms"


async def truncate_answer(received: RecordedRequest) -> None:
    received.writer.write(received.answer()[:-1])
    received.writer.close()


async def answer_not_run(received: RecordedRequest) -> None:
    data = received.answer(
        extra="Sardinespool-Not-Run: true\r\n",
        status="503 Service Unavailable",
    )
    received.writer.write(data)


@pytest.mark.parametrize(
    ("target", "options", "status", "code"),
    [
        (SEAT, {"token": ""}, 401, "authentication"),
        (SEAT, {"token": "none"}, 401, "authentication"),
        (SEAT, {"token": "worker"}, 403, "permission-denied"),
        ("/v1/services/none/x", {}, 404, "service-not-found"),
        ("/v1/services/", {}, 404, "path-not-found"),
        ("/v2/x", {}, 404, "path-not-found"),
        (SEAT, {"Idempotency_Key": "a b"}, 400, "invalid-request"),
        (SEAT, {"Sardinespool_Idempotent": "yes"}, 400, "invalid-request"),
        (SEAT, {DEADLINE: "-1"}, 400, "invalid-request"),
        (SEAT, {DEADLINE: "1"}, 503, "deadline-unreachable"),
        (SEAT, {"body": b"x" * 10_001}, 413, "body-too-large"),
    ],
)
@run_async
async def test_refusals_are_typed_and_not_run(
    target: str, options: dict[str, str], status: int, code: str
) -> None:
    """Guards against a refusal that does not state its outcome (R6)."""
    async with (
        ScriptedServer(reply) as server,
        running_entry([server.address]) as entry,
    ):
        answer = await entry.fetch("POST", target, **options)  # type: ignore[arg-type]
        assert (answer.status, answer.outcome) == (status, "not-run")
        assert answer.json()["code"] == code
        assert not server.requests


@run_async
async def test_entry_refuses_requests_before_first_sync() -> None:
    """Guards against serving requests without an approved configuration."""
    async with running_entry(sync=False) as entry:
        answer = await entry.fetch("GET", SEAT)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.json()["code"] == "not-ready"
        assert (await entry.fetch("GET", "/ready")).status == 503
        assert (await entry.fetch("GET", "/health")).status == 200
        await entry.components.sync.sync()
        assert (await entry.fetch("GET", "/ready")).status == 200


@run_async
async def test_idempotent_request_headers_and_answer() -> None:
    """Guards against leaking the caller's token and losing headers."""

    async def script(received: RecordedRequest) -> None:
        extra = "X-Seat: 3\r\nSardinespool-Outcome: forged\r\n"
        received.writer.write(received.answer(b"free", extra))

    async with (
        ScriptedServer(script) as server,
        running_entry([server.address]) as entry,
    ):
        answer = await entry.fetch("GET", SEAT, X_Lang="es")
        assert (answer.status, answer.body) == (200, b"free")
        assert answer.outcome == "answered"
        assert answer.headers["x-seat"] == "3"
        (received,) = server.requests
        assert received.head.startswith("GET /seats/course/7?day=2 ")
        assert received.header("authorization") == ""
        assert received.header("x-lang") == "es"
        assert received.header("sardinespool-deadline-unix-ms")
        assert not entry.own_group.of_type(BeginRequest)


@pytest.mark.parametrize("failure", [truncate_answer, answer_not_run])
@run_async
async def test_idempotent_request_is_retried(
    failure: Script,
) -> None:
    """Guards against returning one endpoint's failure to the caller."""
    async with (
        ScriptedServer(failure) as bad,
        ScriptedServer(reply) as good,
        running_entry([bad.address, good.address]) as entry,
    ):
        while not bad.requests:
            answer = await entry.fetch("GET", SEAT)
            assert (answer.status, answer.outcome) == (200, "answered")


@run_async
async def test_repeated_key_gets_the_stored_answer() -> None:
    """Guards against running a request twice for one key (R7)."""
    async with (
        ScriptedServer(reply) as server,
        running_entry([server.address]) as entry,
    ):
        first = await entry.fetch("POST", SEAT, b"seat 3")
        key = first.headers["sardinespool-key"]
        assert key.startswith("centro.inc.")
        again = await entry.fetch("POST", SEAT, b"seat 3", Idempotency_Key=key)
        assert (again.status, again.body) == (200, first.body)
        assert again.outcome == "answered"
        other = await entry.fetch("POST", SEAT, b"seat 4", Idempotency_Key=key)
        assert (other.status, other.outcome) == (409, "not-run")
        assert len(server.requests) == 1
        assert server.requests[0].header("idempotency-key") == key


@run_async
async def test_lost_answer_stays_unknown() -> None:
    """Guards against a second run after a lost answer (R7)."""
    async with (
        ScriptedServer(truncate_answer) as server,
        running_entry([server.address]) as entry,
    ):
        first = await entry.fetch("POST", SEAT, b"seat 3")
        assert (first.status, first.outcome) == (504, "unknown")
        key = first.headers["sardinespool-key"]
        server.script = reply
        again = await entry.fetch("POST", SEAT, b"seat 3", Idempotency_Key=key)
        assert (again.status, again.outcome) == (504, "unknown")
        assert len(server.requests) == 1
        (finish,) = entry.own_group.of_type(FinishRequest)
        assert finish.answer is None


@run_async
async def test_refused_request_runs_once_on_another_endpoint() -> None:
    """Guards against a graceful worker stop that fails requests (R9)."""
    async with (
        ScriptedServer(answer_not_run) as leaving,
        ScriptedServer(reply) as server,
        running_entry([leaving.address, server.address]) as entry,
    ):
        request_count = 0
        while not leaving.requests:
            request_count += 1
            answer = await entry.fetch("POST", SEAT, b"seat")
            assert (answer.status, answer.outcome) == (200, "answered")
        assert len(server.requests) == request_count


@run_async
async def test_requests_continue_while_group_is_unreachable() -> None:
    """Guards against a store outage that stops requests on floor slots."""
    async with (
        ScriptedServer(reply) as server,
        running_entry([server.address]) as entry,
    ):
        entry.own_group.reachable = False
        assert not await entry.components.sync.sync()
        assert not await entry.components.sync.sync()
        answer = await entry.fetch("GET", SEAT)
        assert answer.outcome == "answered"
        # A request without a key gets a key with another home.
        answer = await entry.fetch("POST", SEAT, b"seat")
        assert answer.outcome == "answered"
        assert entry.other_group.of_type(BeginRequest)
        # A caller's key of this domain has no other home.
        key = f"centro.inc.1.{'0a' * 16}"
        answer = await entry.fetch("POST", SEAT, Idempotency_Key=key)
        assert (answer.status, answer.outcome) == (503, "not-run")
        entry.own_group.reachable = True


@pytest.mark.parametrize("method", ["GET", "POST"])
@run_async
async def test_domain_without_endpoint_forwards_once(method: str) -> None:
    """Guards against refusing requests without forwarding them."""

    async def script(received: RecordedRequest) -> None:
        extra = "Sardinespool-Outcome: not-run\r\n"
        data = received.answer(b"{}", extra, "429 Too Many Requests")
        received.writer.write(data)

    async with (
        ScriptedServer(script) as neighbour,
        running_entry(other_entry=neighbour.address) as entry,
    ):
        answer = await entry.fetch(method, SEAT)
        assert (answer.status, answer.outcome) == (429, "not-run")
        (received,) = neighbour.requests
        assert received.head.startswith(f"{method} {SEAT} ")
        assert received.header("sardinespool-forwarded") == "1"
        assert received.header("authorization") == "Bearer caller"
        key = received.header("idempotency-key")
        assert bool(key) == (method == "POST")
        assert answer.headers.get("sardinespool-key", "") == key
        # A forwarded request is not forwarded again.
        answer = await entry.fetch(
            method,
            SEAT,
            Sardinespool_Forwarded="1",
            Sardinespool_Request_Id="their-id",
        )
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.headers["sardinespool-request-id"] == "their-id"
        assert len(neighbour.requests) == 1


@run_async
async def test_graceful_stop_finishes_running_requests() -> None:
    """Guards against a graceful stop that fails requests (R9)."""
    arrived = asyncio.Event()
    resume = asyncio.Event()

    async def slow(received: RecordedRequest) -> None:
        arrived.set()
        await resume.wait()
        await reply(received)

    async with (
        ScriptedServer(slow) as server,
        running_entry([server.address]) as entry,
    ):
        running = asyncio.create_task(entry.fetch("POST", SEAT, b"seat"))
        await arrived.wait()
        stopping = asyncio.create_task(entry.stop())
        # The refusal on a new connection shows that the stop has begun.
        refused = await entry.fetch("GET", SEAT)
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert (await entry.fetch("GET", "/ready")).status == 503
        resume.set()
        assert (await running).outcome == "answered"
        await stopping
        last = entry.own_group.received[-1]
        assert isinstance(last, EntrySync)
        assert last.stopping
