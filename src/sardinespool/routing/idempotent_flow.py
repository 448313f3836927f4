"""State machine of an idempotent request, with budgeted retries."""

import dataclasses

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.requests import NoEndpointError
from sardinespool.errors.requests import OutcomeUnknownError
from sardinespool.messages.requests import StoredResponse
from sardinespool.routing.forward_reply import forward_reply
from sardinespool.routing.hedging import HedgePolicy
from sardinespool.routing.request_effects import CancelSend
from sardinespool.routing.request_effects import FlowEffect
from sardinespool.routing.request_effects import Forward
from sardinespool.routing.request_effects import ReleaseSlot
from sardinespool.routing.request_effects import ReplyAnswered
from sardinespool.routing.request_effects import ReplyForwarded
from sardinespool.routing.request_effects import ReplyNotRun
from sardinespool.routing.request_effects import ReplyUnknown
from sardinespool.routing.request_effects import RequestSlot
from sardinespool.routing.request_effects import Send
from sardinespool.routing.request_effects import SetTimer
from sardinespool.routing.request_effects import WithdrawSlot
from sardinespool.routing.request_events import Answered
from sardinespool.routing.request_events import FlowEvent
from sardinespool.routing.request_events import ForwardEnded
from sardinespool.routing.request_events import SendEnded
from sardinespool.routing.request_events import SendResult
from sardinespool.routing.request_events import SlotDenied
from sardinespool.routing.request_events import SlotGiven
from sardinespool.routing.request_events import Started
from sardinespool.routing.request_events import TimerExpired
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.retry_budget import RetryBudget
from sardinespool.routing.router_events import SlotResult
from sardinespool.routing.send_failure import classify_failure
from sardinespool.routing.send_failure import deadline_passed_error

_ATTEMPT_TIMEOUT_FACTOR = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Exchange:
    worker_id: str
    sent_boot_ms: int


