"""Whole versions of the queues and worker pools, and evacuations."""

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class QueueSpec(Record, frozen=True, kw_only=True):
    """One queue of jobs.

    Attributes
    ----------
    host, prefix : str
        Callers select the queue by host and longest path prefix.
    pool : str
        Name of the workers that run its tasks.
    priority : int
        0 comes first and may preempt others.
    failures_max : int
        Failed runs of a task after which its job has failed.
    stretch : float
        The completion objective of a job is this many times its longest
        chain of work, and `latency_objective_ms` more.
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
    """One pool of workers; a spare pool's hosts are off."""

    name: str
    spare: bool = False


class PublishManifest(Message, frozen=True, kw_only=True):
    """Put a version in force; the highest one wins.

    `source` are the bytes that the operator sent, for reading them back.
    """

    version: int
    queues: tuple[QueueSpec, ...]
    pools: tuple[PoolSpec, ...]
    source: bytes


class ReadManifest(Message, frozen=True, kw_only=True):
    """Read the version in force."""


class ManifestCopy(Message, frozen=True, kw_only=True):
    """The bytes of the version in force; empty before the first one."""

    version: int
    source: bytes


class SetEvacuation(Message, frozen=True, kw_only=True):
    """Send nothing more to the workers of a failure domain, or again."""

    failure_domain: str
    evacuated: bool


class ReadMembers(Message, frozen=True, kw_only=True):
    """Ask the leader who the members of the group are."""


class MemberList(Message, frozen=True, kw_only=True):
    """Names of the members, which are their addresses."""

    members: tuple[str, ...]
    manifest_version: int
