"""Tests of retries, hedges and replies of idempotent requests."""

import dataclasses

import pytest

from sardinespool.errors.requests import NoEndpointError
from sardinespool.errors.requests import QueueFullError
from sardinespool.messages.requests import StoredResponse
from sardinespool.routing import request_effects as effects
from sardinespool.routing import request_events as events
from sardinespool.routing.hedging import HedgePolicy
from sardinespool.routing.request_flow import RequestFlow
from sardinespool.routing.retry_budget import RetryBudget
from sardinespool.routing.router_events import SlotResult
from testing.routing import builders as build


def make_flow(
    budget: RetryBudget | None = None,
    forwarded: bool = False,
    hedging: bool = False,
) -> RequestFlow:
    return RequestFlow(
        build.plan(True, forwarded=forwarded),
        "e1",
        budget or RetryBudget(0.1),
        build.key_source(),
        HedgePolicy(hedging),
    )


def slot(number: int, expected_ms: float = 0.0) -> events.SlotGiven:
    return events.SlotGiven(
        number, f"w{number}", f"10.0.0.{number}:80", 8, expected_ms
    )


def advance_to_send(flow: RequestFlow) -> RequestFlow:
    """Advance a flow to its first exchange."""
    flow.handle(events.Started(True), build.at(0))
    (send,) = flow.handle(slot(1), build.at(0))
    assert isinstance(send, effects.Send)
    return flow


FAILURES = [
    (events.NotSent("refused"), SlotResult.UNREACHABLE),
    (events.Lost("cut"), SlotResult.FAILED),
    (events.Answered(build.ANSWER, not_run=True), SlotResult.REFUSED),
]


@pytest.mark.parametrize(("failure", "use"), FAILURES)
def test_failure_is_retried_on_another_endpoint(
    failure: events.SendResult, use: SlotResult
) -> None:
    """Guards against returning the failure of one endpoint to the caller."""
    flow = advance_to_send(make_flow())
    returned, wanted = flow.handle(events.SendEnded(1, failure), build.at(10))
    assert returned == effects.ReleaseSlot(1, use, 10.0)
    assert wanted == effects.RequestSlot(2, frozenset({"w1"}))
    flow.handle(slot(2), build.at(10))
    result = events.SendEnded(2, events.Answered(build.ANSWER))
    assert effects.ReplyAnswered(build.ANSWER, "") in flow.handle(
        result, build.at(20)
    )
    assert flow.done


@pytest.mark.parametrize(("failure", "use"), FAILURES)
def test_no_retry_without_budget(
    failure: events.SendResult, use: SlotResult
) -> None:
    """Guards against replying "not run" after bytes were sent."""
    budget = RetryBudget(0.0)
    assert budget.take()
    flow = advance_to_send(make_flow(budget))
    _, after = flow.handle(events.SendEnded(1, failure), build.at(10))
    match failure:
        case events.Lost():
            assert isinstance(after, effects.ReplyUnknown)
        case events.Answered():
            assert isinstance(after, effects.ReplyNotRun)
        case events.NotSent():
            # Nothing was sent, so another endpoint takes no token from the
            # budget. The same endpoint again would.
            assert after == effects.RequestSlot(2, frozenset({"w1"}))
            again = dataclasses.replace(slot(1), number=2)
            flow.handle(again, build.at(20))
            ended = flow.handle(events.SendEnded(2, failure), build.at(30))
            assert isinstance(ended[-1], effects.ReplyNotRun)


def test_earlier_lost_exchange_keeps_outcome_unknown() -> None:
    """Guards against replying "not run" if only the retry was unsent."""
    flow = advance_to_send(make_flow())
    flow.handle(events.SendEnded(1, events.Lost("cut")), build.at(10))
    (reply,) = flow.handle(
        events.SlotDenied(2, QueueFullError("full")), build.at(20)
    )
    assert isinstance(reply, effects.ReplyUnknown)


def test_forward_after_a_send_is_never_not_run() -> None:
    """Guards against passing on another domain's "not run" (R6).

    That domain does not know of the bytes that were sent here before.
    """
    flow = advance_to_send(make_flow())
    flow.handle(events.SendEnded(1, events.Lost("cut")), build.at(10))
    denied = events.SlotDenied(2, NoEndpointError("none"))
    assert flow.handle(denied, build.at(20)) == [effects.Forward("")]
    refused = events.Answered(build.ANSWER, not_run=True)
    (reply,) = flow.handle(events.ForwardEnded(refused), build.at(30))
    assert isinstance(reply, effects.ReplyUnknown)


@pytest.mark.parametrize(
    ("status", "use", "retried"),
    [
        (200, SlotResult.ANSWERED, False),
        (500, SlotResult.ANSWERED, False),
        (502, SlotResult.FAILED, True),
        (503, SlotResult.FAILED, True),
        (504, SlotResult.FAILED, True),
    ],
)
@pytest.mark.parametrize("tokens", [0, 1])
def test_endpoint_answer_reaches_the_caller(
    status: int, use: SlotResult, retried: bool, tokens: int
) -> None:
    """Guards against an entry that replaces the endpoint's answer."""
    budget = RetryBudget(0.0)
    if not tokens:
        budget.take()
    flow = advance_to_send(make_flow(budget))
    answer = StoredResponse(status=status, headers=(), body=b"x")
    result = events.SendEnded(1, events.Answered(answer))
    returned, after = flow.handle(result, build.at(10))
    assert returned == effects.ReleaseSlot(1, use, 10.0)
    if retried and tokens:
        assert after == effects.RequestSlot(2, frozenset({"w1"}))
        denied = events.SlotDenied(2, NoEndpointError("none"))
        (after,) = flow.handle(denied, build.at(20))
    assert after == effects.ReplyAnswered(answer, "")


