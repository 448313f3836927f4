"""Manifest in force: queues by address, and worker pools."""

from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.tasks import QueueNotFoundError
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import WorkspaceSpec


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
        self.workspaces_by_name = {
            workspace.name: workspace
            for workspace in manifest.workspaces or ()
        }
        return True

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
