"""Rules R5 to R8 and the slots, from what endpoints and callers recorded."""

import collections
import dataclasses
from collections.abc import Callable

from testing.proof.engine import Engine

LEAVING_BOUND_MS = 3_000
"""R8: time after a worker's announcement until no new work arrives."""


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """What one caller asked for; `token` makes it unique."""

    token: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A request as it travels; `request_id` is the caller's."""

    operation: Operation
    request_id: str
    deadline_unix_ms: int
    key: str
    digest: str
    forwarded: bool = False


class RequestRules:
    """Checks requests; `broken` is called with a rule and a text."""

    def __init__(
        self, engine: Engine, broken: Callable[[str, str], None]
    ) -> None:
        self._engine = engine
        self._broken = broken
        self._executions: collections.Counter[str] = collections.Counter()
        self._executed_ids: set[str] = set()
        self._not_run_ids: set[str] = set()
        self._answers: dict[str, bytes] = {}
        self._slots: dict[str, dict[str, tuple[int, int, int]]] = {}
        self.answered: set[str] = set()
        self.leaving_ms: dict[str, int] = {}
        # Start of each entry's last exchange with its domain's group.
        self.synced_ms: dict[str, int] = {}

    def sent(
        self, entry: str, worker: str, late: bool, request_id: str
    ) -> None:
        """Record that the first byte of a request left an entry."""
        if late:
            self._broken("R7", f"{request_id} was sent after its deadline")
        knows = self.synced_ms.get(entry, 0) > self.leaving_ms.get(worker, 0)
        if knows and self._left(worker, LEAVING_BOUND_MS):
            self._broken("R8", f"{entry} sent {request_id} to {worker}")

    def executed(self, asked: Asked, worker: str) -> None:
        """Record that an endpoint ran a request."""
        operation = asked.operation
        self._executions[operation.token] += 1
        self._executed_ids.add(asked.request_id)
        if asked.request_id in self._not_run_ids:
            self._broken("R6", f"{asked.request_id} ran after its refusal")
        if not operation.idempotent and self._executions[operation.token] > 1:
            self._broken("R7", f"{operation.token} ran twice")
        if self._left(worker, 2 * LEAVING_BOUND_MS):
            self._broken("R8", f"{worker} ran {asked.request_id}, but left")

    def ended(self, asked: Asked, outcome: str, body: bytes) -> None:
        """Record what a caller received."""
        token = asked.operation.token
        if outcome == "not-run":
            self._not_run_ids.add(asked.request_id)
            if asked.request_id in self._executed_ids:
                self._broken("R6", f"{asked.request_id} had run when refused")
        if outcome != "answered":
            return
        if not body.startswith(f"{token}|".encode()) or (
            not body.endswith(b"|end")
        ):
            self._broken("R5", f"{token} got {body!r}")
        if self._answers.setdefault(token, body) != body and (
            not asked.operation.idempotent
        ):
            self._broken("R5", f"{token} got two answers")
        self.answered.add(token)

    def worker_started(self, worker: str) -> None:
        """Record a start; the worker takes requests again."""
        self.leaving_ms.pop(worker, None)
        self._slots.pop(worker, None)

    def slots(
        self, entry: str, worker: str, floor: int, extra: int, until_ms: int
    ) -> None:
        """Record an entry's floor, and what it has more until a time."""
        of_worker = self._slots.setdefault(worker, {})
        of_worker[entry] = (floor, extra, until_ms)

    def check_slots(self, worker: str, slots: int) -> None:
        """Check that the entries together may use no more than all."""
        now_ms = self._engine.now_ms
        used = sum(
            floor + extra * (now_ms < until_ms)
            for floor, extra, until_ms in self._slots[worker].values()
        )
        if used > slots:
            self._broken("R1", f"{used} of {slots} slots of {worker} given")

    def _left(self, worker: str, bound_ms: int) -> bool:
        leaving_ms = self.leaving_ms.get(worker, self._engine.now_ms)
        return self._engine.now_ms > leaving_ms + bound_ms
