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
    public : bool
        Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    failures_max: int
    stretch: float
    latency_objective_ms: int
    public: bool = False


class PoolSpec(Record, frozen=True, kw_only=True):
    """A pool of workers; the hosts of a spare pool are powered off."""

    name: str
    spare: bool = False


class WorkspaceSpec(Record, frozen=True, kw_only=True):
    """A workspace, whose jobs share its limits and its share of the workers.

    Attributes
    ----------
    key_digests : tuple of bytes
        SHA-256 digests of the keys that its callers present.
    weight : int
        Share of the workers while all are in use, relative to the weights of
        the others; also the number of jobs a second that it may expect to be
        served.
    processors_millicores_max, memory_mb_max, accelerators_max : int
        Limits of all that runs at a time; 0 for no limit.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    weight: int = 1
    processors_millicores_max: int = 0
    memory_mb_max: int = 0
    accelerators_max: int = 0


class PublishManifest(Message, frozen=True, kw_only=True):
    """Publish a manifest version; the highest version is active.

    `source` holds the bytes that the operator sent, returned by
    `ReadManifest`. `workspaces` is None if the deployment has none: callers
    need no keys then. Earlier builds store no `workspaces`.
    """

    version: int
    queues: tuple[QueueSpec, ...]
    pools: tuple[PoolSpec, ...]
    source: bytes
    workspaces: tuple[WorkspaceSpec, ...] | None = None

    def __repr__(self) -> str:
        """Return a text without `source`, which holds keys."""
        return f"PublishManifest(version={self.version})"


class ReadManifest(Message, frozen=True, kw_only=True):
    """Read the active version; answered by `ManifestCopy`."""


class ManifestCopy(Message, frozen=True, kw_only=True):
    """Source bytes of the active version."""

    version: int
    source: bytes

    def __repr__(self) -> str:
        """Return a text without `source`, which holds keys."""
        return f"ManifestCopy(version={self.version})"


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
    """Members of the group; their names are their addresses.

    Earlier builds send no `ticket`, which is one of the leader that answers.
    """

    members: tuple[str, ...]
    manifest_version: int
    ticket: OrderTicket | None = None
