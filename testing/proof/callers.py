"""Callers: lookups and bookings through any entry of their domain."""

import functools
import hashlib
from collections.abc import Callable
from typing import Any

from testing.proof.engine import Host
from testing.proof.engine import Steps
from testing.proof.engine import Wait
from testing.proof.request_rules import Asked
from testing.proof.request_rules import Operation

INTERVAL_MS = 180
TIMEOUT_MS = 2_500
PATIENCE_MS = 400
REPEATS = 3


class CallerHost(Host):
    """Asks all the time; repeats what it got no answer to."""

    def __init__(self, world: Any, name: str, domain: str) -> None:
        super().__init__(world, name, domain)
        self.active = True
        self._count = 0
        self._requests = 0
        self._last_key = ""

    def on_start(self) -> None:
        self.every(INTERVAL_MS, self._ask_something)

    def book(self) -> str:
        """Book with an own key and return the operation's token."""
        operation = self._new(idempotent=False)
        self.spawn(self._ask(operation, operation.token))
        return operation.token

    def _ask_something(self) -> None:
        if not self.active:
            return
        draw = self.engine.random.random()
        operation = self._new(idempotent=draw < 0.4)
        key = operation.token if draw >= 0.65 else ""
        if draw > 0.97 and self._last_key:
            # Another operation under a key that was used before.
            key = self._last_key
        self._last_key = key or self._last_key
        self.spawn(self._ask(operation, key))
        if 0.65 <= draw < 0.75:
            # An impatient caller repeats before the answer.
            again = functools.partial(self.spawn, self._ask(operation, key))
            self.engine.at(self.engine.random.randrange(100), self, again)

    def _new(self, idempotent: bool) -> Operation:
        self._count += 1
        return Operation(f"{self.name}:{self._count}", idempotent)

    def _ask(self, operation: Operation, key: str) -> Steps:
        for _ in range(REPEATS):
            self._requests += 1
            asked = Asked(
                operation,
                f"{operation.token}/{self._requests}",
                self.now().unix_ms + TIMEOUT_MS,
                key,
                hashlib.sha256(operation.token.encode()).hexdigest(),
            )
            outcome, body, known_key = yield self._send(asked)
            self.world.oracle.requests.ended(asked, outcome, body)
            key = key or known_key
            if outcome == "answered" or not (key or operation.idempotent):
                return
            yield self.sleep(self.engine.random.randint(50, 400))

    def _send(self, asked: Asked) -> Wait:
        entries = self.world.entries_of(self.domain)
        entry = self.engine.random.choice(entries)

        def wait(resume: Callable[[Any], None]) -> None:
            def reply(*ending: Any) -> None:
                self.world.network.send(
                    entry, self, lambda: resume(ending), reply=True
                )

            self.world.network.send(
                self, entry, lambda: entry.submit(asked, reply), once=True
            )
            late = functools.partial(resume, ("no-answer", b"", ""))
            self.engine.at(TIMEOUT_MS + PATIENCE_MS, self, late)

        return wait
