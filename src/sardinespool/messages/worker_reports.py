"""Messages about workers that the dispatcher calls."""

import msgspec

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class WorkerDescription(Record, frozen=True, kw_only=True):
    """Properties that one incarnation of a worker reports.

    Attributes
    ----------
    incarnation : int
        Incarnation of the worker: its start time on its wall clock, in
        milliseconds since 1970. A restart under the same id has a higher
        one.
    host : str
        Machine that the worker runs on, or "" if not reported.
    draining : bool
        The worker accepts no more starts and will leave.
    rack : str
        The one of the labels that names the rack of the worker, or "" if none
        does. Earlier builds stored none.
    """

    worker_id: str
    incarnation: int = msgspec.field(name="life")
    address: str
    pool: str
    failure_domain: str
    host: str
    labels: tuple[str, ...]
    processors_millicores: int
    memory_mb: int
    accelerators: int
    draining: bool = False
    rack: str = ""


def capacity_of(description: WorkerDescription) -> tuple[int, int, int]:
    """Return processors in millicores, memory in MB, and accelerators."""
    return (
        description.processors_millicores,
        description.memory_mb,
        description.accelerators,
    )


def limit_capacity(
    description: WorkerDescription, limit: WorkerDescription
) -> WorkerDescription:
    """Return `description` with no more of any resource than `limit` has."""
    return msgspec.structs.replace(
        description,
        processors_millicores=min(
            description.processors_millicores, limit.processors_millicores
        ),
        memory_mb=min(description.memory_mb, limit.memory_mb),
        accelerators=min(description.accelerators, limit.accelerators),
    )


def keep_draining(
    earlier: WorkerDescription, later: WorkerDescription
) -> WorkerDescription:
    """Return `later`, draining if its incarnation has reported that before.

    A worker that drains ends, so a report of the same incarnation that is
    ready again was sent earlier and arrived late.
    """
    if earlier.draining and earlier.incarnation == later.incarnation:
        return msgspec.structs.replace(later, draining=True)
    return later


class ReportWorker(Message, frozen=True, kw_only=True):
    """A worker's heartbeat.

    `sequence` increases with each heartbeat of an incarnation. `clock_ms` is
    the worker's clock; leases are counted on the readings in the worker's
    answers, which come from the worker itself. `remaining_ms` is the minimum
    time until a draining worker leaves.
    """

    description: WorkerDescription
    sequence: int
    clock_ms: int
    remaining_ms: int = 0


class PutWorker(Message, frozen=True, kw_only=True):
    """Store a new worker, a new incarnation or a changed description."""

    description: WorkerDescription


class DropWorker(Message, frozen=True, kw_only=True):
    """Remove a worker that left or is lost, unless restarted since."""

    worker_id: str
    incarnation: int = msgspec.field(name="life")


class WorkerLeaves(Message, frozen=True, kw_only=True):
    """Report that a worker is shutting down now.

    `incarnation` is None if the report does not name it; such a report may
    be a late one of an earlier incarnation.
    """

    worker_id: str
    incarnation: int | None = msgspec.field(name="life", default=None)