class IdempotentFlow:
    """State machine of one idempotent request; see `RequestFlow`."""

    def __init__(
        self, plan: RequestPlan, budget: RetryBudget, hedging: HedgePolicy
    ) -> None:
        self._plan = plan
        self._budget = budget
        self._hedging = hedging
        self._last_number = 0
        self._pending_number: int | None = None
        self._exchanges: dict[int, _Exchange] = {}
        self._excluded: frozenset[str] = frozenset()
        self._may_have_run = False
        self._hedged = False
        self._last_error: SardinespoolError | None = None
        self._failed_answer: StoredResponse | None = None
        self.done = False

    def handle(self, event: FlowEvent, now: Instant) -> list[FlowEffect]:
        """Process one event and return the resulting effects."""
        if self.done:
            return self._handle_after_end(event)
        match event:
            case Started(has_endpoint):
                return self._start(has_endpoint, now)
            case SlotGiven():
                return self._send(event, now)
            case SlotDenied(number, error):
                return self._slot_denied(number, error)
            case SendEnded(number, result):
                return self._send_ended(number, result, now)
            case ForwardEnded(result):
                return self._end(
                    forward_reply(
                        result, self._plan.caller_key, self._may_have_run
                    )
                )
            case TimerExpired():
                return self._start_hedge(now)
        return []

    def may_send_first_byte(self, now: Instant) -> bool:
        """Return whether the deadline has not passed yet."""
        return not self.done and now.unix_ms < self._plan.deadline_unix_ms

    def _handle_after_end(self, event: FlowEvent) -> list[FlowEffect]:
        if isinstance(event, SlotGiven):
            return [ReleaseSlot(event.number, SlotResult.UNUSED)]
        return []

    def _start(self, has_endpoint: bool, now: Instant) -> list[FlowEffect]:
        self._budget.count_request()
        if now.unix_ms >= self._plan.deadline_unix_ms:
            return self._end_without_answer()
        if not has_endpoint and not self._plan.forwarded:
            return self._forward()
        return [self._request_slot()]

    def _request_slot(self) -> RequestSlot:
        self._last_number += 1
        self._pending_number = self._last_number
        return RequestSlot(self._last_number, self._excluded)

    def _send(self, slot: SlotGiven, now: Instant) -> list[FlowEffect]:
        self._pending_number = None
        self._exchanges[slot.number] = _Exchange(slot.worker_id, now.boot_ms)
        effects: list[FlowEffect] = [
            Send(
                number=slot.number,
                worker_id=slot.worker_id,
                address=slot.address,
                connection_limit=slot.connection_limit,
                deadline_unix_ms=self._attempt_deadline(slot, now),
                key=self._plan.caller_key,
            )
        ]
        delay_ms = self._hedging.delay_ms(slot.expected_ms)
        if delay_ms is not None and not self._hedged:
            effects.append(SetTimer(now.unix_ms + delay_ms))
        return effects

    def _attempt_deadline(self, slot: SlotGiven, now: Instant) -> int:
        """Return when to give up on an endpoint that does not answer.

        The attempt gets half of the remaining time, which leaves the other
        half for a retry, but at least eight mean service times, so that slow
        answers of a healthy endpoint are not cut off.
        """
        remaining_ms = self._plan.deadline_unix_ms - now.unix_ms
        timeout_ms = max(
            remaining_ms // 2,
            round(_ATTEMPT_TIMEOUT_FACTOR * slot.expected_ms),
        )
        return min(self._plan.deadline_unix_ms, now.unix_ms + timeout_ms)

    def _slot_denied(
        self, number: int, error: SardinespoolError
    ) -> list[FlowEffect]:
        if number != self._pending_number:
            return []
        self._pending_number = None
        if self._exchanges:
            return []
        if (
            isinstance(error, NoEndpointError)
            and not self._plan.forwarded
            and self._failed_answer is None
        ):
            return self._forward()
        self._last_error = error
        return self._end_without_answer()

    def _send_ended(
        self, number: int, result: SendResult, now: Instant
    ) -> list[FlowEffect]:
        exchange = self._exchanges.pop(number)
        latency_ms = float(now.boot_ms - exchange.sent_boot_ms)
        failure = classify_failure(
            result, exchange.worker_id, self._plan.deadline_unix_ms, now
        )
        use: SlotResult
        if failure is None:
            assert isinstance(result, Answered)
            if result.slot_use is not SlotResult.FAILED:
                return [
                    ReleaseSlot(number, result.slot_use, latency_ms),
                    *self._cancel_others(),
                    *self._end(
                        ReplyAnswered(result.answer, self._plan.caller_key)
                    ),
                ]
            # Another endpoint may succeed after a 502, 503 or 504. If none
            # does, the caller gets this answer.
            self._failed_answer = result.answer
            self._may_have_run = True
            use = result.slot_use
            retry_is_free = False
        else:
            use = failure.use
            self._last_error = failure.error
            self._may_have_run = self._may_have_run or failure.may_have_run
            retry_is_free = (
                failure.unsent and exchange.worker_id not in self._excluded
            )
        self._excluded |= {exchange.worker_id}
        effects: list[FlowEffect] = [ReleaseSlot(number, use, latency_ms)]
        if self._exchanges or self._pending_number is not None:
            return effects
        if self.may_send_first_byte(now) and (
            retry_is_free or self._budget.take()
        ):
            return [*effects, self._request_slot()]
        return [*effects, *self._end_without_answer()]

    def _start_hedge(self, now: Instant) -> list[FlowEffect]:
        if (
            self._hedged
            or len(self._exchanges) != 1
            or self._pending_number is not None
            or not self.may_send_first_byte(now)
            or not self._budget.take()
        ):
            return []
        self._hedged = True
        (exchange,) = self._exchanges.values()
        self._excluded |= {exchange.worker_id}
        return [self._request_slot()]

    def _cancel_others(self) -> list[FlowEffect]:
        effects: list[FlowEffect] = []
        for number in self._exchanges:
            effects.append(CancelSend(number))
            effects.append(ReleaseSlot(number, SlotResult.UNUSED))
        if self._pending_number is not None:
            effects.append(WithdrawSlot(self._pending_number))
        return effects

    def _forward(self) -> list[FlowEffect]:
        return [Forward(self._plan.caller_key)]

    def _end_without_answer(self) -> list[FlowEffect]:
        if self._failed_answer is not None:
            return self._end(
                ReplyAnswered(self._failed_answer, self._plan.caller_key)
            )
        error = self._last_error or deadline_passed_error(
            self._plan.deadline_unix_ms
        )
        if not self._may_have_run:
            return self._end(ReplyNotRun(error, self._plan.caller_key))
        if not isinstance(error, OutcomeUnknownError):
            error = OutcomeUnknownError(error.text, **error.details)
        return self._end(ReplyUnknown(error, self._plan.caller_key))

    def _end(
        self,
        reply: ReplyAnswered | ReplyForwarded | ReplyNotRun | ReplyUnknown,
    ) -> list[FlowEffect]:
        self.done = True
        return [reply]
