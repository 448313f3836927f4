"""Stand-in for an entry process: the real router and request flows."""

import collections
from collections.abc import Callable
from collections.abc import Mapping

from bench.routing_fakes.endpoint import FakeEndpoint
from bench.routing_fakes.loop import elapsed_of
from bench.routing_fakes.loop import unix_of
from bench.routing_fakes.loop import VirtualLoop
from bench.routing_fakes.measures import Outcome
from bench.routing_fakes.measures import Request
from sardinespool.routing import request_effects as effects
from sardinespool.routing import request_events as events
from sardinespool.routing.fair_queue import Waiting
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
from sardinespool.routing.router_events import SlotReturned
from sardinespool.routing.router_events import SlotUse
from sardinespool.routing.router_events import SlotWanted
from sardinespool.routing.router_events import SlotWithdrawn
from sardinespool.routing.router_events import Tick

_TICK_MS = 50.0
_NETWORK_MS = 0.25

Observer = Callable[[str, float, float], None]


class _Running:
    """A request in progress at the entry."""

    def __init__(self, request: Request, flow: RequestFlow) -> None:
        self.request = request
        self.flow = flow
        self.sends: set[int] = set()


class FakeEntry:
    """Feeds a router and its flows; counts endings and wasted work.

    Attributes
    ----------
    wasted_ms : float
        Work of endpoints whose answer was late or no longer wanted.
    observer : callable or None
        Called with worker, time sent and latency of each answer.
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
        self._running: dict[int, _Running] = {}
        self._pending: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._draining = False
        loop.after(_TICK_MS, self._tick)

    def arrive(self, request: Request) -> None:
        """Take a caller's request."""
        plan = RequestPlan(
            request_id=str(request.number),
            service=request.service,
            user=request.user,
            deadline_unix_ms=unix_of(request.deadline_ms),
            idempotent=True,
            body_digest="",
        )
        budget = self._budgets.setdefault(request.service, RetryBudget(0.1))
        running = _Running(
            request,
            RequestFlow(plan, self.name, budget, self._keys, self._hedging),
        )
        self._running[request.number] = running
        started = events.Started(
            self.router.has_endpoint(request.service, self._loop.instant())
        )
        self._post(running, started)

    def die(self) -> int:
        """Lose all requests in progress and return their number."""
        self.alive = False
        for running in self._running.values():
            self._end(running, "lost")
        lost = len(self._running)
        self._running.clear()
        return lost

    def route(self, event: RouterEvent) -> None:
        """Pass an event to the router and follow its effects."""
        if self.alive:
            self._then(lambda: self._route(event))

    def _tick(self) -> None:
        if self.router.queued():
            self.route(Tick())
        self._loop.after(_TICK_MS, self._tick)

    def _then(self, step: Callable[[], None]) -> None:
        self._pending.append(step)
        if self._draining:
            return
        self._draining = True
        while self._pending:
            self._pending.popleft()()
        self._draining = False

    def _post(self, running: _Running, event: events.FlowEvent) -> None:
        self._then(lambda: self._step(running, event))

    def _step(self, running: _Running, event: events.FlowEvent) -> None:
        if not self.alive:
            return
        for effect in running.flow.handle(event, self._loop.instant()):
            self._follow(running, effect)

    def _route(self, event: RouterEvent) -> None:
        for effect in self.router.handle(event, self._loop.instant()):
            self._deliver(effect)

    def _deliver(self, effect: RouterEffect) -> None:
        if not isinstance(effect, SlotAssigned | SlotRefused):
            return
        request_id, number = effect.ticket.split("/")
        running = self._running.get(int(request_id))
        if running is None:
            if isinstance(effect, SlotAssigned):
                unused = SlotUse.UNUSED
                self.route(SlotReturned(effect.ticket, unused))
            return
        if isinstance(effect, SlotRefused):
            denied = events.SlotDenied(int(number), effect.error)
            self._post(running, denied)
            return
        given = events.SlotGiven(
            int(number),
            effect.worker_id,
            effect.address,
            effect.connection_limit,
            effect.expected_ms,
        )
        self._post(running, given)

    def _follow(self, running: _Running, effect: effects.FlowEffect) -> None:
        request = running.request
        match effect:
            case effects.WantSlot(number, excluded):
                waiting = Waiting(
                    f"{request.number}/{number}",
                    request.service,
                    request.user,
                    unix_of(request.deadline_ms),
                    excluded,
                )
                self.route(SlotWanted(waiting))
            case effects.WithdrawSlot(number):
                self.route(SlotWithdrawn(f"{request.number}/{number}"))
            case effects.ReturnSlot(number, use, latency_ms):
                ticket = f"{request.number}/{number}"
                self.route(SlotReturned(ticket, use, latency_ms))
            case effects.Send():
                self._send(running, effect)
            case effects.CancelSend(number):
                running.sends.discard(number)
            case effects.Wake(unix_ms):
                wake = events.Woken()
                self._loop.at(
                    elapsed_of(unix_ms), lambda: self._post(running, wake)
                )
            case effects.ReplyAnswered(answer):
                failed = answer.status >= 500
                self._finish(running, "failed" if failed else "answered")
            case effects.ReplyUnknown():
                self._finish(running, "unknown")
            case effects.ReplyNotRun() | effects.Forward():
                self._finish(running, "not-run")

    def _send(self, running: _Running, send: effects.Send) -> None:
        number = send.number
        if not running.flow.may_send_first_byte(self._loop.instant()):
            late = events.SendEnded(number, events.NotSent("late"))
            self._post(running, late)
            return
        self.sends += 1
        running.sends.add(number)
        sent_ms = self._loop.now_ms
        worker_id = send.worker_id

        def ended(result: events.SendResult) -> None:
            if number in running.sends:
                running.sends.discard(number)
                self._post(running, events.SendEnded(number, result))

        def delivered(result: events.SendResult, work_ms: float) -> None:
            late = self._loop.now_ms > running.request.deadline_ms
            if late or number not in running.sends:
                self.wasted_ms += work_ms
            if self.observer is not None:
                self.observer(worker_id, sent_ms, self._loop.now_ms - sent_ms)
            self._loop.after(_NETWORK_MS, lambda: ended(result))

        endpoint = self._endpoints[worker_id]
        self._loop.after(
            _NETWORK_MS,
            lambda: endpoint.send(running.request.service_ms, delivered),
        )
        timeout = events.Lost("no answer in time")
        self._loop.at(
            elapsed_of(send.deadline_unix_ms), lambda: ended(timeout)
        )

    def _finish(self, running: _Running, kind: str) -> None:
        if self._running.pop(running.request.number, None) is not None:
            self._end(running, kind)

    def _end(self, running: _Running, kind: str) -> None:
        self.outcomes.append(Outcome(running.request, kind, self._loop.now_ms))
