"""Storage of snapshots as files."""

import pathlib

import msgspec

from sardinespool.errors.storage import CorruptSnapshotError
from sardinespool.replication.state import Snapshot
from sardinespool.storage.checksummed_file import read_checksummed
from sardinespool.storage.checksummed_file import write_checksummed
from sardinespool.storage.files import sync_folder
from sardinespool.storage.files import TEMPORARY_SUFFIX

SNAPSHOT_PREFIX = "snapshot-"


class SnapshotStore:
    """Snapshot files of a folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def load(self) -> Snapshot | None:
        """Return the latest snapshot and remove leftover temporary files.

        Raises
        ------
        CorruptSnapshotError
            The latest snapshot is damaged. An older one can't replace it,
            since the entries after it may have been removed.
        """
        for path in self._folder.glob("*" + TEMPORARY_SUFFIX):
            path.unlink()
        paths = self._paths()
        if not paths:
            return None
        content = read_checksummed(paths[-1])
        if content is None:
            raise CorruptSnapshotError(
                "The latest snapshot has an invalid checksum.",
                file=str(paths[-1]),
            )
        try:
            return msgspec.msgpack.decode(content, type=Snapshot)
        except msgspec.MsgspecError as error:
            raise CorruptSnapshotError(
                "The latest snapshot can't be decoded.", file=str(paths[-1])
            ) from error

    def write(self, snapshot: Snapshot) -> None:
        """Store a snapshot durably."""
        path = self._folder / f"{SNAPSHOT_PREFIX}{snapshot.index:020d}"
        write_checksummed(path, msgspec.msgpack.encode(snapshot))

    def remove_older(self) -> None:
        """Remove all snapshots but the latest."""
        older = self._paths()[:-1]
        for path in older:
            path.unlink()
        if older:
            sync_folder(self._folder)

    def _paths(self) -> list[pathlib.Path]:
        return sorted(self._folder.glob(SNAPSHOT_PREFIX + "*"))
