"""Execution of the effects of a request flow."""

import asyncio
import dataclasses
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import StoredResponse
from sardinespool.messages.tasks import Accepted
from sardinespool.observability.logs import get_logger
from sardinespool.programs.entry.entry_metrics import EntryMetrics
from sardinespool.programs.entry.forwarding import Forwarder
from sardinespool.programs.entry.groups import Groups
from sardinespool.programs.entry.headers import answer_headers
from sardinespool.programs.entry.headers import endpoint_request
from sardinespool.programs.entry.headers import send_result
from sardinespool.programs.entry.router_task import RouterTask
from sardinespool.routing import request_effects as effects
from sardinespool.routing import request_events as events
from sardinespool.routing.fair_queue import QueuedRequest
from sardinespool.routing.request_flow import RequestFlow
from sardinespool.routing.router_events import SlotAssigned
from sardinespool.routing.router_events import SlotRefused
from sardinespool.routing.router_events import SlotReleased
from sardinespool.routing.router_events import SlotWithdrawn
from sardinespool.transport.http_connection_pool import HttpConnectionPool
from sardinespool.transport.http_messages import HttpRequest

_LOG = get_logger("entry")


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerContext:
    """Objects that all request runners of an entry share."""

    clock: Callable[[], Instant]
    router: RouterTask
    pool: HttpConnectionPool
    groups: Groups
    forwarder: Forwarder
    metrics: EntryMetrics


class _NullTimer:
    """Null object in place of a timer that was not started yet."""

    def cancel(self) -> None:
        """Do nothing."""