@pytest.mark.parametrize("status", [502, 503, 504])
def test_successful_retry_replaces_a_failed_answer(status: int) -> None:
    """Guards against returning one endpoint's 503 to the caller."""
    flow = advance_to_send(make_flow())
    answer = StoredResponse(status=status, headers=(), body=b"x")
    flow.handle(events.SendEnded(1, events.Answered(answer)), build.at(10))
    flow.handle(slot(2), build.at(10))
    better = events.SendEnded(2, events.Answered(build.ANSWER))
    _, reply = flow.handle(better, build.at(20))
    assert reply == effects.ReplyAnswered(build.ANSWER, "")


def test_failed_answer_waits_for_the_hedge() -> None:
    """Guards against a 503 that cancels the other exchange."""
    flow = make_flow(hedging=True)
    flow.handle(events.Started(True), build.at(0))
    flow.handle(slot(1, 10.0), build.at(0))
    flow.handle(events.TimerExpired(), build.at(30))
    flow.handle(slot(2), build.at(30))
    failed = StoredResponse(status=503, headers=(), body=b"")
    ended = events.SendEnded(2, events.Answered(failed))
    assert flow.handle(ended, build.at(40)) == [
        effects.ReleaseSlot(2, SlotResult.FAILED, 10.0)
    ]
    better = events.SendEnded(1, events.Answered(build.ANSWER))
    assert effects.ReplyAnswered(build.ANSWER, "") in flow.handle(
        better, build.at(50)
    )


@pytest.mark.parametrize(
    ("expected_ms", "elapsed_ms", "deadline_ms"),
    [(0.0, 0, -1_000), (300.0, 0, 0), (10.0, 1_900, -20)],
)
def test_attempt_timeout_leaves_time_for_a_retry(
    expected_ms: float, elapsed_ms: int, deadline_ms: int
) -> None:
    """Guards against a hung endpoint that uses up the whole deadline."""
    flow = make_flow()
    flow.handle(events.Started(True), build.at(0))
    (send,) = flow.handle(slot(1, expected_ms), build.at(elapsed_ms))
    assert isinstance(send, effects.Send)
    assert send.deadline_unix_ms == build.DEADLINE_MS + deadline_ms


@pytest.mark.parametrize("elapsed_ms", [2_000, 60_000])
def test_first_byte_only_before_the_deadline(elapsed_ms: int) -> None:
    """Guards against a late send after the process was suspended."""
    flow = advance_to_send(make_flow())
    assert flow.may_send_first_byte(build.at(1_999))
    assert not flow.may_send_first_byte(build.at(elapsed_ms))
    result = events.SendEnded(1, events.NotSent("too late"))
    returned, reply = flow.handle(result, build.at(elapsed_ms))
    # The endpoint did not cause the failure.
    assert returned == effects.ReleaseSlot(1, SlotResult.UNUSED, elapsed_ms)
    assert isinstance(reply, effects.ReplyNotRun)


@pytest.mark.parametrize("forwarded", [False, True])
def test_domain_without_endpoint_forwards_once(forwarded: bool) -> None:
    """Guards against forwarding loops between failure domains."""
    flow = make_flow(forwarded=forwarded)
    first = flow.handle(events.Started(False), build.at(0))
    if not forwarded:
        assert first == [effects.Forward("")]
        (reply,) = flow.handle(
            events.ForwardEnded(events.Answered(build.ANSWER)), build.at(10)
        )
        assert reply == effects.ReplyForwarded(build.ANSWER, "")
        return
    assert first == [effects.RequestSlot(1)]
    (reply,) = flow.handle(
        events.SlotDenied(1, NoEndpointError("none")), build.at(0)
    )
    assert isinstance(reply, effects.ReplyNotRun)


def test_hedge_is_off_by_default_and_budgeted() -> None:
    """Guards against hedges that double the load of a slow service."""
    plain = make_flow()
    plain.handle(events.Started(True), build.at(0))
    assert len(plain.handle(slot(1, 10.0), build.at(0))) == 1
    for tokens, sent in ((1, True), (0, False)):
        budget = RetryBudget(0.0)
        if not tokens:
            budget.take()
        flow = make_flow(budget, hedging=True)
        flow.handle(events.Started(True), build.at(0))
        _, wake = flow.handle(slot(1, 10.0), build.at(0))
        assert wake == effects.SetTimer(build.at(30).unix_ms)
        assert bool(flow.handle(events.TimerExpired(), build.at(30))) == sent


def test_first_answer_cancels_the_other_exchange() -> None:
    """Guards against a cancelled exchange that keeps its slot."""
    flow = make_flow(hedging=True)
    flow.handle(events.Started(True), build.at(0))
    flow.handle(slot(1, 10.0), build.at(0))
    flow.handle(events.TimerExpired(), build.at(30))
    flow.handle(slot(2), build.at(30))
    ended = flow.handle(
        events.SendEnded(2, events.Answered(build.ANSWER)), build.at(40)
    )
    assert effects.CancelSend(1) in ended
    assert effects.ReleaseSlot(1, SlotResult.UNUSED) in ended
    # A late answer of the cancelled exchange is ignored.
    late = events.SendEnded(1, events.Answered(build.ANSWER))
    assert flow.handle(late, build.at(50)) == []
