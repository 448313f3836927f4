"""Tests of slots, queueing, ejection and endpoint choice."""

import pytest

from sardinespool.messages.capacity import SlotGrant
from sardinespool.routing.endpoint_state import SLOW_START_MS
from sardinespool.routing.router import Router
from sardinespool.routing.router_events import EndpointsChanged
from sardinespool.routing.router_events import SlotResult
from sardinespool.routing.router_events import Tick
from sardinespool.routing.router_events import ViewReceived
from testing.routing import builders as build


def fill(router: Router, count: int, elapsed_ms: int = 0) -> list[str]:
    """Request slots; return the workers of those assigned at once."""
    workers = []
    for number in range(count):
        effects = build.request_slot(
            router, f"fill{elapsed_ms}/{number}", elapsed_ms
        )
        workers += [worker for _, worker in build.assigned(effects)]
    return workers


@pytest.mark.parametrize(
    ("entry_count", "granted", "elapsed_ms", "usable"),
    [
        (2, 0, 0, 4),
        (3, 0, 0, 2),
        (3, 2, 0, 4),
        # The grant has expired; the floor does not depend on the store.
        (3, 2, 3_000, 2),
        (16, 1, 0, 1),
    ],
)
def test_usable_slots_are_floor_and_live_grant(
    entry_count: int, granted: int, elapsed_ms: int, usable: int
) -> None:
    """Guards against using slots that may belong to another entry."""
    grant = SlotGrant(
        worker_id="w0",
        slots=granted,
        deadline_unix_ms=build.START.unix_ms + 3_000,
    )
    router = build.make_router((build.endpoint(0, 8),), (grant,), entry_count)
    assert router.table.usable_slots("seats", build.at(elapsed_ms)) == usable
    later_ms = build.DEADLINE_MS + 9_000
    given = 0
    for number in range(9):
        effects = build.request_slot(
            router, f"t{number}", elapsed_ms, deadline_unix_ms=later_ms
        )
        given += len(build.assigned(effects))
    assert given == usable


def test_bounded_queue_is_fair_between_users() -> None:
    """Guards against one user filling the queue of a service."""
    router = build.make_router((build.endpoint(0, 1),), queue_length=4)
    build.request_slot(router, "running")
    for number in range(4):
        assert build.request_slot(router, f"a{number}", user="a") == []
    # The newest request of the user with the most requests is displaced.
    assert build.refused(build.request_slot(router, "b0", user="b")) == [
        ("a3", "queue-full")
    ]
    assert build.refused(build.request_slot(router, "a4", user="a")) == [
        ("a4", "queue-full")
    ]
    order = []
    ticket = "running"
    for _ in range(4):
        ((ticket, _),) = build.assigned(build.release_slot(router, ticket))
        order.append(ticket)
    assert order == ["a0", "b0", "a1", "a2"]


def test_latency_critical_is_served_before_batch() -> None:
    """Guards against latency-critical requests queued behind batch."""
    router = build.make_router((build.endpoint(0, 1),))
    build.request_slot(router, "running")
    build.request_slot(router, "batch", service="report")
    build.request_slot(router, "critical", service="seats")
    ((first, _),) = build.assigned(build.release_slot(router, "running"))
    assert first == "critical"


@pytest.mark.parametrize(
    ("waiting", "slack_ms", "code"),
    [
        (0, 0, "deadline-unreachable"),
        (0, 150, "deadline-unreachable"),
        (0, 250, None),
        (3, 450, "deadline-unreachable"),
        (3, 600, None),
    ],
)
def test_unreachable_deadline_is_refused_at_once(
    waiting: int, slack_ms: int, code: str | None
) -> None:
    """Guards against queueing requests that will miss their deadline."""
    router = build.make_router((build.endpoint(0, 1),))
    build.request_slot(router, "first")
    build.release_slot(router, "first", latency_ms=100.0)
    build.request_slot(router, "running")
    for number in range(waiting):
        build.request_slot(router, f"w{number}")
    deadline_unix_ms = build.START.unix_ms + slack_ms
    effects = build.request_slot(
        router, "new", deadline_unix_ms=deadline_unix_ms
    )
    assert build.refused(effects) == ([("new", code)] if code else [])


