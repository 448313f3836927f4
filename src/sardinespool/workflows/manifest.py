"""Manifest in force: queues by address, pools, and workspaces by key."""

from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.tasks import QueueNotFoundError
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import WorkspaceSpec

WORKSPACES_MAX = 1_000
"""The target is 130 teams. A command has to fit a frame of 8 MiB beside up to
4 MiB of `source`, and a name is encoded with at most 1 KiB."""
KEYS_MAX = 20_000
"""A digest is encoded with 34 bytes."""
NAME_LENGTH_MAX = 256
"""Number of characters."""
WEIGHT_MAX = 1_000_000
LIMIT_MAX = 10**15
"""A sum of such limits is exact as a float."""
DIGEST_LENGTH = 32
"""Length of a SHA-256 digest."""


class ManifestState:
    """The highest published manifest version.

    Attributes
    ----------
    current : PublishManifest or None
        None before the first version.
    workspaces_by_name : dict of str to WorkspaceSpec
        Workspaces of the version in force.
    """

    def __init__(self) -> None:
        self.current: PublishManifest | None = None
        self._queues: dict[str, QueueSpec] = {}
        self._queues_by_host: dict[str, list[QueueSpec]] = {}
        self.spare_pools: frozenset[str] = frozenset()
        self._workspaces_by_key: dict[bytes, str] | None = None
        self.workspaces_by_name: dict[str, WorkspaceSpec] = {}

    @property
    def version(self) -> int:
        """Version in force, -1 before the first."""
        return -1 if self.current is None else self.current.version

    def put(self, manifest: PublishManifest) -> bool:
        """Apply a version unless it is outdated; return whether it applied."""
        if manifest.version <= self.version:
            return False
        self.current = manifest
        self._queues = {queue.name: queue for queue in manifest.queues}
        self._queues_by_host = {}
        for queue in manifest.queues:
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        for queues in self._queues_by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)
        self.spare_pools = frozenset(
            pool.name for pool in manifest.pools if pool.spare
        )
        self._workspaces_by_key = None
        if manifest.workspaces is not None:
            self._workspaces_by_key = {
                digest: workspace.name
                for workspace in manifest.workspaces
                for digest in workspace.key_digests
            }
        self.workspaces_by_name = {
            workspace.name: workspace
            for workspace in manifest.workspaces or ()
        }
        return True

    @property
    def has_workspaces(self) -> bool:
        """Whether keys and limits of workspaces apply."""
        return self._workspaces_by_key is not None

    def workspace_of(self, key_digest: bytes) -> str | None:
        """Return the name of the workspace that a key belongs to."""
        return (self._workspaces_by_key or {}).get(key_digest)

    def queue_named(self, name: str) -> QueueSpec | None:
        """Return a queue of the version in force by name."""
        return self._queues.get(name)

    def resolve(self, host: str, path: str) -> tuple[QueueSpec, str]:
        """Return the queue of an address and the remaining path.

        Raises
        ------
        QueueNotFoundError
            No queue matches the host and a prefix of the path.
        """
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue, path[len(queue.prefix) :]
        raise QueueNotFoundError("No queue has this address.")


def check_manifest(manifest: PublishManifest) -> None:
    """Raise `InvalidManifestError` if a manifest is inconsistent.

    Parameters
    ----------
    manifest : PublishManifest
        Manifest to check.
    """
    pools = {pool.name for pool in manifest.pools}
    if len(pools) != len(manifest.pools):
        raise InvalidManifestError("Two pools share a name.")
    names: set[str] = set()
    addresses: set[tuple[str, str]] = set()
    for queue in manifest.queues:
        if queue.pool not in pools:
            raise InvalidManifestError(
                "A queue names an unknown pool.", queue=queue.name
            )
        if queue.name in names:
            raise InvalidManifestError(
                "Two queues share a name.", queue=queue.name
            )
        address = (queue.host, queue.prefix)
        if address in addresses:
            raise InvalidManifestError(
                "Two queues share host and prefix.", queue=queue.name
            )
        names.add(queue.name)
        addresses.add(address)
    if manifest.workspaces is not None:
        _check_workspaces(manifest.workspaces)


def check_size(workspaces: int, keys: int) -> None:
    """Raise `InvalidManifestError` for too many workspaces or keys."""
    if workspaces > WORKSPACES_MAX:
        raise InvalidManifestError(
            f"A manifest has at most {WORKSPACES_MAX} workspaces.",
            workspaces=workspaces,
        )
    if keys > KEYS_MAX:
        raise InvalidManifestError(
            f"A manifest has at most {KEYS_MAX} keys.", keys=keys
        )


def _check_workspaces(workspaces: tuple[WorkspaceSpec, ...]) -> None:
    check_size(
        len(workspaces), sum(len(item.key_digests) for item in workspaces)
    )
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for workspace in workspaces:
        name = workspace.name
        if not name or len(name) > NAME_LENGTH_MAX:
            raise InvalidManifestError(
                "The name of a workspace is empty or too long."
            )
        if name in names:
            raise InvalidManifestError(
                "Two workspaces share a name.", workspace=name
            )
        names.add(name)
        if not 0 <= workspace.weight <= WEIGHT_MAX:
            raise InvalidManifestError(
                f"A weight is not between 0 and {WEIGHT_MAX}.", workspace=name
            )
        limits = (
            workspace.processors_millicores_max,
            workspace.memory_mb_max,
            workspace.accelerators_max,
        )
        if not all(0 <= limit <= LIMIT_MAX for limit in limits):
            raise InvalidManifestError(
                f"A limit is not between 0 and {LIMIT_MAX}.", workspace=name
            )
        for digest in workspace.key_digests:
            if len(digest) != DIGEST_LENGTH:
                raise InvalidManifestError(
                    "The digest of a key has a wrong length.", workspace=name
                )
            # The error names no key, as it reaches the log.
            if owners.setdefault(digest, name) != name:
                raise InvalidManifestError(
                    "Two workspaces share a key.",
                    workspaces=[owners[digest], name],
                )
