"""Stand-in workers: the demonstration's task table and an endpoint."""

import functools
from collections.abc import Callable
from typing import Any

from demo.standin.tasks import TaskTable
from demo.standin.tasks import TERMINAL_STATES
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from testing.proof.engine import Host
from testing.proof.engine import Steps
from testing.proof.engine import Wait
from testing.proof.request_rules import Asked

HEARTBEAT_INTERVAL_MS = 1_000
ADVANCE_INTERVAL_MS = 100
CAPACITY = (4_000, 4_000, 1)
"""Processors in millicores, memory in MB, accelerators."""

SLOTS = 3
BUSY_SHARE = 0.05
"""Share of the requests that an endpoint says it did not run."""

REFUSE_AFTER_LEAVING_MS = 2_000
EXIT_AFTER_LEAVING_MS = 5_000


class WorkerHost(Host):
    """Obeys the worker protocol and records what it does."""

    def __init__(
        self, world: Any, name: str, domain: str, services: tuple[str, ...]
    ) -> None:
        super().__init__(world, name, domain)
        self.services = services

    def on_start(self) -> None:
        self._tasks = TaskTable(self._record)
        self._started_ms: dict[tuple[str, int], int] = {}
        self._known: set[tuple[str, int]] = set()
        self._leaving = False
        self._leaving_known_ms = 0
        self._in_use = 0
        self._entry = 0
        self._bookings = 0
        self.world.oracle.worker_started(self.name, self.domain, CAPACITY)
        self.every(
            HEARTBEAT_INTERVAL_MS, lambda: self.spawn(self._heartbeat())
        )
        self.every(ADVANCE_INTERVAL_MS, self._advance)

    def on_crash(self) -> None:
        self.world.oracle.worker_crashed(self.name)

    def leave(self) -> None:
        """Announce that the worker leaves; it returns later."""
        self._leaving = True
        end = functools.partial(self.crash, 2_000)
        self.engine.at(EXIT_AFTER_LEAVING_MS, self, end)

    def serve(
        self, asked: Asked, entry: Host, answer: Callable[[bool, bytes], None]
    ) -> None:
        """Run a request, or say that it was not run."""

        def reply(not_run: bool, body: str) -> None:
            answered = functools.partial(answer, not_run, body.encode())
            self.world.network.send(self, entry, answered, reply=True)

        def finish() -> None:
            self._in_use -= 1
            reply(False, body)

        refusing = (
            self._leaving_known_ms
            and self.engine.now_ms
            > self._leaving_known_ms + REFUSE_AFTER_LEAVING_MS
        )
        busy = self.engine.random.random() < BUSY_SHARE
        if refusing or busy or self._in_use >= SLOTS:
            reply(True, "refused")
            return
        self._in_use += 1
        self._bookings += 1
        booking = f"{self.name}-{self.starts}-{self._bookings}"
        body = f"{asked.operation.token}|{booking}|end"
        self.world.oracle.requests.executed(asked, self.name)
        self.engine.at(self.engine.random.randint(5, 60), self, finish)

    def _record(self, event: str, **values: Any) -> None:
        self.world.oracle.task_event(self.name, event, values)
        if event == "start":
            attempt = (values["task_id"], values["attempt"])
            self._started_ms[attempt] = self.engine.now_ms

    def _advance(self) -> None:
        self._tasks.advance(self.now().unix_ms)

    def _heartbeat(self) -> Steps:
        self._advance()
        reports = self._tasks.reports()
        for report in reports:
            self.world.oracle.reported(report.task_id, report.checkpoint)
        self._known |= {(r.task_id, r.attempt) for r in reports}
        heartbeat = Heartbeat(
            worker_id=self.name,
            incarnation=self.starts,
            failure_domain=self.domain,
            address=self.name if self.services else "",
            services=self.services,
            slots=SLOTS,
            connections=64,
            processors_millicores=CAPACITY[0],
            memory_mb=CAPACITY[1],
            accelerators=CAPACITY[2],
            leaving=self._leaving,
            sent_unix_ms=self.now().unix_ms,
            tasks=reports,
        )
        for _ in range(2):
            reply = yield self._ask(heartbeat)
            if isinstance(reply, HeartbeatReply):
                self._follow(heartbeat, reply)
            if reply is not None:
                return
            self._entry += 1

    def _ask(self, heartbeat: Heartbeat) -> Wait:
        """Send to one entry; the result is None after a second."""
        entries = self.world.entries_of(self.domain)
        entry = entries[self._entry % len(entries)]
        starts = self.starts

        def wait(resume: Callable[[Any], None]) -> None:
            def answer(reply: Any) -> None:
                def receive() -> None:
                    if self.starts == starts:
                        resume(reply)

                self.world.network.send(entry, self, receive, reply=True)

            self.world.network.send(
                self, entry, lambda: entry.heartbeat(heartbeat, answer)
            )
            self.sleep(HEARTBEAT_INTERVAL_MS)(resume)

        return wait

    def _follow(self, sent: Heartbeat, reply: HeartbeatReply) -> None:
        watch, oracle = self.world.watch, self.world.oracle
        watch.fire("lease-renewed", self)
        if any(
            d.action == "run" and (d.task_id, d.attempt) not in self._known
            for d in reply.directives
        ):
            watch.fire("start-delivered", self)
        if sent.leaving and not self._leaving_known_ms:
            self._leaving_known_ms = self.engine.now_ms
            oracle.requests.leaving_ms[self.name] = self.engine.now_ms
        # The worker looks at the clock before it takes the reply.
        self._advance()
        oracle.lease(self.name, self.real_ms(reply.lease_deadline_unix_ms))
        before = {(r.task_id, r.attempt): r for r in self._tasks.reports()}
        self._tasks.apply(reply, self.now().unix_ms)
        after = {(r.task_id, r.attempt) for r in self._tasks.reports()}
        for attempt, report in before.items():
            if attempt not in after and report.state in TERMINAL_STATES:
                started_ms = self._started_ms.get(attempt, -1)
                oracle.acknowledged(self.name, report, started_ms)
