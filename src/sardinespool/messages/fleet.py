"""Workers that are driven by calls."""

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class WorkerDescription(Record, frozen=True, kw_only=True):
    """What one life of a worker says of itself.

    Attributes
    ----------
    life : int
        Start time on the worker's wall clock, in milliseconds since 1970. A
        worker that starts again under its id has a higher one.
    host : str
        Machine that the worker runs on, or "" if it does not say.
    draining : bool
        The worker takes no more starts and is going to leave.
    """

    worker_id: str
    life: int
    address: str
    pool: str
    failure_domain: str
    host: str
    labels: tuple[str, ...]
    processors_millicores: int
    memory_mb: int
    accelerators: int
    draining: bool = False


class ReportWorker(Message, frozen=True, kw_only=True):
    """A worker's heartbeat.

    `sequence` grows with each heartbeat of a life. `clock_ms` is the
    worker's clock. `remaining_ms` is the least time until a draining worker
    leaves.
    """

    description: WorkerDescription
    sequence: int
    clock_ms: int
    remaining_ms: int = 0


class PutWorker(Message, frozen=True, kw_only=True):
    """Store a new worker, a new life or a changed description."""

    description: WorkerDescription


class DropWorker(Message, frozen=True, kw_only=True):
    """A worker has left or is lost for good; `life` as known."""

    worker_id: str
    life: int


class WorkerLeaves(Message, frozen=True, kw_only=True):
    """A worker says that it ends now."""

    worker_id: str
