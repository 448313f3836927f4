"""Orders to workers and the answers to them."""

import dataclasses
import enum

from sardinespool.messages.workflows import RunOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run; idempotent for a run that is already running.

    `lease_end_ms` is in the worker's clock and applies to all runs on the
    worker.
    """

    task: str
    run: int
    payload: str
    lease_end_ms: int
    fencing_token: int
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run; a later start of the same run is refused."""

    task: str
    run: int
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceRun:
    """Throttle a run to a percentage of its full speed."""

    task: str
    run: int
    percent: int
    fencing_token: int


Order = StartRun | StopRun | PaceRun


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease:
    """Long poll: extend the lease, acknowledge ended runs, list all runs.

    `lease_end_ms` is None while the worker's clock is unknown or the worker
    does not answer; the lease is not extended then. The worker deletes ends
    numbered up to `acknowledged_end`.
    """

    fencing_token: int
    acknowledged_end: int
    wait_ms: int
    lease_end_ms: int | None = None


class Refusal(enum.Enum):
    """Why a worker refused an order; a refused order has no effect."""

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no-room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDone:
    """The worker executed the order, now or earlier."""

    clock_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The worker refused the order."""

    reason: Refusal
    clock_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OtherWorker:
    """A different worker answered at the address."""


@dataclasses.dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """Another incarnation of the worker answered.

    `incarnation` is None if its answer does not name it. If `executed`, it
    may have executed the call; otherwise it was only asked for its lists.
    """

    incarnation: int | None
    clock_ms: int
    executed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """No complete answer; if `sent`, the order may still take effect.

    `closed` tells that the worker's host closed or refused the connection; a
    host that is cut off or without power does neither.
    """

    sent: bool
    reason: str
    closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """Not sent, as this member no longer led when it was about to be."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Not sent, as the worker did not tell which incarnation would take it.

    `refused` tells whether it refused to; otherwise it did not answer.
    """

    reason: str
    refused: bool


OrderResult = (
    OrderDone
    | OrderRefused
    | OtherWorker
    | OtherIncarnation
    | NoAnswer
    | Withheld
    | Unconfirmed
)


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRun:
    """One run on a worker.

    `load` is the tail latency in milliseconds for a serving task and the
    processor use in millicores for any other; None if unknown.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    load: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """One ended run; `number` increases within a worker incarnation."""

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Answer to a lease renewal; `incarnation` is the worker's, or None.

    A worker lists a limited number of ends at a time, the earliest first.
    Unless `is_complete`, a run in neither list may have ended.
    """

    clock_ms: int
    incarnation: int | None
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    is_complete: bool = True


RenewLeaseResult = (
    LeaseRenewed
    | OrderRefused
    | OtherWorker
    | OtherIncarnation
    | NoAnswer
    | Withheld
)
