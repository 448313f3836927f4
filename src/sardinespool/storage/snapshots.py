"""Snapshot files."""

import pathlib

import msgspec

from sardinespool.errors.storage import CorruptSnapshotError
from sardinespool.replication.state import Snapshot
from sardinespool.storage.checked_file import read_checked
from sardinespool.storage.checked_file import write_checked
from sardinespool.storage.files import sync_folder
from sardinespool.storage.files import TEMPORARY_SUFFIX

SNAPSHOT_PREFIX = "snapshot-"


class Snapshots:
    """The snapshot files of a folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def load(self) -> Snapshot | None:
        """Return the latest snapshot.

        Raises
        ------
        CorruptSnapshotError
            The latest snapshot is damaged. An older one is not used, as the
            entries after it may have been removed.
        """
        for path in self._folder.glob("*" + TEMPORARY_SUFFIX):
            path.unlink()
        paths = self._paths()
        if not paths:
            return None
        content = read_checked(paths[-1])
        if content is None:
            raise CorruptSnapshotError(
                "The latest snapshot fails its checksum.", file=str(paths[-1])
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
        write_checked(path, msgspec.msgpack.encode(snapshot))

    def remove_older(self) -> None:
        """Remove all snapshots but the latest."""
        older = self._paths()[:-1]
        for path in older:
            path.unlink()
        if older:
            sync_folder(self._folder)

    def _paths(self) -> list[pathlib.Path]:
        return sorted(self._folder.glob(SNAPSHOT_PREFIX + "*"))