def test_queued_request_is_refused_at_its_deadline() -> None:
    """Guards against sending a queued request after its deadline."""
    router = build.make_router((build.endpoint(0, 1),))
    build.request_slot(router, "running")
    build.request_slot(
        router, "late", deadline_unix_ms=build.START.unix_ms + 100
    )
    build.request_slot(router, "next")
    effects = build.release_slot(router, "running", elapsed_ms=100)
    assert build.refused(effects) == [("late", "deadline-unreachable")]
    assert [ticket for ticket, _ in build.assigned(effects)] == ["next"]
    effects = router.handle(Tick(), build.at(2_000))
    assert build.refused(effects) == []
    assert router.queued() == 0


def test_leaving_endpoint_gets_no_new_requests() -> None:
    """Guards against new requests on an endpoint that is leaving."""
    router = build.make_router((build.endpoint(0), build.endpoint(1)))
    fill(router, 8)
    effects = router.handle(
        ViewReceived(
            build.view((build.endpoint(0, leaving=True), build.endpoint(1)))
        ),
        build.at(250),
    )
    (changed,) = [e for e in effects if isinstance(e, EndpointsChanged)]
    assert changed.addresses == {build.endpoint(1).address}
    for number in range(8):
        build.release_slot(router, f"fill0/{number}", 300)
    assert set(fill(router, 4, 300)) == {"w1"}
    router.handle(ViewReceived(build.view(())), build.at(500))
    assert build.refused(build.request_slot(router, "none", 500)) == [
        ("none", "no-endpoint")
    ]


def test_older_configuration_version_is_ignored() -> None:
    """Guards against adopting an older version from a delayed reply."""
    router = build.make_router((build.endpoint(0),))
    router.handle(ViewReceived(build.view(None, version=5)), build.at(250))
    router.handle(ViewReceived(build.view(None, version=4)), build.at(500))
    assert router.table.version == 5


@pytest.mark.parametrize(
    ("use", "lost_contact_ms", "until_ms"),
    [
        (SlotResult.REFUSED, 0, 1_000),
        (SlotResult.REFUSED, 3_001, 60_000),
        (SlotResult.UNREACHABLE, 3_001, 1_000),
    ],
)
def test_refused_endpoint_is_not_used_for_a_while(
    use: SlotResult, lost_contact_ms: int, until_ms: int
) -> None:
    """Guards against using an endpoint that left during a group outage."""
    router = build.make_router((build.endpoint(0, 40), build.endpoint(1, 40)))
    now_ms = lost_contact_ms
    ((_, worker),) = build.assigned(
        build.request_slot(router, "r", now_ms, deadline_unix_ms=9**15)
    )
    build.release_slot(router, "r", now_ms, use)
    state = {each.endpoint.worker_id: each for each in router.table}[worker]
    assert not state.is_usable(build.at(now_ms + until_ms - 1))
    router.handle(ViewReceived(build.view(None)), build.at(now_ms + until_ms))
    assert state.is_usable(build.at(now_ms + until_ms))


def test_new_endpoint_gets_a_slow_start() -> None:
    """Guards against sending full load to a cold endpoint."""
    router = build.make_router((build.endpoint(0, 40),))
    both = (build.endpoint(0, 40), build.endpoint(1, 40))
    router.handle(ViewReceived(build.view(both)), build.at(1_000))
    table = {each.endpoint.worker_id: each for each in router.table}
    slots = [
        table["w1"].ramped_slots(build.at(1_000 + elapsed_ms))
        for elapsed_ms in (0, 1_000, 2_500, 5_000)
    ]
    assert slots == [4, 8, 20, 40]
    # Endpoints that existed before the entry have no slow start.
    assert table["w0"].ramped_slots(build.at(1_000)) == 40


def test_restarted_endpoint_has_fresh_state() -> None:
    """Guards against counting slots of a worker's earlier incarnation."""
    router = build.make_router((build.endpoint(0, 2),))
    fill(router, 2)
    again = build.endpoint(0, 2, incarnation=2)
    router.handle(ViewReceived(build.view((again,))), build.at(10_000))
    build.release_slot(router, "fill0/0", 10_000)
    (state,) = router.table
    assert state.outstanding == 0


def fail_requests_on(
    router: Router, worker_ids: set[str], elapsed_ms: int
) -> None:
    """Fail every request on some workers and answer all others."""
    for number in range(200):
        ticket = f"{elapsed_ms}/{number}"
        for _, worker in build.assigned(
            build.request_slot(
                router, ticket, elapsed_ms, deadline_unix_ms=9**15
            )
        ):
            failed = worker in worker_ids
            use = SlotResult.FAILED if failed else SlotResult.ANSWERED
            build.release_slot(router, ticket, elapsed_ms, use)


