"""Callers' requests through a whole entry."""

import asyncio

import pytest

from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from testing.entry.harness import running_entry
from testing.entry.http_standin import HttpStandin
from testing.entry.http_standin import in_loop
from testing.entry.http_standin import Received
from testing.entry.http_standin import reply
from testing.entry.http_standin import Script

SEAT = "/v1/services/seats/course/7?day=2"
DEADLINE = "Sardinespool_Deadline_Unix_Ms"


async def cut(received: Received) -> None:
    received.writer.write(received.answer()[:-1])
    received.writer.close()


async def refuse(received: Received) -> None:
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
@in_loop
async def test_refusals_are_typed_and_not_run(
    target: str, options: dict[str, str], status: int, code: str
) -> None:
    """Guards against a refusal without its outcome (R6)."""
    async with (
        HttpStandin(reply) as standin,
        running_entry([standin.address]) as entry,
    ):
        answer = await entry.fetch("POST", target, **options)  # type: ignore[arg-type]
        assert (answer.status, answer.outcome) == (status, "not-run")
        assert answer.json()["code"] == code
        assert not standin.requests


@in_loop
async def test_entry_refuses_until_it_has_synchronised() -> None:
    """Guards against requests served without an approved configuration."""
    async with running_entry(sync=False) as entry:
        answer = await entry.fetch("GET", SEAT)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.json()["code"] == "not-ready"
        assert (await entry.fetch("GET", "/ready")).status == 503
        assert (await entry.fetch("GET", "/health")).status == 200
        await entry.parts.sync.sync()
        assert (await entry.fetch("GET", "/ready")).status == 200


@in_loop
async def test_idempotent_request_and_its_answer() -> None:
    """Guards against a caller's token at an endpoint, or lost headers."""

    async def script(received: Received) -> None:
        extra = "X-Seat: 3\r\nSardinespool-Outcome: forged\r\n"
        received.writer.write(received.answer(b"free", extra))

    async with (
        HttpStandin(script) as standin,
        running_entry([standin.address]) as entry,
    ):
        answer = await entry.fetch("GET", SEAT, X_Lang="es")
        assert (answer.status, answer.body) == (200, b"free")
        assert answer.outcome == "answered"
        assert answer.headers["x-seat"] == "3"
        (received,) = standin.requests
        assert received.head.startswith("GET /seats/course/7?day=2 ")
        assert received.header("authorization") == ""
        assert received.header("x-lang") == "es"
        assert received.header("sardinespool-deadline-unix-ms")
        assert not entry.domain.of_type(BeginRequest)


@pytest.mark.parametrize("failure", [cut, refuse])
@in_loop
async def test_idempotent_request_is_retried_elsewhere(
    failure: Script,
) -> None:
    """Guards against a caller who sees one endpoint's crash."""
    async with (
        HttpStandin(failure) as bad,
        HttpStandin(reply) as good,
        running_entry([bad.address, good.address]) as entry,
    ):
        while not bad.requests:
            answer = await entry.fetch("GET", SEAT)
            assert (answer.status, answer.outcome) == (200, "answered")


@in_loop
async def test_repeat_of_a_booking_gets_the_stored_answer() -> None:
    """Guards against a second booking for one key (R7)."""
    async with (
        HttpStandin(reply) as standin,
        running_entry([standin.address]) as entry,
    ):
        first = await entry.fetch("POST", SEAT, b"seat 3")
        key = first.headers["sardinespool-key"]
        assert key.startswith("centro.inc.")
        again = await entry.fetch("POST", SEAT, b"seat 3", Idempotency_Key=key)
        assert (again.status, again.body) == (200, first.body)
        assert again.outcome == "answered"
        other = await entry.fetch("POST", SEAT, b"seat 4", Idempotency_Key=key)
        assert (other.status, other.outcome) == (409, "not-run")
        assert len(standin.requests) == 1
        assert standin.requests[0].header("idempotency-key") == key


