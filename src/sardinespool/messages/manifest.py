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


class SetEvacuation(Message, frozen=True, kw_only=True):
    """Stop or resume sending work to a failure domain's workers."""

    failure_domain: str
    evacuated: bool


class ReadMembers(Message, frozen=True, kw_only=True):
    """List the members of the group; answered by `MemberList`."""


class MemberList(Message, frozen=True, kw_only=True):
    """Members of the group; their names are their addresses."""

    members: tuple[str, ...]
    manifest_version: int
