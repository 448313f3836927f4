"""Simulated callers that send lookups and bookings to entries."""

import functools
import hashlib
from collections.abc import Callable
from typing import Any

from testing.proof.engine import AsyncCall
from testing.proof.engine import Coroutine
from testing.proof.engine import Host
from testing.proof.request_rules import CallerRequest
from testing.proof.request_rules import Operation

REQUEST_INTERVAL_MS = 180
TIMEOUT_MS = 2_500
RESPONSE_GRACE_MS = 400
MAX_ATTEMPTS = 3


class CallerHost(Host):
    """Sends requests periodically and retries those without a response."""

    def __init__(self, world: Any, name: str, domain: str) -> None:
        super().__init__(world, name, domain)
        self.active = True
        self._operation_count = 0
        self._request_count = 0
        self._last_key = ""

    def on_start(self) -> None:
        self.call_every(REQUEST_INTERVAL_MS, self._send_random_request)

    def book(self) -> str:
        """Send a booking with its own key and return the operation's token."""
        operation = self._new_operation(idempotent=False)
        self.spawn(self._run_operation(operation, operation.token))
        return operation.token

    def _send_random_request(self) -> None:
        if not self.active:
            return
        sample = self.engine.random.random()
        operation = self._new_operation(idempotent=sample < 0.4)
        key = operation.token if sample >= 0.65 else ""
        if sample > 0.97 and self._last_key:
            # Reuse the key of an earlier operation.
            key = self._last_key
        self._last_key = key or self._last_key
        self.spawn(self._run_operation(operation, key))
        if 0.65 <= sample < 0.75:
            # Resend before the first response arrives.
            resend = functools.partial(
                self.spawn, self._run_operation(operation, key)
            )
            self.engine.call_later(
                self.engine.random.randrange(100), self, resend
            )

    def _new_operation(self, idempotent: bool) -> Operation:
        self._operation_count += 1
        return Operation(f"{self.name}:{self._operation_count}", idempotent)

    def _run_operation(self, operation: Operation, key: str) -> Coroutine:
        for _ in range(MAX_ATTEMPTS):
            self._request_count += 1
            caller_request = CallerRequest(
                operation,
                f"{operation.token}/{self._request_count}",
                self.now().unix_ms + TIMEOUT_MS,
                key,
                hashlib.sha256(operation.token.encode()).hexdigest(),
            )
            outcome, body, assigned_key = yield self._send_request(
                caller_request
            )
            self.world.oracle.requests.record_ended(
                caller_request, outcome, body
            )
            key = key or assigned_key
            if outcome == "answered" or not (key or operation.idempotent):
                return
            yield self.sleep(self.engine.random.randint(50, 400))

    def _send_request(self, caller_request: CallerRequest) -> AsyncCall:
        entries = self.world.entries_of(self.domain)
        entry = self.engine.random.choice(entries)

        def start_call(resume: Callable[[Any], None]) -> None:
            def reply(*result: Any) -> None:
                self.world.network.send(
                    entry, self, lambda: resume(result), reply=True
                )

            self.world.network.send(
                self,
                entry,
                lambda: entry.submit(caller_request, reply),
                at_most_once=True,
            )
            time_out = functools.partial(resume, ("no-answer", b"", ""))
            self.engine.call_later(
                TIMEOUT_MS + RESPONSE_GRACE_MS, self, time_out
            )

        return start_call
