"""The manifest in force: queues by address, worker pools."""

from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.tasks import QueueNotFoundError
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec


class ManifestState:
    """The highest version that was published.

    Attributes
    ----------
    current : PublishManifest or None
        None before the first version.
    """

    def __init__(self) -> None:
        self.current: PublishManifest | None = None
        self._queues: dict[str, QueueSpec] = {}
        self._by_host: dict[str, list[QueueSpec]] = {}
        self.spare_pools: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Version in force, or -1."""
        return -1 if self.current is None else self.current.version

    def put(self, manifest: PublishManifest) -> bool:
        """Put a version in force; return whether it is the highest."""
        if manifest.version <= self.version:
            return False
        self.current = manifest
        self._queues = {queue.name: queue for queue in manifest.queues}
        self._by_host = {}
        for queue in manifest.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)
        self.spare_pools = frozenset(
            pool.name for pool in manifest.pools if pool.spare
        )
        return True

    def queue_named(self, name: str) -> QueueSpec | None:
        """Return a queue of the version in force."""
        return self._queues.get(name)

    def resolve(self, host: str, path: str) -> tuple[QueueSpec, str]:
        """Return the queue of an address and the rest of the path.

        Raises
        ------
        QueueNotFoundError
            No queue has this host and a prefix of this path.
        """
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue, path[len(queue.prefix) :]
        raise QueueNotFoundError("No queue has this address.")


def check_manifest(manifest: PublishManifest) -> None:
    """Raise `InvalidManifestError` if a version contradicts itself.

    Parameters
    ----------
    manifest : PublishManifest
        Version to check, whole.
    """
    pools = {pool.name for pool in manifest.pools}
    if len(pools) != len(manifest.pools):
        raise InvalidManifestError("Two pools share a name.")
    names: set[str] = set()
    places: set[tuple[str, str]] = set()
    for queue in manifest.queues:
        if queue.pool not in pools:
            raise InvalidManifestError(
                "A queue names an unknown pool.", queue=queue.name
            )
        if queue.name in names:
            raise InvalidManifestError(
                "Two queues share a name.", queue=queue.name
            )
        place = (queue.host, queue.prefix)
        if place in places:
            raise InvalidManifestError(
                "Two queues share host and prefix.", queue=queue.name
            )
        names.add(queue.name)
        places.add(place)
