"""Checks of the request rules R5 to R8 and of the slot limit of R1."""

import collections
import dataclasses
from collections.abc import Callable

from testing.proof.engine import Engine

LEAVING_BOUND_MS = 3_000
"""R8: time from a worker's leave announcement until requests stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One logical operation of a caller, identified by `token`."""

    token: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of an operation; the caller assigns `request_id`."""

    operation: Operation
    request_id: str
    deadline_unix_ms: int
    key: str
    digest: str
    forwarded: bool = False


class RequestRules:
    """Checks requests and reports violations as a rule and a text."""

    def __init__(
        self, engine: Engine, report_violation: Callable[[str, str], None]
    ) -> None:
        self._engine = engine
        self._report_violation = report_violation
        self._execution_counts: collections.Counter[str] = (
            collections.Counter()
        )
        self._executed_ids: set[str] = set()
        self._not_run_ids: set[str] = set()
        self._response_bodies: dict[str, bytes] = {}
        self._slots: dict[str, dict[str, tuple[int, int, int]]] = {}
        self.answered_tokens: set[str] = set()
        self.leaving_ms: dict[str, int] = {}
        # Start of each entry's last sync with its domain's group.
        self.synced_ms: dict[str, int] = {}

    def record_sent(
        self, entry: str, worker: str, late: bool, request_id: str
    ) -> None:
        """Record that the first byte of a request left an entry."""
        if late:
            self._report_violation(
                "R7", f"{request_id} was sent after its deadline"
            )
        entry_informed = self.synced_ms.get(entry, 0) > self.leaving_ms.get(
            worker, 0
        )
        if entry_informed and self._left_before(worker, LEAVING_BOUND_MS):
            self._report_violation(
                "R8", f"{entry} sent {request_id} to {worker}"
            )

    def record_executed(
        self, caller_request: CallerRequest, worker: str
    ) -> None:
        """Record that an endpoint ran a request."""
        operation = caller_request.operation
        self._execution_counts[operation.token] += 1
        self._executed_ids.add(caller_request.request_id)
        if caller_request.request_id in self._not_run_ids:
            self._report_violation(
                "R6", f"{caller_request.request_id} ran after its refusal"
            )
        if (
            not operation.idempotent
            and self._execution_counts[operation.token] > 1
        ):
            self._report_violation("R7", f"{operation.token} ran twice")
        if self._left_before(worker, 2 * LEAVING_BOUND_MS):
            self._report_violation(
                "R8", f"{worker} ran {caller_request.request_id} after leaving"
            )

    def record_ended(
        self, caller_request: CallerRequest, outcome: str, body: bytes
    ) -> None:
        """Record what a caller received."""
        token = caller_request.operation.token
        if outcome == "not-run":
            self._not_run_ids.add(caller_request.request_id)
            if caller_request.request_id in self._executed_ids:
                self._report_violation(
                    "R6",
                    f"{caller_request.request_id} was refused after it ran",
                )
        if outcome != "answered":
            return
        if not body.startswith(f"{token}|".encode()) or (
            not body.endswith(b"|end")
        ):
            self._report_violation("R5", f"{token} received {body!r}")
        if self._response_bodies.setdefault(token, body) != body and (
            not caller_request.operation.idempotent
        ):
            self._report_violation(
                "R5", f"{token} received different responses"
            )
        self.answered_tokens.add(token)

    def worker_started(self, worker: str) -> None:
        """Record a worker's start; it accepts requests again."""
        self.leaving_ms.pop(worker, None)
        self._slots.pop(worker, None)

    def record_slots(
        self, entry: str, worker: str, floor: int, granted: int, until_ms: int
    ) -> None:
        """Record an entry's floor slots and its granted slots."""
        worker_slots = self._slots.setdefault(worker, {})
        worker_slots[entry] = (floor, granted, until_ms)

    def check_slots(self, worker: str, slots: int) -> None:
        """Check that the entries together stay within a worker's slots."""
        now_ms = self._engine.now_ms
        used = sum(
            floor + granted * (now_ms < until_ms)
            for floor, granted, until_ms in self._slots[worker].values()
        )
        if used > slots:
            self._report_violation(
                "R1", f"{used} of {slots} slots of {worker} are in use"
            )

    def _left_before(self, worker: str, bound_ms: int) -> bool:
        leaving_ms = self.leaving_ms.get(worker, self._engine.now_ms)
        return self._engine.now_ms > leaving_ms + bound_ms
