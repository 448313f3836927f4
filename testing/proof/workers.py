"""Simulated workers: the demo's task table and an endpoint."""

import functools
from collections.abc import Callable
from typing import Any

from demo.standin.tasks import TERMINAL_STATES
from demo.standin.tasks import WorkerTaskTable
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from testing.proof.engine import AsyncCall
from testing.proof.engine import Coroutine
from testing.proof.engine import Host
from testing.proof.request_rules import CallerRequest

HEARTBEAT_INTERVAL_MS = 1_000
TASK_INTERVAL_MS = 100
CAPACITY = (4_000, 4_000, 1)
"""Processors in millicores, memory in MB, accelerators."""

SLOT_COUNT = 3
BUSY_PROBABILITY = 0.05
"""Probability that an endpoint rejects a request without running it."""

REFUSE_AFTER_LEAVING_MS = 2_000
EXIT_AFTER_LEAVING_MS = 5_000


class WorkerHost(Host):
    """Implements the worker protocol and reports its actions to the oracle."""

    def __init__(
        self, world: Any, name: str, domain: str, services: tuple[str, ...]
    ) -> None:
        super().__init__(world, name, domain)
        self.services = services

    def on_start(self) -> None:
        self._tasks = WorkerTaskTable(self._record_task_event)
        self._started_ms: dict[tuple[str, int], int] = {}
        self._reported_attempts: set[tuple[str, int]] = set()
        self._leaving = False
        self._leave_acknowledged_ms = 0
        self._used_slots = 0
        self._entry_index = 0
        self._booking_count = 0
        self.world.oracle.worker_started(self.name, self.domain, CAPACITY)
        self.call_every(
            HEARTBEAT_INTERVAL_MS, lambda: self.spawn(self._heartbeat())
        )
        self.call_every(TASK_INTERVAL_MS, self._advance)

    def on_crash(self) -> None:
        self.world.oracle.worker_crashed(self.name)

    def leave(self) -> None:
        """Announce that the worker leaves, stop it and restart it later."""
        self._leaving = True
        stop = functools.partial(self.crash, 2_000)
        self.engine.call_later(EXIT_AFTER_LEAVING_MS, self, stop)

    def serve(
        self,
        caller_request: CallerRequest,
        entry: Host,
        respond: Callable[[bool, bytes], None],
    ) -> None:
        """Run a request, or reject it without running it."""

        def reply(not_run: bool, body: str) -> None:
            deliver = functools.partial(respond, not_run, body.encode())
            self.world.network.send(self, entry, deliver, reply=True)

        def finish() -> None:
            self._used_slots -= 1
            reply(False, body)

        rejecting = (
            self._leave_acknowledged_ms
            and self.engine.now_ms
            > self._leave_acknowledged_ms + REFUSE_AFTER_LEAVING_MS
        )
        busy = self.engine.random.random() < BUSY_PROBABILITY
        if rejecting or busy or self._used_slots >= SLOT_COUNT:
            reply(True, "refused")
            return
        self._used_slots += 1
        self._booking_count += 1
        booking = f"{self.name}-{self.start_count}-{self._booking_count}"
        body = f"{caller_request.operation.token}|{booking}|end"
        self.world.oracle.requests.record_executed(caller_request, self.name)
        self.engine.call_later(self.engine.random.randint(5, 60), self, finish)

    def _record_task_event(self, event: str, **values: Any) -> None:
        self.world.oracle.record_task_event(self.name, event, values)
        if event == "start":
            attempt = (values["task_id"], values["attempt"])
            self._started_ms[attempt] = self.engine.now_ms

    def _advance(self) -> None:
        self._tasks.advance(self.now().unix_ms)

    def _heartbeat(self) -> Coroutine:
        self._advance()
        reports = self._tasks.reports()
        for report in reports:
            self.world.oracle.record_checkpoint(
                report.task_id, report.checkpoint
            )
        self._reported_attempts |= {(r.task_id, r.attempt) for r in reports}
        heartbeat = Heartbeat(
            worker_id=self.name,
            incarnation=self.start_count,
            failure_domain=self.domain,
            address=self.name if self.services else "",
            services=self.services,
            slots=SLOT_COUNT,
            connections=64,
            processors_millicores=CAPACITY[0],
            memory_mb=CAPACITY[1],
            accelerators=CAPACITY[2],
            leaving=self._leaving,
            sent_unix_ms=self.now().unix_ms,
            tasks=reports,
        )
        for _ in range(2):
            reply = yield self._send_heartbeat(heartbeat)
            if isinstance(reply, HeartbeatReply):
                self._apply_reply(heartbeat, reply)
            if reply is not None:
                return
            self._entry_index += 1

    def _send_heartbeat(self, heartbeat: Heartbeat) -> AsyncCall:
        """Send a heartbeat to one entry; the result is None after 1 s."""
        entries = self.world.entries_of(self.domain)
        entry = entries[self._entry_index % len(entries)]
        start_count = self.start_count

        def start_call(resume: Callable[[Any], None]) -> None:
            def respond(reply: Any) -> None:
                def receive() -> None:
                    if self.start_count == start_count:
                        resume(reply)

                self.world.network.send(entry, self, receive, reply=True)

            self.world.network.send(
                self, entry, lambda: entry.heartbeat(heartbeat, respond)
            )
            self.sleep(HEARTBEAT_INTERVAL_MS)(resume)

        return start_call

    def _apply_reply(self, sent: Heartbeat, reply: HeartbeatReply) -> None:
        monitor, oracle = self.world.step_monitor, self.world.oracle
        monitor.record_step("lease-renewed", self)
        if any(
            d.action == "run"
            and (d.task_id, d.attempt) not in self._reported_attempts
            for d in reply.directives
        ):
            monitor.record_step("start-delivered", self)
        if sent.leaving and not self._leave_acknowledged_ms:
            self._leave_acknowledged_ms = self.engine.now_ms
            oracle.requests.leaving_ms[self.name] = self.engine.now_ms
        # Like a real worker, check for expired leases before the reply.
        self._advance()
        oracle.record_lease(
            self.name, self.real_ms(reply.lease_deadline_unix_ms)
        )
        before = {(r.task_id, r.attempt): r for r in self._tasks.reports()}
        self._tasks.apply(reply, self.now().unix_ms)
        after = {(r.task_id, r.attempt) for r in self._tasks.reports()}
        for attempt, report in before.items():
            if attempt not in after and report.state in TERMINAL_STATES:
                started_ms = self._started_ms.get(attempt, -1)
                oracle.record_acknowledgement(self.name, report, started_ms)
