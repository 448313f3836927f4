"""Tests of non-idempotent requests, which run at most once."""

import pytest

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.requests import KeyReusedError
from sardinespool.errors.requests import NoEndpointError
from sardinespool.errors.requests import QueueFullError
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import FinishRequest
from sardinespool.routing import request_effects as effects
from sardinespool.routing import request_events as events
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.keys import locate_key
from sardinespool.routing.request_flow import RequestFlow
from sardinespool.routing.retry_budget import RetryBudget
from sardinespool.routing.router_events import SlotResult
from testing.routing import builders as build

GRANTED = BeginReply(state="granted")
RUNNING = BeginReply(state="running")
UNAVAILABLE = GroupUnavailableError("no leader")


def make_flow(
    caller_key: str = "",
    forwarded: bool = False,
    keys: KeySource | None = None,
    retries: bool = False,
) -> RequestFlow:
    budget = RetryBudget(0.0)
    if not retries:
        budget.take()
    return RequestFlow(
        build.plan(False, caller_key, forwarded),
        "e1",
        budget,
        keys or build.key_source(),
    )


def slot(number: int) -> events.SlotGiven:
    return events.SlotGiven(number, f"w{number}", f"10.0.0.{number}:80", 8)


def advance_to_begin(flow: RequestFlow) -> effects.Begin:
    """Advance a flow with a generated key to its begin."""
    flow.handle(events.Started(True), build.at(0))
    (begin,) = flow.handle(slot(1), build.at(0))
    assert isinstance(begin, effects.Begin)
    return begin


def advance_to_send(flow: RequestFlow) -> effects.Send:
    """Advance a flow with a generated key to its only send."""
    begin = advance_to_begin(flow)
    (send,) = flow.handle(
        events.BeginAnswered(begin.attempt, GRANTED), build.at(5)
    )
    assert isinstance(send, effects.Send)
    return send


def test_begin_precedes_send_and_store_precedes_reply() -> None:
    """Guards against a send without a record or an unstored answer."""
    flow = make_flow()
    assert flow.handle(events.Started(True), build.at(0)) == [
        effects.RequestSlot(1)
    ]
    (begin,) = flow.handle(slot(1), build.at(0))
    assert isinstance(begin, effects.Begin)
    assert begin.home == "centro"
    assert begin.request.send_deadline_unix_ms == build.DEADLINE_MS
    assert not flow.may_send_first_byte(build.at(1))
    flow.handle(events.BeginAnswered(1, GRANTED), build.at(5))
    assert flow.may_send_first_byte(build.at(5))
    result = events.SendEnded(1, events.Answered(build.ANSWER))
    returned, store, _ = flow.handle(result, build.at(15))
    assert returned == effects.ReleaseSlot(1, SlotResult.ANSWERED, 10.0)
    assert isinstance(store, effects.StoreOutcome)
    assert store.request == FinishRequest(
        key=begin.request.key,
        attempt_id=begin.request.attempt_id,
        answer=build.ANSWER,
    )
    (reply,) = flow.handle(events.OutcomeStored(), build.at(20))
    assert reply == effects.ReplyAnswered(build.ANSWER, begin.request.key)
    assert flow.done


@pytest.mark.parametrize(
    ("event", "elapsed_ms"),
    [
        (events.OutcomeNotStored(UNAVAILABLE), 100),
        (events.TimerExpired(), 2_000),
    ],
)
def test_unstored_answer_is_reported_unknown(
    event: events.FlowEvent, elapsed_ms: int
) -> None:
    """Guards against replying with an answer that a repeat can't get."""
    flow = make_flow()
    advance_to_send(flow)
    flow.handle(
        events.SendEnded(1, events.Answered(build.ANSWER)), build.at(15)
    )
    (reply,) = flow.handle(event, build.at(elapsed_ms))
    assert isinstance(reply, effects.ReplyUnknown)
    # The caller already has its reply; a later store has no effect.
    assert flow.handle(events.OutcomeStored(), build.at(2_100)) == []


def test_lost_exchange_is_unknown_and_not_retried() -> None:
    """Guards against running a non-idempotent request twice."""
    flow = make_flow(retries=True)
    advance_to_send(flow)
    lost = events.SendEnded(1, events.Lost("cut"))
    returned, reply, store = flow.handle(lost, build.at(10))
    assert returned == effects.ReleaseSlot(1, SlotResult.FAILED)
    assert isinstance(reply, effects.ReplyUnknown)
    assert isinstance(store, effects.StoreOutcome)
    assert isinstance(store.request, FinishRequest)
    assert store.request.answer is None
    assert flow.handle(events.OutcomeStored(), build.at(20)) == []
    assert flow.done


