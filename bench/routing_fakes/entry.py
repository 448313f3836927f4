"""Simulated entry process with the production router and request flows."""

import collections
from collections.abc import Callable
from collections.abc import Mapping

from bench.routing_fakes.endpoint import FakeEndpoint
from bench.routing_fakes.loop import virtual_ms
from bench.routing_fakes.loop import VirtualLoop
from bench.routing_fakes.loop import wall_clock_ms
from bench.routing_fakes.measures import Outcome
from bench.routing_fakes.measures import Request
from sardinespool.routing import request_effects as effects
from sardinespool.routing import request_events as events
from sardinespool.routing.fair_queue import QueuedRequest
from sardinespool.routing.hedging import HedgePolicy
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.request_flow import RequestFlow
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.retry_budget import RetryBudget
from sardinespool.routing.router import Router
from sardinespool.routing.router_events import RouterEffect
from sardinespool.routing.router_events import RouterEvent
from sardinespool.routing.router_events import SlotAssigned
from sardinespool.routing.router_events import SlotRefused
from sardinespool.routing.router_events import SlotReleased
from sardinespool.routing.router_events import SlotRequested
from sardinespool.routing.router_events import SlotResult
from sardinespool.routing.router_events import SlotWithdrawn
from sardinespool.routing.router_events import Tick

_TICK_MS = 50.0
_NETWORK_MS = 0.25

Observer = Callable[[str, float, float], None]


class _ActiveRequest:
    """Request in progress at an entry."""

    def __init__(self, request: Request, flow: RequestFlow) -> None:
        self.request = request
        self.flow = flow
        self.sends: set[int] = set()