@in_loop
async def test_lost_booking_is_unknown_and_stays_so() -> None:
    """Guards against a second run after a lost answer (R7)."""
    async with (
        HttpStandin(cut) as standin,
        running_entry([standin.address]) as entry,
    ):
        first = await entry.fetch("POST", SEAT, b"seat 3")
        assert (first.status, first.outcome) == (504, "unknown")
        key = first.headers["sardinespool-key"]
        standin.script = reply
        again = await entry.fetch("POST", SEAT, b"seat 3", Idempotency_Key=key)
        assert (again.status, again.outcome) == (504, "unknown")
        assert len(standin.requests) == 1
        (finish,) = entry.domain.of_type(FinishRequest)
        assert finish.answer is None


@in_loop
async def test_refused_booking_runs_on_another_endpoint_once() -> None:
    """Guards against a planned stop of a worker that callers see (R9)."""
    async with (
        HttpStandin(refuse) as leaving,
        HttpStandin(reply) as standin,
        running_entry([leaving.address, standin.address]) as entry,
    ):
        bookings = 0
        while not leaving.requests:
            bookings += 1
            answer = await entry.fetch("POST", SEAT, b"seat")
            assert (answer.status, answer.outcome) == (200, "answered")
        assert len(standin.requests) == bookings


@in_loop
async def test_lost_group_does_not_stop_idempotent_requests() -> None:
    """Guards against an outage of the store that stops the floors."""
    async with (
        HttpStandin(reply) as standin,
        running_entry([standin.address]) as entry,
    ):
        entry.domain.reachable = False
        assert not await entry.parts.sync.sync()
        assert not await entry.parts.sync.sync()
        answer = await entry.fetch("GET", SEAT)
        assert answer.outcome == "answered"
        # A booking without a key finds another home.
        answer = await entry.fetch("POST", SEAT, b"seat")
        assert answer.outcome == "answered"
        assert entry.other.of_type(BeginRequest)
        # A key of this domain has no other home.
        key = f"centro.inc.1.{'0a' * 16}"
        answer = await entry.fetch("POST", SEAT, Idempotency_Key=key)
        assert (answer.status, answer.outcome) == (503, "not-run")
        entry.domain.reachable = True


@pytest.mark.parametrize("method", ["GET", "POST"])
@in_loop
async def test_domain_without_endpoint_forwards_once(method: str) -> None:
    """Guards against a domain without endpoints that refuses requests."""

    async def script(received: Received) -> None:
        extra = "Sardinespool-Outcome: not-run\r\n"
        data = received.answer(b"{}", extra, "429 Too Many Requests")
        received.writer.write(data)

    async with (
        HttpStandin(script) as neighbour,
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
        # What came from another entry goes no further.
        answer = await entry.fetch(
            method,
            SEAT,
            Sardinespool_Forwarded="1",
            Sardinespool_Request_Id="their-id",
        )
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.headers["sardinespool-request-id"] == "their-id"
        assert len(neighbour.requests) == 1


@in_loop
async def test_stop_finishes_what_is_in_progress() -> None:
    """Guards against a planned stop that callers see (R9)."""
    arrived = asyncio.Event()
    go_on = asyncio.Event()

    async def slow(received: Received) -> None:
        arrived.set()
        await go_on.wait()
        await reply(received)

    async with (
        HttpStandin(slow) as standin,
        running_entry([standin.address]) as entry,
    ):
        running = asyncio.create_task(entry.fetch("POST", SEAT, b"seat"))
        await arrived.wait()
        stopping = asyncio.create_task(entry.stop())
        # A request on a new connection shows that the stop has begun.
        refused = await entry.fetch("GET", SEAT)
        assert (refused.status, refused.outcome) == (503, "not-run")
        assert (await entry.fetch("GET", "/ready")).status == 503
        go_on.set()
        assert (await running).outcome == "answered"
        await stopping
        last = entry.domain.received[-1]
        assert isinstance(last, EntrySync)
        assert last.stopping