def test_unsent_request_moves_to_another_endpoint() -> None:
    """Guards against failing callers until a crashed endpoint's lease ends."""
    flow = make_flow()
    send = advance_to_send(flow)
    not_sent = events.SendEnded(1, events.NotSent("refused"))
    returned, wanted = flow.handle(not_sent, build.at(10))
    assert returned == effects.ReleaseSlot(1, SlotResult.UNREACHABLE)
    assert wanted == effects.RequestSlot(2, frozenset({"w1"}))
    assert not flow.may_send_first_byte(build.at(10))
    (again,) = flow.handle(slot(2), build.at(10))
    assert isinstance(again, effects.Send)
    assert again.key == send.key
    # Without another endpoint the claim is abandoned.
    flow.handle(events.SendEnded(2, events.NotSent("refused")), build.at(10))
    denied = events.SlotDenied(3, NoEndpointError("none"))
    store, _ = flow.handle(denied, build.at(10))
    assert isinstance(store, effects.StoreOutcome)
    assert isinstance(store.request, AbandonRequest)
    (reply,) = flow.handle(events.OutcomeStored(), build.at(20))
    assert isinstance(reply, effects.ReplyNotRun)


@pytest.mark.parametrize("retries", [False, True])
def test_claim_is_abandoned_after_a_refusal(retries: bool) -> None:
    """Guards against a key that stays claimed although nothing ran."""
    flow = make_flow(retries=retries)
    send = advance_to_send(flow)
    refused = events.SendEnded(1, events.Answered(build.ANSWER, not_run=True))
    _, store, _ = flow.handle(refused, build.at(10))
    assert isinstance(store, effects.StoreOutcome)
    assert isinstance(store.request, AbandonRequest)
    assert not flow.may_send_first_byte(build.at(10))
    (after,) = flow.handle(events.OutcomeStored(), build.at(20))
    if not retries:
        assert isinstance(after, effects.ReplyNotRun)
        return
    # The same key is claimed by a new attempt, on another endpoint.
    assert after == effects.RequestSlot(2, frozenset({"w1"}))
    (begin,) = flow.handle(slot(2), build.at(20))
    assert isinstance(begin, effects.Begin)
    assert begin.request.key == send.key
    assert begin.request.attempt_id != store.request.attempt_id


def test_claim_granted_after_the_deadline_is_not_used() -> None:
    """Guards against a send after the record's deadline.

    The claim is granted, or the process resumes, only after the deadline.
    """
    flow = make_flow()
    advance_to_begin(flow)
    late = events.BeginAnswered(1, GRANTED)
    returned, store, _ = flow.handle(late, build.at(2_000))
    assert returned == effects.ReleaseSlot(1, SlotResult.UNUSED)
    assert isinstance(store, effects.StoreOutcome)
    assert isinstance(store.request, AbandonRequest)
    suspended_flow = make_flow()
    advance_to_send(suspended_flow)
    assert not suspended_flow.may_send_first_byte(build.at(2_000))
    suspended_flow.handle(
        events.SendEnded(1, events.NotSent("late")), build.at(2_000)
    )
    (reply,) = suspended_flow.handle(events.OutcomeStored(), build.at(2_010))
    assert isinstance(reply, effects.ReplyNotRun)
    assert reply.error.code == "deadline-unreachable"


@pytest.mark.parametrize(
    ("reply", "expected_reply"),
    [
        (
            BeginReply(state="finished", answer=build.ANSWER),
            effects.ReplyAnswered(build.ANSWER, "order-7"),
        ),
        (BeginReply(state="unknown"), None),
        (BeginReply(state="finished"), None),
    ],
)
def test_repeated_key_gets_the_stored_outcome(
    reply: BeginReply, expected_reply: effects.FlowReply | None
) -> None:
    """Guards against a repeat that runs again or needs a free slot."""
    flow = make_flow("order-7")
    (begin,) = flow.handle(events.Started(True), build.at(0))
    assert isinstance(begin, effects.Begin)
    assert begin.home == locate_key("order-7", build.DOMAINS).failure_domain
    (ended,) = flow.handle(events.BeginAnswered(1, reply), build.at(5))
    if expected_reply is None:
        assert isinstance(ended, effects.ReplyUnknown)
    else:
        assert ended == expected_reply


def test_repeated_key_polls_until_its_deadline() -> None:
    """Guards against replying "not run" while another attempt runs."""
    flow = make_flow("order-7")
    (begin,) = flow.handle(events.Started(True), build.at(0))
    now_ms = 0
    attempts = set()
    while isinstance(begin, effects.Begin):
        attempts.add(begin.request.attempt_id)
        running = events.BeginAnswered(begin.attempt, RUNNING)
        (wake,) = flow.handle(running, build.at(now_ms))
        assert isinstance(wake, effects.SetTimer)
        now_ms = wake.unix_ms - build.at(0).unix_ms
        assert now_ms <= 2_000
        (begin,) = flow.handle(events.TimerExpired(), build.at(now_ms))
    assert isinstance(begin, effects.ReplyUnknown)
    assert now_ms == 2_000
    assert 5 < len(attempts) < 15


