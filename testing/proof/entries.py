"""Simulated entries: the daemon's router and request flows."""

import collections
import dataclasses
import functools
from collections.abc import Callable
from typing import Any

import msgspec

from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import StoredResponse
from sardinespool.messages.tasks import Accepted
from sardinespool.routing import request_effects as effects
from sardinespool.routing import request_events as events
from sardinespool.routing import router_events as routed
from sardinespool.routing.fair_queue import QueuedRequest
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.request_flow import RequestFlow
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.retry_budget import RetryBudget
from sardinespool.routing.router import Router
from testing.proof.engine import Coroutine
from testing.proof.engine import Host
from testing.proof.engine import once
from testing.proof.request_rules import CallerRequest

SYNC_INTERVAL_MS = 250
CALL_TIMEOUT_MS = 1_000
ROUTER_TICK_INTERVAL_MS = 50
ENTRIES_PER_DOMAIN = 2

EndCallback = Callable[[str, bytes, str], None]
"""Callback that takes the outcome, the body and the key."""


@dataclasses.dataclass
class ActiveRequest:
    """A request in progress; only the latest timer may fire."""

    flow: RequestFlow
    caller_request: CallerRequest
    on_end: EndCallback
    timer_count: int = 0


class EntryHost(Host):
    """One entry; executes effects like `RequestRunner`."""

    def on_start(self) -> None:
        random = self.engine.random
        self.router = Router(ENTRIES_PER_DOMAIN, 64, random.getrandbits(32))
        self.keys = KeySource(self.domain, self.world.domains, random)
        self.budget = RetryBudget(0.1)
        self.synced = False
        self._tickets: dict[str, tuple[ActiveRequest, int]] = {}
        self._pending_events: collections.deque[tuple[ActiveRequest, Any]] = (
            collections.deque()
        )
        self._handling_events = False
        self._request_count = 0
        self.spawn(self._sync())
        self.call_every(ROUTER_TICK_INTERVAL_MS, self._tick)

    def heartbeat(
        self, heartbeat: Any, on_reply: Callable[[Any], None]
    ) -> None:
        self.call(self.domain, heartbeat, CALL_TIMEOUT_MS)(on_reply)

    def submit(
        self, caller_request: CallerRequest, on_end: EndCallback
    ) -> None:
        """Handle a request of a caller or of another entry."""
        if not self.synced:
            on_end("not-run", b"not synced", "")
            return
        self._request_count += 1
        plan = RequestPlan(
            request_id=f"{self.name}-{self.start_count}-{self._request_count}",
            service="seats",
            user=caller_request.operation.token[:2],
            deadline_unix_ms=caller_request.deadline_unix_ms,
            idempotent=caller_request.operation.idempotent,
            body_digest=caller_request.digest,
            caller_key=caller_request.key,
            forwarded=caller_request.forwarded,
        )
        flow = RequestFlow(plan, self.name, self.budget, self.keys)
        has_endpoint = self.router.has_endpoint("seats", self.now())
        self._post(
            ActiveRequest(flow, caller_request, on_end),
            events.Started(has_endpoint),
        )

    def _post(self, active: ActiveRequest, event: Any) -> None:
        """Queue an event of a flow and handle all queued events in order."""
        self._pending_events.append((active, event))
        if self._handling_events:
            return
        self._handling_events = True
        while self._pending_events:
            request, queued_event = self._pending_events.popleft()
            for effect in request.flow.handle(queued_event, self.now()):
                self._execute(request, effect)
        self._handling_events = False

    def _execute(
        self, active: ActiveRequest, effect: effects.FlowEffect
    ) -> None:
        match effect:
            case effects.RequestSlot(number, excluded):
                self._request_slot(active, number, excluded)
            case effects.WithdrawSlot(number):
                ticket = self._ticket_of(active, number)
                self._tickets.pop(ticket, None)
                self._handle_router_event(routed.SlotWithdrawn(ticket))
            case effects.ReleaseSlot(number, use, latency_ms):
                ticket = self._ticket_of(active, number)
                self._handle_router_event(
                    routed.SlotReleased(ticket, use, latency_ms)
                )
            case effects.Send():
                self.world.step_monitor.record_step("send-decided", self)
                send_request = functools.partial(
                    self._send_request, active, effect
                )
                self.engine.call_later(
                    self.engine.random.randrange(3), self, send_request
                )
            case effects.Begin():
                begin_replied = functools.partial(
                    self._begin_replied, active, effect.attempt
                )
                self._call_home_group(effect, begin_replied)
            case effects.StoreOutcome():
                self._call_home_group(
                    effect, functools.partial(self._outcome_replied, active)
                )
            case effects.SetTimer(unix_ms):
                active.timer_count += 1
                fire_timer = functools.partial(
                    self._fire_timer, active, active.timer_count
                )
                self.call_at_unix(unix_ms, fire_timer)
            case effects.Forward(key):
                self._forward(active, key)
            case effects.ReplyAnswered(answer, key):
                active.on_end("answered", answer.body, key)
            case effects.ReplyForwarded(answer, key):
                active.on_end(answer.headers[0][1], answer.body, key)
            case effects.ReplyNotRun(error, key):
                active.on_end("not-run", error.text.encode(), key)
            case effects.ReplyUnknown(error, key):
                active.on_end("unknown", error.text.encode(), key)

    def _ticket_of(self, active: ActiveRequest, number: int) -> str:
        return f"{active.flow.plan.request_id}#{number}"

    def _fire_timer(self, active: ActiveRequest, number: int) -> None:
        if number == active.timer_count:
            self._post(active, events.TimerExpired())

    def _request_slot(
        self, active: ActiveRequest, number: int, excluded: Any
    ) -> None:
        ticket = self._ticket_of(active, number)
        self._tickets[ticket] = (active, number)
        plan = active.flow.plan
        waiting = QueuedRequest(
            ticket, plan.service, plan.user, plan.deadline_unix_ms, excluded
        )
        self._handle_router_event(routed.SlotRequested(waiting))

    def _handle_router_event(self, event: routed.RouterEvent) -> None:
        for effect in self.router.handle(event, self.now()):
            if isinstance(effect, routed.EndpointsChanged):
                continue
            slot_request = self._tickets.pop(effect.ticket, None)
            if slot_request is None:
                continue
            active, number = slot_request
            slot_event: Any = None
            if isinstance(effect, routed.SlotRefused):
                slot_event = events.SlotDenied(number, effect.error)
            else:
                slot_event = events.SlotGiven(
                    number,
                    effect.worker_id,
                    effect.address,
                    effect.connection_limit,
                    effect.expected_ms,
                )
            self._post(active, slot_event)

    def _send_request(self, active: ActiveRequest, send: effects.Send) -> None:
        def end(result: events.SendResult) -> None:
            if isinstance(result, events.Answered):
                self.world.step_monitor.record_step("answer-received", self)
            self._post(active, events.SendEnded(send.number, result))

        end_once = once(end)
        worker = self.world.workers[send.worker_id]
        link = (self.name, worker.name)
        if not active.flow.may_send_first_byte(
            self.now()
        ) or not self.router.table.may_receive(
            send.worker_id, send.address, active.flow.plan.service
        ):
            end_once(events.NotSent("send cancelled"))
            return
        if not worker.up and link not in self.world.network.cut_links:
            end_once(events.NotSent("connection refused"))
            return
        self.world.step_monitor.record_step("first-byte-sent", self)
        late = self.now().unix_ms >= active.caller_request.deadline_unix_ms
        request_rules = self.world.oracle.requests
        request_rules.record_sent(
            self.name, worker.name, late, active.caller_request.request_id
        )
        start_count = self.start_count

        def respond(not_run: bool, body: bytes) -> None:
            if self.start_count == start_count:
                status = 503 if not_run else 200
                stored = StoredResponse(status=status, headers=(), body=body)
                end_once(events.Answered(stored, not_run))

        self.world.network.send(
            self,
            worker,
            lambda: worker.serve(active.caller_request, self, respond),
            at_most_once=True,
        )
        lost_result = events.Lost("no response before the deadline")
        self.call_at_unix(send.deadline_unix_ms, lambda: end_once(lost_result))

    def _call_home_group(
        self, effect: Any, on_reply: Callable[[Any], None]
    ) -> None:
        self.world.clients.call(
            self,
            effect.home,
            effect.request,
            effect.deadline_unix_ms,
            on_reply,
        )

    def _begin_replied(
        self, active: ActiveRequest, attempt: int, reply: Any
    ) -> None:
        if isinstance(reply, BeginReply):
            self._post(active, events.BeginAnswered(attempt, reply))
        else:
            self._post(active, events.BeginFailed(attempt, reply))

    def _outcome_replied(self, active: ActiveRequest, reply: Any) -> None:
        if isinstance(reply, Accepted):
            self._post(active, events.OutcomeStored())
        else:
            self._post(active, events.OutcomeNotStored(reply))

    def _forward(self, active: ActiveRequest, key: str) -> None:
        self.world.step_monitor.record_step("request-forwarded", self)
        entries = self.world.entries.values()
        others = [e for e in entries if e.domain != self.domain and e.up]
        end = once(lambda r: self._post(active, events.ForwardEnded(r)))
        if not others:
            end(events.NotSent("no other entry is up"))
            return
        other = self.engine.random.choice(others)
        caller_request = dataclasses.replace(
            active.caller_request, key=key, forwarded=True
        )
        start_count = self.start_count

        def reply(outcome: str, body: bytes, _: str) -> None:
            headers = (("Outcome", outcome),)
            answer = StoredResponse(status=200, headers=headers, body=body)
            result = events.Answered(answer, outcome == "not-run")
            self.world.network.send(
                other,
                self,
                lambda: self.start_count == start_count and end(result),
            )

        self.world.network.send(
            self,
            other,
            lambda: other.submit(caller_request, reply),
            at_most_once=True,
        )
        lost_result = events.Lost("no response from the other entry")
        self.call_at_unix(
            caller_request.deadline_unix_ms + 250, lambda: end(lost_result)
        )

    def _tick(self) -> None:
        if self.router.queued():
            self._handle_router_event(routed.Tick())

    def _sync(self) -> Coroutine:
        failures = 0
        yield self.sleep(self.engine.random.randrange(SYNC_INTERVAL_MS))
        while True:
            sent_ms = self.engine.now_ms
            table = self.router.table
            request = EntrySync(
                entry_id=self.name,
                address=self.name,
                known_version=table.version,
                known_table_version=table.table_version,
                demands=table.collect_demands(self.router.queued_by_service()),
                queued=self.router.queued(),
            )
            view = yield self.call(self.domain, request, CALL_TIMEOUT_MS)
            failures = 0 if isinstance(view, EntryView) else failures + 1
            self.keys.own_group_reachable = failures < 3
            if isinstance(view, EntryView):
                self.keys.group_incarnation = view.group_incarnation
                self.synced = True
                self._handle_router_event(routed.ViewReceived(view))
                if view.grants:
                    self.world.step_monitor.record_step("slot-granted", self)
                self._record_view(sent_ms, view)
            elapsed_ms = self.engine.now_ms - sent_ms
            yield self.sleep(max(1, SYNC_INTERVAL_MS - elapsed_ms))

    def _record_view(self, sent_ms: int, view: EntryView) -> None:
        oracle = self.world.oracle
        version = self.router.table.version
        content = ""
        if view.configuration and view.configuration.version == version:
            values = view.configuration.values
            content = msgspec.json.encode(values, order="sorted").decode()
        oracle.record_version(self.name, version, content)
        oracle.requests.synced_ms[self.name] = sent_ms
        for state in self.router.table:
            floor, granted_until_ms, granted = state.floor_slots, 0, 0
            if state.grant is not None:
                granted = state.grant.slots
                granted_until_ms = self.real_ms(state.grant.deadline_unix_ms)
            worker = state.endpoint.worker_id
            oracle.requests.record_slots(
                self.name, worker, floor, granted, granted_until_ms
            )
            oracle.requests.check_slots(worker, state.endpoint.slots)
