"""State machine of a non-idempotent request.

Its record is stored before the first byte is sent.
"""

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import ReplicationError
from sardinespool.errors.requests import EndpointRefusedError
from sardinespool.errors.requests import NoEndpointError
from sardinespool.errors.requests import OutcomeUnknownError
from sardinespool.errors.transport import TransportError
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import StoredResponse
from sardinespool.routing import request_effects as effects
from sardinespool.routing import request_events as events
from sardinespool.routing.forward_reply import forward_reply
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.non_idempotent_state import (
    NonIdempotentState as State,
)
from sardinespool.routing.record_claim import RecordClaim
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.retry_budget import RetryBudget
from sardinespool.routing.router_events import SlotResult
from sardinespool.routing.send_failure import classify_failure
from sardinespool.routing.send_failure import deadline_passed_error
from sardinespool.routing.slot_holder import SlotHolder


class NonIdempotentFlow:
    """State machine of one non-idempotent request; see `RequestFlow`.

    With a generated key, the slot is acquired before the begin, so that a
    request refused by admission creates no record. With a caller's key, the
    begin comes first, so that a repeat gets the stored answer even if no
    slot is free.
    """

    def __init__(
        self,
        plan: RequestPlan,
        entry_id: str,
        budget: RetryBudget,
        keys: KeySource,
    ) -> None:
        self._plan = plan
        self._budget = budget
        self._claim = RecordClaim(plan, entry_id, keys)
        self._state = State.NEW
        self._other_attempt_seen = False
        self._slot = SlotHolder()
        self._answer: StoredResponse | None = None
        self._error: SardinespoolError | None = None
        self._replied = False

    @property
    def done(self) -> bool:
        """Whether the request has ended and ignores further events."""
        return self._state is State.ENDED

    def may_send_first_byte(self, now: Instant) -> bool:
        """Return whether the claim is held and the deadline not passed."""
        return (
            self._state is State.SENDING
            and now.unix_ms < self._plan.deadline_unix_ms
        )

    def handle(
        self, event: events.FlowEvent, now: Instant
    ) -> list[effects.FlowEffect]:
        """Process one event and return the resulting effects."""
        match self._state, event:
            case State.NEW, events.Started(has_endpoint):
                return self._start(has_endpoint, now)
            case State.WAITING_FOR_SLOT, events.SlotGiven():
                self._slot.hold(event)
                if self._claim.held:
                    return self._send(now)
                return self._begin(now)
            case State.WAITING_FOR_SLOT, events.SlotDenied(_, error):
                return self._slot_denied(error, now)
            case State.BEGINNING, events.BeginAnswered(attempt, reply):
                if attempt == self._claim.attempt:
                    return self._begin_answered(reply, now)
            case State.BEGINNING, events.BeginFailed(attempt, error):
                if attempt == self._claim.attempt:
                    return self._begin_failed(error, now)
            case State.WAITING_FOR_OTHER_ATTEMPT, events.TimerExpired():
                return self._begin(now)
            case State.SENDING, events.SendEnded(_, result):
                return self._send_ended(result, now)
            case State.FINISHING, events.OutcomeStored():
                return self._finished()
            case State.FINISHING, events.OutcomeNotStored(error):
                return self._end_unknown(f"answer not stored: {error.text}")
            case State.ABANDONING, events.OutcomeStored():
                return self._abandoned(now)
            case State.ABANDONING, events.OutcomeNotStored():
                return self._end_not_run()
            case (
                (State.FINISHING | State.ABANDONING),
                events.TimerExpired(),
            ):
                return self._deadline_passed_while_storing(now)
            case State.FORWARDING, events.ForwardEnded(result):
                return self._end(forward_reply(result, self._claim.key))
            case _, events.SlotGiven(number):
                return [effects.ReleaseSlot(number, SlotResult.UNUSED)]
        return []

    def _start(
        self, has_endpoint: bool, now: Instant
    ) -> list[effects.FlowEffect]:
        self._budget.count_request()
        if now.unix_ms >= self._plan.deadline_unix_ms:
            return self._end_not_run(
                deadline_passed_error(self._plan.deadline_unix_ms)
            )
        if not has_endpoint and not self._plan.forwarded:
            return self._forward(now)
        if self._plan.caller_key:
            return self._begin(now)
        return self._request_slot()

    def _request_slot(self) -> list[effects.FlowEffect]:
        self._state = State.WAITING_FOR_SLOT
        return [self._slot.request_slot()]

    def _slot_denied(
        self, error: SardinespoolError, now: Instant
    ) -> list[effects.FlowEffect]:
        if self._claim.held:
            return self._abandon(error)
        if isinstance(error, NoEndpointError) and (
            not self._plan.forwarded and self._claim.attempt == 0
        ):
            return self._forward(now)
        return self._end_not_run(error)

    def _begin(self, now: Instant) -> list[effects.FlowEffect]:
        if now.unix_ms < self._plan.deadline_unix_ms:
            self._state = State.BEGINNING
            return [self._claim.begin(now)]
        returned = self._slot.release(SlotResult.UNUSED)
        if self._other_attempt_seen:
            return [
                *returned,
                *self._end_unknown("still running"),
            ]
        return [
            *returned,
            *self._end_not_run(
                deadline_passed_error(self._plan.deadline_unix_ms)
            ),
        ]

    def _begin_answered(
        self, reply: BeginReply, now: Instant
    ) -> list[effects.FlowEffect]:
        self._claim.confirm_home()
        if reply.state == "granted":
            self._claim.held = True
            return self._send(now) if self._slot.held else self._request_slot()
        returned = self._slot.release(SlotResult.UNUSED)
        if reply.state == "running":
            self._other_attempt_seen = True
            self._state = State.WAITING_FOR_OTHER_ATTEMPT
            return [
                *returned,
                effects.SetTimer(self._claim.next_poll_unix_ms(now)),
            ]
        if reply.state == "finished" and reply.answer is not None:
            answered = effects.ReplyAnswered(reply.answer, self._claim.key)
            return [*returned, *self._end(answered)]
        return [*returned, *self._end_unknown("the outcome was lost")]

    def _begin_failed(
        self, error: SardinespoolError, now: Instant
    ) -> list[effects.FlowEffect]:
        unreachable = isinstance(error, ReplicationError | TransportError)
        if unreachable and self._claim.discard_home():
            return self._begin(now)
        returned = self._slot.release(SlotResult.UNUSED)
        if unreachable and self._other_attempt_seen:
            return [*returned, *self._end_unknown(error.text)]
        if not unreachable:
            return [*returned, *self._end_not_run(error)]
        # The begin may have been committed although its reply was lost, so
        # the claim is released. The caller does not wait for that, since the
        # group is unreachable.
        self._replied = True
        return [
            *returned,
            effects.ReplyNotRun(error, self._claim.key),
            *self._abandon(error),
        ]

    def _send(self, now: Instant) -> list[effects.FlowEffect]:
        if now.unix_ms >= self._plan.deadline_unix_ms:
            returned = self._slot.release(SlotResult.UNUSED)
            return [
                *returned,
                *self._abandon(
                    deadline_passed_error(self._plan.deadline_unix_ms)
                ),
            ]
        self._state = State.SENDING
        deadline_unix_ms = self._plan.deadline_unix_ms
        return [self._slot.send(deadline_unix_ms, self._claim.key, now)]

    def _send_ended(
        self, result: events.SendResult, now: Instant
    ) -> list[effects.FlowEffect]:
        failure = classify_failure(
            result, self._slot.worker_id, self._plan.deadline_unix_ms, now
        )
        if failure is None:
            assert isinstance(result, events.Answered)
            self._answer = result.answer
            returned = self._slot.release(result.slot_use, now)
            return [*returned, *self._finish()]
        retry_is_free = failure.unsent and not self._slot.on_tried_worker
        returned = self._slot.release(failure.use)
        if retry_is_free:
            # No byte was sent, so the claim can be used on another endpoint.
            return [*returned, *self._request_slot()]
        if not failure.may_have_run:
            return [*returned, *self._abandon(failure.error)]
        self._replied = True
        return [
            *returned,
            effects.ReplyUnknown(failure.error, self._claim.key),
            *self._finish(),
        ]

    def _finish(self) -> list[effects.FlowEffect]:
        self._state = State.FINISHING
        stored = self._claim.finish(self._answer)
        if self._replied:
            return [stored]
        return [stored, effects.SetTimer(self._plan.deadline_unix_ms)]

    def _finished(self) -> list[effects.FlowEffect]:
        if self._answer is None:
            return self._end(None)
        return self._end(effects.ReplyAnswered(self._answer, self._claim.key))

    def _abandon(self, error: SardinespoolError) -> list[effects.FlowEffect]:
        self._error = error
        self._state = State.ABANDONING
        stored = self._claim.abandon()
        if self._replied:
            return [stored]
        return [stored, effects.SetTimer(self._plan.deadline_unix_ms)]

    def _abandoned(self, now: Instant) -> list[effects.FlowEffect]:
        retryable = isinstance(
            self._error, EndpointRefusedError | NoEndpointError
        )
        if (
            retryable
            and self._slot.excluded
            and not self._replied
            and now.unix_ms < self._plan.deadline_unix_ms
            and self._budget.take()
        ):
            return self._request_slot()
        return self._end_not_run()

    def _deadline_passed_while_storing(
        self, now: Instant
    ) -> list[effects.FlowEffect]:
        """Reply to the caller at its deadline; the store call goes on."""
        if self._replied:
            return []
        if now.unix_ms < self._plan.deadline_unix_ms:
            return [effects.SetTimer(self._plan.deadline_unix_ms)]
        self._replied = True
        if self._state is State.ABANDONING and self._error is not None:
            return [effects.ReplyNotRun(self._error, self._claim.key)]
        late = OutcomeUnknownError(
            "The answer was not stored before the deadline."
        )
        return [effects.ReplyUnknown(late, self._claim.key)]

    def _forward(self, now: Instant) -> list[effects.FlowEffect]:
        """Forward the request, with a generated key if it has none.

        The caller gets the key from this entry even if the other entry's
        answer is lost, and can repeat the request with it.
        """
        self._state = State.FORWARDING
        return [effects.Forward(self._claim.ensure_key(now).key)]

    def _end_not_run(
        self, error: SardinespoolError | None = None
    ) -> list[effects.FlowEffect]:
        ended = error or self._error
        assert ended is not None
        return self._end(effects.ReplyNotRun(ended, self._claim.key))

    def _end_unknown(self, text: str) -> list[effects.FlowEffect]:
        error = OutcomeUnknownError(text)
        return self._end(effects.ReplyUnknown(error, self._claim.key))

    def _end(
        self, reply: effects.FlowReply | None
    ) -> list[effects.FlowEffect]:
        self._state = State.ENDED
        if self._replied or reply is None:
            return []
        self._replied = True
        return [reply]
