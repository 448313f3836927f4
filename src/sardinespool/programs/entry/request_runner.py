"""Carries out the effects of one request's flow."""

import asyncio
import dataclasses
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import StoredAnswer
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
from sardinespool.routing.fair_queue import Waiting
from sardinespool.routing.request_flow import RequestFlow
from sardinespool.routing.router_events import SlotAssigned
from sardinespool.routing.router_events import SlotRefused
from sardinespool.routing.router_events import SlotReturned
from sardinespool.routing.router_events import SlotWithdrawn
from sardinespool.transport.endpoint_pool import EndpointPool
from sardinespool.transport.http_messages import HttpRequest

_LOG = get_logger("entry")


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerParts:
    """What all requests of an entry share."""

    clock: Callable[[], Instant]
    router: RouterTask
    pool: EndpointPool
    groups: Groups
    forwarder: Forwarder
    metrics: EntryMetrics


class _NoTimer:
    """Stands for a timer before the first one is started."""

    def cancel(self) -> None:
        """Do nothing."""


class RequestRunner:
    """Runs one request.

    Events of the flow come from the request's own child tasks and timers and
    from the router, all in one event loop; each is handled at once.

    Parameters
    ----------
    flow : RequestFlow
        Decides.
    request : HttpRequest
        The caller's request.
    parts : RunnerParts
        Sockets and tasks that carry the effects out.
    ended : callable
        Called with the runner once it has no task left; the outcome may be
        stored after the reply.

    Attributes
    ----------
    reply : asyncio.Future
        The caller's ending.
    """

    def __init__(
        self,
        flow: RequestFlow,
        request: HttpRequest,
        parts: RunnerParts,
        ended: Callable[["RequestRunner"], None],
    ) -> None:
        self._ended = ended
        self._flow = flow
        self._plan = flow.plan
        self._request = request
        self._parts = parts
        self._children: set[asyncio.Task[None]] = set()
        self._sends: dict[int, asyncio.Task[None]] = {}
        # A flow waits for one time only, so a later wake replaces it.
        self._timer: asyncio.TimerHandle | _NoTimer = _NoTimer()
        self.reply: asyncio.Future[effects.FlowReply] = (
            asyncio.get_running_loop().create_future()
        )

    def start(self) -> None:
        """Start the request."""
        now = self._parts.clock()
        has_endpoint = self._parts.router.router.has_endpoint(
            self._plan.service, now
        )
        self._post(events.Started(has_endpoint))

    def _post(self, event: events.FlowEvent) -> None:
        for effect in self._flow.handle(event, self._parts.clock()):
            self._execute(effect)
        self._check_finished()

    def _check_finished(self) -> None:
        if self._flow.done:
            self._timer.cancel()
            if not self._children:
                self._ended(self)

    def _execute(self, effect: effects.FlowEffect) -> None:
        match effect:
            case effects.WantSlot(number, excluded):
                self._request_slot(number, excluded)
            case effects.WithdrawSlot(number):
                self._parts.router.post(SlotWithdrawn(self._ticket(number)))
            case effects.ReturnSlot(number, use, latency_ms):
                self._parts.router.post(
                    SlotReturned(self._ticket(number), use, latency_ms)
                )
            case effects.Send():
                self._sends[effect.number] = self._spawn(self._send(effect))
            case effects.CancelSend(number):
                self._sends[number].cancel()
            case effects.Begin():
                self._spawn(self._begin(effect))
            case effects.StoreOutcome():
                self._spawn(self._store(effect))
            case effects.Wake(unix_ms):
                delay_ms = unix_ms - self._parts.clock().unix_ms
                self._timer.cancel()
                self._timer = asyncio.get_running_loop().call_later(
                    max(0, delay_ms) / 1000, self._post, events.Woken()
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
        self._children.add(task)
        task.add_done_callback(self._child_ended)
        return task

    def _child_ended(self, task: asyncio.Task[None]) -> None:
        self._children.discard(task)
        self._check_finished()

    def _request_slot(self, number: int, excluded: frozenset[str]) -> None:
        def receive(answer: SlotAssigned | SlotRefused) -> None:
            match answer:
                case SlotAssigned():
                    self._post(
                        events.SlotGiven(
                            number,
                            answer.worker_id,
                            answer.address,
                            answer.connection_limit,
                            answer.expected_ms,
                        )
                    )
                case SlotRefused(_, error):
                    self._post(events.SlotDenied(number, error))

        waiting = Waiting(
            ticket=self._ticket(number),
            service=self._plan.service,
            user=self._plan.user,
            deadline_unix_ms=self._plan.deadline_unix_ms,
            excluded=excluded,
        )
        self._parts.router.want(waiting, receive)

    def _may_send(self, worker_id: str) -> bool:
        return self._flow.may_send_first_byte(
            self._parts.clock()
        ) and self._parts.router.router.table.accepts(worker_id)

    async def _send(self, send: effects.Send) -> None:
        request = endpoint_request(self._plan, self._request, send.key)
        result: events.SendResult
        try:
            result = send_result(
                await self._parts.pool.exchange(
                    send.address,
                    send.connection_limit,
                    request,
                    self._plan.request_id,
                    lambda: self._may_send(send.worker_id),
                    send.deadline_unix_ms,
                )
            )
        except Exception as error:
            # Nothing is known about the bytes, so they count as sent.
            _LOG.error(
                "an exchange failed",
                request=self._plan.request_id,
                reason=repr(error),
            )
            result = events.Lost(f"the exchange failed: {error!r}")
        if isinstance(result, events.Answered):
            result = self._cleaned(result)
        self._parts.metrics.sends.inc(
            result=type(result).__name__, service=self._plan.service
        )
        self._post(events.SendEnded(send.number, result))

    def _cleaned(self, result: events.Answered) -> events.Answered:
        answer = result.answer
        headers = answer_headers(answer.headers, self._request.method)
        return events.Answered(
            StoredAnswer(
                status=answer.status, headers=headers, body=answer.body
            ),
            result.not_run,
        )

    async def _begin(self, begin: effects.Begin) -> None:
        event: events.FlowEvent
        try:
            reply = await self._parts.groups.call(
                begin.home, begin.request, begin.deadline_unix_ms, BeginReply
            )
            event = events.BeginAnswered(begin.attempt, reply)
        except Exception as error:
            event = events.BeginFailed(begin.attempt, self._typed(error))
        self._post(event)

    async def _store(self, store: effects.StoreOutcome) -> None:
        event: events.FlowEvent
        try:
            await self._parts.groups.call(
                store.home, store.request, store.deadline_unix_ms, Accepted
            )
            event = events.OutcomeStored()
        except Exception as error:
            typed = self._typed(error)
            _LOG.warning(
                "an outcome was not stored",
                request=self._plan.request_id,
                key=store.request.key,
                code=typed.code,
            )
            event = events.OutcomeNotStored(typed)
        self._post(event)

    async def _forward(self, key: str) -> None:
        result: events.SendResult
        try:
            result = await self._parts.forwarder.forward(
                self._plan, self._request, key
            )
        except Exception as error:
            _LOG.error(
                "a forward failed",
                request=self._plan.request_id,
                reason=repr(error),
            )
            result = events.Lost(f"the forward failed: {error!r}")
        self._parts.metrics.forwards.inc(result=type(result).__name__)
        self._post(events.ForwardEnded(result))

    def _typed(self, error: Exception) -> SardinespoolError:
        if isinstance(error, SardinespoolError):
            return error
        _LOG.error(
            "a call to a group failed",
            request=self._plan.request_id,
            reason=repr(error),
        )
        return GroupUnavailableError(f"The call failed: {error!r}.")
