"""Entry processes: the daemon's router and flows over the virtual network."""

import collections
import dataclasses
import functools
from collections.abc import Callable
from typing import Any

import msgspec

from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import StoredAnswer
from sardinespool.messages.tasks import Accepted
from sardinespool.routing import request_effects as effects
from sardinespool.routing import request_events as events
from sardinespool.routing import router_events as routed
from sardinespool.routing.fair_queue import Waiting
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.request_flow import RequestFlow
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.retry_budget import RetryBudget
from sardinespool.routing.router import Router
from testing.proof.engine import Host
from testing.proof.engine import once
from testing.proof.engine import Steps
from testing.proof.request_rules import Asked

SYNC_INTERVAL_MS = 250
CALL_TIMEOUT_MS = 1_000
TICK_INTERVAL_MS = 50
ENTRIES_OF_A_DOMAIN = 2

Ended = Callable[[str, bytes, str], None]
"""Takes the outcome, the body and the key."""


@dataclasses.dataclass
class Active:
    """A request in progress."""

    flow: RequestFlow
    asked: Asked
    ended: Ended
    wakes: int = 0


class EntryHost(Host):
    """One entry; carries out effects as `RequestRunner` does."""

    def on_start(self) -> None:
        random = self.engine.random
        self.router = Router(ENTRIES_OF_A_DOMAIN, 64, random.getrandbits(32))
        self.keys = KeySource(self.domain, self.world.domains, random)
        self.budget = RetryBudget(0.1)
        self.synced = False
        self._tickets: dict[str, tuple[Active, int]] = {}
        self._todo: collections.deque[tuple[Active, Any]] = collections.deque()
        self._running = False
        self._requests = 0
        self.spawn(self._sync())
        self.every(TICK_INTERVAL_MS, self._tick)

    def heartbeat(self, heartbeat: Any, answer: Callable[[Any], None]) -> None:
        self.call(self.domain, heartbeat, CALL_TIMEOUT_MS)(answer)

    def submit(self, asked: Asked, ended: Ended) -> None:
        """Take a request of a caller or of another entry."""
        if not self.synced:
            ended("not-run", b"not synced", "")
            return
        self._requests += 1
        plan = RequestPlan(
            request_id=f"{self.name}-{self.starts}-{self._requests}",
            service="seats",
            user=asked.operation.token[:2],
            deadline_unix_ms=asked.deadline_unix_ms,
            idempotent=asked.operation.idempotent,
            body_digest=asked.digest,
            own_key=asked.key,
            forwarded=asked.forwarded,
        )
        flow = RequestFlow(plan, self.name, self.budget, self.keys)
        has_endpoint = self.router.has_endpoint("seats", self.now())
        self._post(Active(flow, asked, ended), events.Started(has_endpoint))

    def _post(self, active: Active, event: Any) -> None:
        """Handle an event of a flow, after those that wait."""
        self._todo.append((active, event))
        if self._running:
            return
        self._running = True
        while self._todo:
            request, waiting = self._todo.popleft()
            for effect in request.flow.handle(waiting, self.now()):
                self._execute(request, effect)
        self._running = False

    def _execute(self, active: Active, effect: effects.FlowEffect) -> None:
        match effect:
            case effects.WantSlot(number, excluded):
                self._want(active, number, excluded)
            case effects.WithdrawSlot(number):
                ticket = self._ticket(active, number)
                self._tickets.pop(ticket, None)
                self._route(routed.SlotWithdrawn(ticket))
            case effects.ReturnSlot(number, use, latency_ms):
                ticket = self._ticket(active, number)
                self._route(routed.SlotReturned(ticket, use, latency_ms))
            case effects.Send():
                self.world.watch.fire("send-decided", self)
                write = functools.partial(self._write, active, effect)
                self.engine.at(self.engine.random.randrange(3), self, write)
            case effects.Begin():
                begun = functools.partial(self._begun, active, effect.attempt)
                self._store(effect, begun)
            case effects.StoreOutcome():
                self._store(effect, functools.partial(self._stored, active))
            case effects.Wake(unix_ms):
                active.wakes += 1
                wake = functools.partial(self._wake, active, active.wakes)
                self.at_unix(unix_ms, wake)
            case effects.Forward(key):
                self._forward(active, key)
            case effects.ReplyAnswered(answer, key):
                active.ended("answered", answer.body, key)
            case effects.ReplyForwarded(answer, key):
                active.ended(answer.headers[0][1], answer.body, key)
            case effects.ReplyNotRun(error, key):
                active.ended("not-run", error.text.encode(), key)
            case effects.ReplyUnknown(error, key):
                active.ended("unknown", error.text.encode(), key)

    def _ticket(self, active: Active, number: int) -> str:
        return f"{active.flow.plan.request_id}#{number}"

    def _wake(self, active: Active, number: int) -> None:
        if number == active.wakes:
            self._post(active, events.Woken())

    def _want(self, active: Active, number: int, excluded: Any) -> None:
        ticket = self._ticket(active, number)
        self._tickets[ticket] = (active, number)
        plan = active.flow.plan
        waiting = Waiting(
            ticket, plan.service, plan.user, plan.deadline_unix_ms, excluded
        )
        self._route(routed.SlotWanted(waiting))

    def _route(self, event: routed.RouterEvent) -> None:
        for effect in self.router.handle(event, self.now()):
            if isinstance(effect, routed.EndpointsChanged):
                continue
            found = self._tickets.pop(effect.ticket, None)
            if found is None:
                continue
            active, number = found
            given: Any = None
            if isinstance(effect, routed.SlotRefused):
                given = events.SlotDenied(number, effect.error)
            else:
                given = events.SlotGiven(
                    number,
                    effect.worker_id,
                    effect.address,
                    effect.connection_limit,
                    effect.expected_ms,
                )
            self._post(active, given)

    def _write(self, active: Active, send: effects.Send) -> None:
        def end(result: events.SendResult) -> None:
            if isinstance(result, events.Answered):
                self.world.watch.fire("answer-received", self)
            self._post(active, events.SendEnded(send.number, result))

        end_once = once(end)
        worker = self.world.workers[send.worker_id]
        link = (self.name, worker.name)
        if not active.flow.may_send_first_byte(
            self.now()
        ) or not self.router.table.accepts(send.worker_id):
            end_once(events.NotSent("the send was given up"))
            return
        if not worker.up and link not in self.world.network.cuts:
            end_once(events.NotSent("connection refused"))
            return
        self.world.watch.fire("first-byte-sent", self)
        late = self.now().unix_ms >= active.asked.deadline_unix_ms
        rules = self.world.oracle.requests
        rules.sent(self.name, worker.name, late, active.asked.request_id)
        starts = self.starts

        def answer(not_run: bool, body: bytes) -> None:
            if self.starts == starts:
                status = 503 if not_run else 200
                stored = StoredAnswer(status=status, headers=(), body=body)
                end_once(events.Answered(stored, not_run))

        self.world.network.send(
            self,
            worker,
            lambda: worker.serve(active.asked, self, answer),
            once=True,
        )
        lost = events.Lost("no answer before the deadline")
        self.at_unix(send.deadline_unix_ms, lambda: end_once(lost))

    def _store(self, effect: Any, receive: Callable[[Any], None]) -> None:
        self.world.clients.call(
            self, effect.home, effect.request, effect.deadline_unix_ms, receive
        )

    def _begun(self, active: Active, attempt: int, reply: Any) -> None:
        if isinstance(reply, BeginReply):
            self._post(active, events.BeginAnswered(attempt, reply))
        else:
            self._post(active, events.BeginFailed(attempt, reply))

    def _stored(self, active: Active, reply: Any) -> None:
        if isinstance(reply, Accepted):
            self._post(active, events.OutcomeStored())
        else:
            self._post(active, events.OutcomeNotStored(reply))

    def _forward(self, active: Active, key: str) -> None:
        self.world.watch.fire("request-forwarded", self)
        entries = self.world.entries.values()
        others = [e for e in entries if e.domain != self.domain and e.up]
        end = once(lambda r: self._post(active, events.ForwardEnded(r)))
        if not others:
            end(events.NotSent("no other entry runs"))
            return
        other = self.engine.random.choice(others)
        asked = dataclasses.replace(active.asked, key=key, forwarded=True)
        starts = self.starts

        def reply(outcome: str, body: bytes, _: str) -> None:
            headers = (("Outcome", outcome),)
            answer = StoredAnswer(status=200, headers=headers, body=body)
            result = events.Answered(answer, outcome == "not-run")
            self.world.network.send(
                other, self, lambda: self.starts == starts and end(result)
            )

        self.world.network.send(
            self, other, lambda: other.submit(asked, reply), once=True
        )
        lost = events.Lost("the other entry did not answer")
        self.at_unix(asked.deadline_unix_ms + 250, lambda: end(lost))

    def _tick(self) -> None:
        if self.router.queued():
            self._route(routed.Tick())

    def _sync(self) -> Steps:
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
                demands=table.take_demands(self.router.queued_by_service()),
                queued=self.router.queued(),
            )
            view = yield self.call(self.domain, request, CALL_TIMEOUT_MS)
            failures = 0 if isinstance(view, EntryView) else failures + 1
            self.keys.own_group_reachable = failures < 3
            if isinstance(view, EntryView):
                self.keys.group_incarnation = view.group_incarnation
                self.synced = True
                self._route(routed.ViewReceived(view))
                if view.grants:
                    self.world.watch.fire("slot-granted", self)
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
        oracle.acted_on(self.name, version, content)
        oracle.requests.synced_ms[self.name] = sent_ms
        for state in self.router.table:
            floor, until_ms, extra = state.floor_slots, 0, 0
            if state.grant is not None:
                extra = state.grant.slots
                until_ms = self.real_ms(state.grant.deadline_unix_ms)
            worker = state.endpoint.worker_id
            oracle.requests.slots(self.name, worker, floor, extra, until_ms)
            oracle.requests.check_slots(worker, state.endpoint.slots)