class FakeEntry:
    """Runs a router and its request flows; records outcomes and waste.

    Attributes
    ----------
    wasted_ms : float
        Work of endpoints on answers that were late or no longer awaited.
    observer : callable or None
        Called with worker id, send time and latency of each answer.
    """

    def __init__(
        self,
        name: str,
        loop: VirtualLoop,
        router: Router,
        endpoints: Mapping[str, FakeEndpoint],
        keys: KeySource,
        hedging: bool = False,
    ) -> None:
        self.name = name
        self.router = router
        self.alive = True
        self.outcomes: list[Outcome] = []
        self.wasted_ms = 0.0
        self.sends = 0
        self.observer: Observer | None = None
        self._loop = loop
        self._endpoints = endpoints
        self._keys = keys
        self._hedging = HedgePolicy(hedging)
        self._budgets: dict[str, RetryBudget] = {}
        self._active: dict[int, _ActiveRequest] = {}
        self._pending_steps: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._is_draining = False
        loop.call_later(_TICK_MS, self._tick)

    def arrive(self, request: Request) -> None:
        """Accept a caller's request."""
        plan = RequestPlan(
            request_id=str(request.number),
            service=request.service,
            user=request.user,
            deadline_unix_ms=wall_clock_ms(request.deadline_ms),
            idempotent=True,
            body_digest="",
        )
        budget = self._budgets.setdefault(request.service, RetryBudget(0.1))
        active = _ActiveRequest(
            request,
            RequestFlow(plan, self.name, budget, self._keys, self._hedging),
        )
        self._active[request.number] = active
        started = events.Started(
            self.router.has_endpoint(request.service, self._loop.instant())
        )
        self._post_flow_event(active, started)

    def crash(self) -> int:
        """Drop all requests in progress and return their number."""
        self.alive = False
        for active in self._active.values():
            self._record_outcome(active, "lost")
        lost = len(self._active)
        self._active.clear()
        return lost

    def route(self, event: RouterEvent) -> None:
        """Pass an event to the router and apply its effects."""
        if self.alive:
            self._enqueue(lambda: self._handle_router_event(event))

    def _tick(self) -> None:
        if self.router.queued():
            self.route(Tick())
        self._loop.call_later(_TICK_MS, self._tick)

    def _enqueue(self, step: Callable[[], None]) -> None:
        self._pending_steps.append(step)
        if self._is_draining:
            return
        self._is_draining = True
        while self._pending_steps:
            self._pending_steps.popleft()()
        self._is_draining = False

    def _post_flow_event(
        self, active: _ActiveRequest, event: events.FlowEvent
    ) -> None:
        self._enqueue(lambda: self._handle_flow_event(active, event))

    def _handle_flow_event(
        self, active: _ActiveRequest, event: events.FlowEvent
    ) -> None:
        if not self.alive:
            return
        for effect in active.flow.handle(event, self._loop.instant()):
            self._apply_flow_effect(active, effect)

    def _handle_router_event(self, event: RouterEvent) -> None:
        for effect in self.router.handle(event, self._loop.instant()):
            self._apply_router_effect(effect)

    def _apply_router_effect(self, effect: RouterEffect) -> None:
        if not isinstance(effect, SlotAssigned | SlotRefused):
            return
        request_id, number = effect.ticket.split("/")
        active = self._active.get(int(request_id))
        if active is None:
            if isinstance(effect, SlotAssigned):
                unused = SlotResult.UNUSED
                self.route(SlotReleased(effect.ticket, unused))
            return
        if isinstance(effect, SlotRefused):
            slot_denied = events.SlotDenied(int(number), effect.error)
            self._post_flow_event(active, slot_denied)
            return
        slot_given = events.SlotGiven(
            int(number),
            effect.worker_id,
            effect.address,
            effect.connection_limit,
            effect.expected_ms,
        )
        self._post_flow_event(active, slot_given)

    def _apply_flow_effect(
        self, active: _ActiveRequest, effect: effects.FlowEffect
    ) -> None:
        request = active.request
        match effect:
            case effects.RequestSlot(number, excluded):
                waiting = QueuedRequest(
                    f"{request.number}/{number}",
                    request.service,
                    request.user,
                    wall_clock_ms(request.deadline_ms),
                    excluded,
                )
                self.route(SlotRequested(waiting))
            case effects.WithdrawSlot(number):
                self.route(SlotWithdrawn(f"{request.number}/{number}"))
            case effects.ReleaseSlot(number, use, latency_ms):
                ticket = f"{request.number}/{number}"
                self.route(SlotReleased(ticket, use, latency_ms))
            case effects.Send():
                self._send(active, effect)
            case effects.CancelSend(number):
                active.sends.discard(number)
            case effects.SetTimer(unix_ms):
                wake = events.TimerExpired()
                self._loop.call_at(
                    virtual_ms(unix_ms),
                    lambda: self._post_flow_event(active, wake),
                )
            case effects.ReplyAnswered(answer):
                failed = answer.status >= 500
                self._finish(active, "failed" if failed else "answered")
            case effects.ReplyUnknown():
                self._finish(active, "unknown")
            case effects.ReplyNotRun() | effects.Forward():
                self._finish(active, "not-run")

    def _send(self, active: _ActiveRequest, send: effects.Send) -> None:
        number = send.number
        if not active.flow.may_send_first_byte(self._loop.instant()):
            late = events.SendEnded(number, events.NotSent("late"))
            self._post_flow_event(active, late)
            return
        self.sends += 1
        active.sends.add(number)
        sent_ms = self._loop.now_ms
        worker_id = send.worker_id

        def ended(result: events.SendResult) -> None:
            if number in active.sends:
                active.sends.discard(number)
                self._post_flow_event(active, events.SendEnded(number, result))

        def delivered(result: events.SendResult, work_ms: float) -> None:
            late = self._loop.now_ms > active.request.deadline_ms
            if late or number not in active.sends:
                self.wasted_ms += work_ms
            if self.observer is not None:
                self.observer(worker_id, sent_ms, self._loop.now_ms - sent_ms)
            self._loop.call_later(_NETWORK_MS, lambda: ended(result))

        endpoint = self._endpoints[worker_id]
        self._loop.call_later(
            _NETWORK_MS,
            lambda: endpoint.send(active.request.service_ms, delivered),
        )
        timeout = events.Lost("no answer before the deadline")
        self._loop.call_at(
            virtual_ms(send.deadline_unix_ms), lambda: ended(timeout)
        )

    def _finish(self, active: _ActiveRequest, outcome_kind: str) -> None:
        if self._active.pop(active.request.number, None) is not None:
            self._record_outcome(active, outcome_kind)

    def _record_outcome(
        self, active: _ActiveRequest, outcome_kind: str
    ) -> None:
        self.outcomes.append(
            Outcome(active.request, outcome_kind, self._loop.now_ms)
        )