def test_repeated_key_runs_after_an_abandonment() -> None:
    """Guards against a repeat that can't run after an abandonment."""
    flow = make_flow("order-7")
    flow.handle(events.Started(True), build.at(0))
    flow.handle(events.BeginAnswered(1, RUNNING), build.at(0))
    flow.handle(events.TimerExpired(), build.at(25))
    (wanted,) = flow.handle(events.BeginAnswered(2, GRANTED), build.at(30))
    assert wanted == effects.RequestSlot(1)
    (send,) = flow.handle(slot(1), build.at(30))
    assert isinstance(send, effects.Send)


def test_claim_without_slot_is_abandoned() -> None:
    """Guards against a key that stays claimed after admission refused."""
    flow = make_flow("order-7")
    flow.handle(events.Started(True), build.at(0))
    flow.handle(events.BeginAnswered(1, GRANTED), build.at(5))
    store, _ = flow.handle(
        events.SlotDenied(1, QueueFullError("full")), build.at(5)
    )
    assert isinstance(store, effects.StoreOutcome)
    assert isinstance(store.request, AbandonRequest)
    (reply,) = flow.handle(events.OutcomeNotStored(UNAVAILABLE), build.at(10))
    assert isinstance(reply, effects.ReplyNotRun)
    assert reply.error.code == "queue-full"


def test_generated_key_is_replaced_if_home_unreachable() -> None:
    """Guards against refusing requests if only the own group is down."""
    flow = make_flow()
    first = advance_to_begin(flow)
    # Two thirds of the time remain for the other homes.
    assert first.deadline_unix_ms < build.DEADLINE_MS - 1_000
    (second,) = flow.handle(events.BeginFailed(1, UNAVAILABLE), build.at(700))
    assert isinstance(second, effects.Begin)
    assert second.home != "centro"
    assert second.request.key != first.request.key
    # A late reply for the first key is ignored.
    assert flow.handle(events.BeginAnswered(1, GRANTED), build.at(710)) == []
    (send,) = flow.handle(events.BeginAnswered(2, GRANTED), build.at(720))
    assert isinstance(send, effects.Send)
    assert send.key == second.request.key


@pytest.mark.parametrize(
    ("error", "abandoned"),
    [(UNAVAILABLE, True), (KeyReusedError("other body"), False)],
)
def test_failed_begin_of_caller_key_is_not_run(
    error: SardinespoolError, abandoned: bool
) -> None:
    """Guards against waiting for a lost group and a key left claimed."""
    flow = make_flow("order-7")
    flow.handle(events.Started(True), build.at(0))
    reply, *rest = flow.handle(events.BeginFailed(1, error), build.at(100))
    assert isinstance(reply, effects.ReplyNotRun)
    assert reply.error is error
    assert bool(rest) == abandoned
    assert flow.done != abandoned


@pytest.mark.parametrize("caller_key", ["", "order-7"])
def test_request_is_forwarded_only_before_its_begin(caller_key: str) -> None:
    """Guards against two entries that both begin the same request."""
    flow = make_flow(caller_key)
    (forward,) = flow.handle(events.Started(False), build.at(0))
    assert isinstance(forward, effects.Forward)
    assert (forward.key == caller_key) if caller_key else forward.key
    lost = events.ForwardEnded(events.Lost("cut"))
    (reply,) = flow.handle(lost, build.at(10))
    assert isinstance(reply, effects.ReplyUnknown)
    assert reply.key == forward.key
    sent_flow = make_flow()
    advance_to_send(sent_flow)
    not_run = events.Answered(build.ANSWER, not_run=True)
    sent_flow.handle(events.SendEnded(1, not_run), build.at(10))
    (ended,) = sent_flow.handle(events.OutcomeStored(), build.at(10))
    assert isinstance(ended, effects.ReplyNotRun)


@pytest.mark.parametrize("forwarded", [False, True])
def test_last_endpoint_leaves_while_waiting(forwarded: bool) -> None:
    """Guards against queueing in a domain without endpoints."""
    flow = make_flow(forwarded=forwarded)
    flow.handle(events.Started(True), build.at(0))
    (after,) = flow.handle(
        events.SlotDenied(1, NoEndpointError("none")), build.at(5)
    )
    expected = effects.ReplyNotRun if forwarded else effects.Forward
    assert isinstance(after, expected)
