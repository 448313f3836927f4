"""Messages about the manifest of queues and pools, and evacuations."""

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class QueueSpec(Record, frozen=True, kw_only=True):
    """A queue of jobs.

    Attributes
    ----------
    host, prefix : str
        A request selects the queue by host and longest path prefix.
    pool : str
        Name of the worker pool that runs its tasks.
    priority : int
        0 is the highest priority and may preempt others.
    failures_max : int
        Number of failed runs of a task that fails its job.
    stretch : float
        The completion objective of a job is `stretch` times its critical
        path plus `latency_objective_ms`.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    failures_max: int
    stretch: float
    latency_objective_ms: int


class PoolSpec(Record, frozen=True, kw_only=True):
    """A pool of workers; the hosts of a spare pool are powered off."""

    name: str
    spare: bool = False


class PublishManifest(Message, frozen=True, kw_only=True):
    """Publish a manifest version; the highest version is active.

    `source` holds the bytes that the operator sent, returned by
    `ReadManifest`.
    """

    version: int
    queues: tuple[QueueSpec, ...]
    pools: tuple[PoolSpec, ...]
    source: bytes


class ReadManifest(Message, frozen=True, kw_only=True):
    """Read the active version; answered by `ManifestCopy`."""


class ManifestCopy(Message, frozen=True, kw_only=True):
    """Source bytes of the active version."""

    version: int
    source: bytes


class ReadOrderTicket(Message, frozen=True, kw_only=True):
    """Request a ticket for an order; answered by `OrderTicket`."""


class OrderTicket(Message, frozen=True, kw_only=True):
    """Mark of a moment on the leader of a term.

    Attributes
    ----------
    sequence : int
        Number of orders with a ticket that the leader had accepted.
    issued_boot_ms : int
        Time on the leader's boot clock.
    """

    term: int
    sequence: int
    issued_boot_ms: int


class SetEvacuation(Message, frozen=True, kw_only=True):
    """Stop or resume sending work to a failure domain's workers.

    Attributes
    ----------
    ticket : OrderTicket or None
        Issued after the order was read from its caller; None in the log.
    valid_ms : int
        Age of the ticket up to which the order may be carried out.
    """

    failure_domain: str
    evacuated: bool
    ticket: OrderTicket | None = None
    valid_ms: int = 0


class ReadMembers(Message, frozen=True, kw_only=True):
    """List the members of the group; answered by `MemberList`."""


class MemberList(Message, frozen=True, kw_only=True):
    """Members of the group; their names are their addresses."""

    members: tuple[str, ...]
    manifest_version: int