@pytest.mark.parametrize(
    ("count", "failing", "ejected"), [(2, 1, 0), (3, 1, 1), (6, 5, 2)]
)
def test_at_most_a_third_of_endpoints_is_ejected(
    count: int, failing: int, ejected: int
) -> None:
    """Guards against a service fault that ejects every endpoint."""
    router = build.make_router(tuple(build.endpoint(n) for n in range(count)))
    fail_requests_on(router, {f"w{n}" for n in range(failing)}, 0)
    assert sum(s.is_ejected(build.START) for s in router.table) == ejected


def test_ejection_time_doubles() -> None:
    """Guards against a failing endpoint that returns every second."""
    router = build.make_router(tuple(build.endpoint(n) for n in range(3)))
    durations = []
    now_ms = 0
    for _ in range(3):
        fail_requests_on(router, {"w0"}, now_ms)
        state = next(iter(router.table))
        duration_ms = state.ejected_until_boot_ms - build.at(now_ms).boot_ms
        durations.append(duration_ms)
        # The slow start after the ejection would give it few requests.
        now_ms += duration_ms + SLOW_START_MS
    assert durations == [1_000, 2_000, 4_000]


@pytest.mark.parametrize(("slow_ms", "expected"), [(200.0, 1), (25.0, 0)])
def test_endpoint_with_slow_tail_is_ejected(
    slow_ms: float, expected: int
) -> None:
    """Guards against one slow host that dominates the tail latency."""
    router = build.make_router(tuple(build.endpoint(n) for n in range(3)))
    for wave in range(10):
        workers: dict[str, str] = {}
        # All slots are used at once, so that the slow endpoint gets samples.
        for number in range(12):
            effects = build.request_slot(
                router, f"{wave}/{number}", deadline_unix_ms=9**15
            )
            workers.update(build.assigned(effects))
        for ticket, worker in workers.items():
            latency_ms = slow_ms if worker == "w0" else 10.0
            build.release_slot(router, ticket, latency_ms=latency_ms)
    assert sum(s.is_ejected(build.START) for s in router.table) == expected


def test_endpoint_with_more_slots_gets_more_requests() -> None:
    """Guards against ignoring the number of slots of an endpoint."""
    router = build.make_router((build.endpoint(0, 4), build.endpoint(1, 12)))
    workers = fill(router, 8)
    assert workers.count("w1") > workers.count("w0") > 0


def test_retry_goes_to_another_endpoint() -> None:
    """Guards against a retry on the endpoint that just failed."""
    router = build.make_router((build.endpoint(0), build.endpoint(1)))
    for number in range(4):
        effects = build.request_slot(
            router, f"r{number}", excluded=frozenset({"w0"})
        )
        assert build.assigned(effects) == [(f"r{number}", "w1")]
    single_endpoint_router = build.make_router((build.endpoint(0),))
    assert build.assigned(
        build.request_slot(
            single_endpoint_router, "r", excluded=frozenset({"w0"})
        )
    )


@pytest.mark.parametrize("user", ["", "other"])
def test_queued_retry_does_not_block_free_slots(user: str) -> None:
    """Guards against a queued retry that blocks its service's queue."""
    router = build.make_router((build.endpoint(0, 1), build.endpoint(1, 1)))
    held = {}
    for ticket in ("a", "b"):
        ((_, worker),) = build.assigned(build.request_slot(router, ticket))
        held[worker] = ticket
    build.request_slot(router, "retry", excluded=frozenset({"w0"}))
    build.request_slot(router, "first", user=user)
    build.request_slot(router, "second", user=user)
    effects = build.release_slot(router, held["w0"])
    assert build.assigned(effects) == [("first", "w0")]
    # The retry keeps its position until another endpoint has a free slot.
    effects = build.release_slot(router, held["w1"])
    assert build.assigned(effects) == [("retry", "w1")]
    assert router.queued() == 1


def test_queued_requests_count_as_demand() -> None:
    """Guards against an entry without floor slots never getting a grant."""
    router = build.make_router((build.endpoint(0, 1),), entry_count=2)
    assert build.request_slot(router, "waits") == []
    demands = router.table.collect_demands(router.queued_by_service())
    assert [(d.worker_id, d.in_use) for d in demands] == [("w0", 1)]
    grant = SlotGrant(
        worker_id="w0", slots=1, deadline_unix_ms=build.START.unix_ms + 3_000
    )
    effects = router.handle(
        ViewReceived(build.view(None, (grant,))), build.at(250)
    )
    assert build.assigned(effects) == [("waits", "w0")]
