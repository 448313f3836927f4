"""Orders to workers and their answers."""

import dataclasses
import enum

from sardinespool.messages.workflows import RunOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run, or learn that it is there.

    `lease_end_ms` is on the worker's clock and applies to everything that
    runs on the worker.
    """

    task: str
    run: int
    payload: str
    lease_end_ms: int
    fencing_token: int
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run; a run that is not there yet will be refused."""

    task: str
    run: int
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceRun:
    """Let a run work at a share of its speed."""

    task: str
    run: int
    percent: int
    fencing_token: int


Order = StartRun | StopRun | PaceRun


@dataclasses.dataclass(frozen=True, slots=True)
class HoldWorker:
    """Extend the lease, acknowledge ends and list what runs.

    `lease_end_ms` is None while the worker's clock is unknown. Ends up to
    `acknowledged_end` are forgotten by the worker.
    """

    fencing_token: int
    acknowledged_end: int
    wait_ms: int
    lease_end_ms: int | None = None


class Refusal(enum.Enum):
    """Why a worker refused an order; it has then done nothing."""

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no-room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
    """The worker carried the order out, now or earlier."""

    clock_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The worker refused the order."""

    reason: Refusal
    clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OtherWorker:
    """Another worker answers at the address."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No whole answer came; if `sent`, the order may still be carried out."""

    sent: bool
    reason: str


OrderAnswer = OrderDone | OrderRefused | OtherWorker | NoAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRow:
    """One run on a worker.

    `load` is the tail latency in milliseconds of a serving task and the
    processors in use, in thousandths, of any other; None if unknown.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    load: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRow:
    """One end; `number` grows within a life of the worker."""

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class HoldDone:
    """Answer to a hold; `life` is the start time of the worker or None."""

    clock_ms: int
    life: int | None
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


HoldAnswer = HoldDone | OrderRefused | OtherWorker | NoAnswer