class RequestRunner:
    """Runs the flow of one request.

    Events come from the runner's own tasks and timer and from the router, all
    in one event loop. Each event is handled immediately.

    Parameters
    ----------
    flow : RequestFlow
        State machine that decides on the effects.
    request : HttpRequest
        The caller's request.
    context : RunnerContext
        Objects that execute the effects.
    on_ended : callable
        Called with the runner once all its tasks have ended, which may be
        after the reply, since the outcome is stored in the background.

    Attributes
    ----------
    reply : asyncio.Future
        Reply to the caller.
    """

    def __init__(
        self,
        flow: RequestFlow,
        request: HttpRequest,
        context: RunnerContext,
        on_ended: Callable[["RequestRunner"], None],
    ) -> None:
        self._on_ended = on_ended
        self._flow = flow
        self._plan = flow.plan
        self._request = request
        self._context = context
        self._tasks: set[asyncio.Task[None]] = set()
        self._send_tasks: dict[int, asyncio.Task[None]] = {}
        # A flow has at most one pending timer, so a new one replaces it.
        self._timer: asyncio.TimerHandle | _NullTimer = _NullTimer()
        self.reply: asyncio.Future[effects.FlowReply] = (
            asyncio.get_running_loop().create_future()
        )

    def start(self) -> None:
        """Start the flow."""
        now = self._context.clock()
        has_endpoint = self._context.router.router.has_endpoint(
            self._plan.service, now
        )
        self._handle_event(events.Started(has_endpoint))

    def _handle_event(self, event: events.FlowEvent) -> None:
        for effect in self._flow.handle(event, self._context.clock()):
            self._execute(effect)
        self._check_done()

    def _check_done(self) -> None:
        if self._flow.done:
            self._timer.cancel()
            if not self._tasks:
                self._on_ended(self)

    def _execute(self, effect: effects.FlowEffect) -> None:
        match effect:
            case effects.RequestSlot(number, excluded):
                self._request_slot(number, excluded)
            case effects.WithdrawSlot(number):
                self._context.router.post(SlotWithdrawn(self._ticket(number)))
            case effects.ReleaseSlot(number, use, latency_ms):
                self._context.router.post(
                    SlotReleased(self._ticket(number), use, latency_ms)
                )
            case effects.Send():
                self._send_tasks[effect.number] = self._spawn(
                    self._send(effect)
                )
            case effects.CancelSend(number):
                self._send_tasks[number].cancel()
            case effects.Begin():
                self._spawn(self._begin(effect))
            case effects.StoreOutcome():
                self._spawn(self._store(effect))
            case effects.SetTimer(unix_ms):
                delay_ms = unix_ms - self._context.clock().unix_ms
                self._timer.cancel()
                self._timer = asyncio.get_running_loop().call_later(
                    max(0, delay_ms) / 1000,
                    self._handle_event,
                    events.TimerExpired(),
                )
            case effects.Forward(key):
                self._spawn(self._forward(key))
            case _:
                if not self.reply.done():
                    self.reply.set_result(effect)

    def _ticket(self, number: int) -> str:
        return f"{self._plan.request_id}#{number}"

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._check_done()

    def _request_slot(self, number: int, excluded: frozenset[str]) -> None:
        def on_slot_answer(answer: SlotAssigned | SlotRefused) -> None:
            match answer:
                case SlotAssigned():
                    self._handle_event(
                        events.SlotGiven(
                            number,
                            answer.worker_id,
                            answer.address,
                            answer.connection_limit,
                            answer.expected_ms,
                        )
                    )
                case SlotRefused(_, error):
                    self._handle_event(events.SlotDenied(number, error))

        waiting = QueuedRequest(
            ticket=self._ticket(number),
            service=self._plan.service,
            user=self._plan.user,
            deadline_unix_ms=self._plan.deadline_unix_ms,
            excluded=excluded,
        )
        self._context.router.request_slot(waiting, on_slot_answer)

    def _may_send(self, send: effects.Send) -> bool:
        return self._flow.may_send_first_byte(
            self._context.clock()
        ) and self._context.router.router.table.may_receive(
            send.worker_id, send.address, self._plan.service
        )

    async def _send(self, send: effects.Send) -> None:
        request = endpoint_request(self._plan, self._request, send.key)
        result: events.SendResult
        try:
            result = send_result(
                await self._context.pool.exchange(
                    send.address,
                    send.connection_limit,
                    request,
                    self._plan.request_id,
                    lambda: self._may_send(send),
                    send.deadline_unix_ms,
                )
            )
        except Exception as error:
            # Bytes may have been sent, so the outcome is unknown.
            _LOG.error(
                "unexpected error while sending to an endpoint",
                request=self._plan.request_id,
                reason=repr(error),
            )
            result = events.Lost(f"the exchange failed: {error!r}")
        if isinstance(result, events.Answered):
            result = self._filter_headers(result)
        self._context.metrics.sends.inc(
            result=type(result).__name__, service=self._plan.service
        )
        self._handle_event(events.SendEnded(send.number, result))

    def _filter_headers(self, result: events.Answered) -> events.Answered:
        answer = result.answer
        headers = answer_headers(answer.headers, self._request.method)
        return events.Answered(
            StoredResponse(
                status=answer.status, headers=headers, body=answer.body
            ),
            result.not_run,
        )

    async def _begin(self, begin: effects.Begin) -> None:
        event: events.FlowEvent
        try:
            reply = await self._context.groups.call(
                begin.home, begin.request, begin.deadline_unix_ms, BeginReply
            )
            event = events.BeginAnswered(begin.attempt, reply)
        except Exception as error:
            event = events.BeginFailed(
                begin.attempt, self._as_typed_error(error)
            )
        self._handle_event(event)

    async def _store(self, store: effects.StoreOutcome) -> None:
        event: events.FlowEvent
        try:
            await self._context.groups.call(
                store.home, store.request, store.deadline_unix_ms, Accepted
            )
            event = events.OutcomeStored()
        except Exception as error:
            typed_error = self._as_typed_error(error)
            _LOG.warning(
                "failed to store the outcome of a request",
                request=self._plan.request_id,
                key=store.request.key,
                code=typed_error.code,
            )
            event = events.OutcomeNotStored(typed_error)
        self._handle_event(event)

    async def _forward(self, key: str) -> None:
        result: events.SendResult
        try:
            result = await self._context.forwarder.forward(
                self._plan, self._request, key
            )
        except Exception as error:
            _LOG.error(
                "unexpected error while forwarding a request",
                request=self._plan.request_id,
                reason=repr(error),
            )
            result = events.Lost(f"the forward failed: {error!r}")
        self._context.metrics.forwards.inc(result=type(result).__name__)
        self._handle_event(events.ForwardEnded(result))

    def _as_typed_error(self, error: Exception) -> SardinespoolError:
        if isinstance(error, SardinespoolError):
            return error
        _LOG.error(
            "unexpected error in a call to a group",
            request=self._plan.request_id,
            reason=repr(error),
        )
        return GroupUnavailableError(f"The call failed: {error!r}.")
