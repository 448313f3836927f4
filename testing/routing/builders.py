"""Builders of the values that the routing tests share."""

import random

from sardinespool.clock import Instant
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.capacity import SlotGrant
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.requests import StoredResponse
from sardinespool.routing.fair_queue import QueuedRequest
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.router import Router
from sardinespool.routing.router_events import RouterEffect
from sardinespool.routing.router_events import SlotAssigned
from sardinespool.routing.router_events import SlotRefused
from sardinespool.routing.router_events import SlotReleased
from sardinespool.routing.router_events import SlotRequested
from sardinespool.routing.router_events import SlotResult
from sardinespool.routing.router_events import ViewReceived

START = Instant(1_000_000, 1_700_000_000_000)
DEADLINE_MS = START.unix_ms + 2_000
DOMAINS = ("centro", "norte", "sur")
ANSWER = StoredResponse(status=200, headers=(("A", "b"),), body=b"done")
SERVICES = {
    "services/seats": {"kind": "latency-critical"},
    "services/report": {"kind": "batch"},
}


def at(elapsed_ms: int) -> Instant:
    """Return the instant `elapsed_ms` after `START`."""
    return START.after(elapsed_ms)


def endpoint(
    number: int, slots: int = 4, leaving: bool = False, incarnation: int = 1
) -> Endpoint:
    return Endpoint(
        worker_id=f"w{number}",
        incarnation=incarnation,
        address=f"10.0.0.{number + 1}:80",
        services=("seats", "report"),
        slots=slots,
        connections=64,
        leaving=leaving,
    )


def view(
    endpoints: tuple[Endpoint, ...] | None,
    grants: tuple[SlotGrant, ...] = (),
    version: int = 1,
) -> EntryView:
    return EntryView(
        unix_ms=START.unix_ms,
        group_incarnation="inc",
        version=version,
        configuration=Configuration(version=version, values=SERVICES),
        table_version=version,
        endpoints=endpoints,
        grants=grants,
    )


def make_router(
    endpoints: tuple[Endpoint, ...],
    grants: tuple[SlotGrant, ...] = (),
    entry_count: int = 1,
    queue_length: int = 64,
) -> Router:
    router = Router(entry_count, queue_length, seed=7)
    router.handle(ViewReceived(view(endpoints, grants)), START)
    return router


def request_slot(
    router: Router,
    ticket: str,
    elapsed_ms: int = 0,
    service: str = "seats",
    user: str = "",
    deadline_unix_ms: int = DEADLINE_MS,
    excluded: frozenset[str] = frozenset(),
) -> list[RouterEffect]:
    waiting = QueuedRequest(ticket, service, user, deadline_unix_ms, excluded)
    return router.handle(SlotRequested(waiting), at(elapsed_ms))


def release_slot(
    router: Router,
    ticket: str,
    elapsed_ms: int = 0,
    use: SlotResult = SlotResult.ANSWERED,
    latency_ms: float = 10.0,
) -> list[RouterEffect]:
    return router.handle(SlotReleased(ticket, use, latency_ms), at(elapsed_ms))


def assigned(effects: list[RouterEffect]) -> list[tuple[str, str]]:
    """Return the ticket and worker of each assignment."""
    return [
        (effect.ticket, effect.worker_id)
        for effect in effects
        if isinstance(effect, SlotAssigned)
    ]


def refused(effects: list[RouterEffect]) -> list[tuple[str, str]]:
    """Return the ticket and error code of each refusal."""
    return [
        (effect.ticket, effect.error.code)
        for effect in effects
        if isinstance(effect, SlotRefused)
    ]


def plan(
    idempotent: bool, caller_key: str = "", forwarded: bool = False
) -> RequestPlan:
    return RequestPlan(
        request_id="e1-0-1",
        service="seats",
        user="",
        deadline_unix_ms=DEADLINE_MS,
        idempotent=idempotent,
        body_digest="d",
        caller_key=caller_key,
        forwarded=forwarded,
    )


def key_source() -> KeySource:
    source = KeySource("centro", DOMAINS, random.Random(3))
    source.group_incarnation = "inc"
    return source
