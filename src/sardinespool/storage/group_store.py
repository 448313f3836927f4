"""Durable state of one group's member in one folder."""

import pathlib
import secrets
from collections.abc import Sequence

import msgspec

from sardinespool.errors.storage import CorruptLogError
from sardinespool.errors.storage import DataFolderError
from sardinespool.errors.storage import StorageError
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.entries import Entry
from sardinespool.replication.state import HardState
from sardinespool.replication.state import PersistedState
from sardinespool.replication.state import Snapshot
from sardinespool.storage.checked_file import read_checked
from sardinespool.storage.checked_file import write_checked
from sardinespool.storage.folder_lock import FolderLock
from sardinespool.storage.segments import Segments
from sardinespool.storage.snapshots import Snapshots

INCARNATION_BYTES = 8
"""Random bytes of an incarnation; two folders never draw the same."""


class GroupStore:
    """Files of one group: ``hardstate``, segments and snapshots.

    Parameters
    ----------
    folder : pathlib.Path
        Created if it does not exist.

    Raises
    ------
    DataFolderError
        The folder is not writable or another process uses it.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._lock = FolderLock(folder)
        self._hard_state_path = folder / "hardstate"
        self._segments = Segments(folder)
        self._snapshots = Snapshots(folder)
        self._hard_state: HardState | None = None
        self._usable = False

    def load(self) -> PersistedState:
        """Return what is stored; call once, before `persist`.

        An empty folder gets a new incarnation, which is stored first.

        Raises
        ------
        CorruptLogError
            A record or the hard state is damaged or missing.
        CorruptSnapshotError
            The latest snapshot is damaged.
        StorageError
            A file can't be read or written.
        """
        try:
            snapshot = self._snapshots.load()
            hard_state = self._load_hard_state()
            entries = self._segments.load()
            if hard_state is None:
                if snapshot is not None or entries:
                    raise CorruptLogError(
                        "The hard state is missing beside a log.",
                        file=str(self._hard_state_path),
                    )
                hard_state = HardState(secrets.token_hex(INCARNATION_BYTES))
                self._write_hard_state(hard_state)
            entries = self._after_snapshot(snapshot, entries)
            self._segments.sync()
        except OSError as error:
            raise StorageError(
                f"The stored state can't be read: {error.strerror}."
            ) from error
        self._hard_state = hard_state
        self._usable = True
        return PersistedState(hard_state, snapshot, tuple(entries))

    def persist(self, effects: Sequence[Persist | PersistSnapshot]) -> None:
        """Store a batch; when this returns, all of it is durable.

        The appended records share one sync. A changed hard state and a
        snapshot are files of their own and are synced separately.

        Raises
        ------
        StorageError
            A write or sync failed. What is stored is then unknown, so the
            store accepts nothing more; the process must start again.
        """
        if not self._usable:
            raise DataFolderError("The store is closed or has failed.")
        self._usable = False
        try:
            # Terms and votes come first: entries of a term are never stored
            # without it, except for the last batch before a crash.
            hard_state = self._hard_state
            for effect in effects:
                if isinstance(effect, Persist) and effect.hard_state:
                    hard_state = effect.hard_state
            if hard_state is not None and hard_state != self._hard_state:
                self._write_hard_state(hard_state)
            for effect in effects:
                match effect:
                    case Persist():
                        self._queue(effect)
                    case PersistSnapshot(snapshot):
                        self._store_snapshot(snapshot)
            self._segments.sync()
        except OSError as error:
            raise StorageError(
                f"The state can't be written: {error.strerror}."
            ) from error
        self._usable = True

    def close(self) -> None:
        """Close the files and let another process use the folder."""
        self._usable = False
        self._segments.close()
        self._lock.release()

    def _queue(self, effect: Persist) -> None:
        if effect.truncate_from is not None:
            self._segments.truncate_from(effect.truncate_from)
        self._segments.append(effect.entries)

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        self._segments.sync()
        self._snapshots.write(snapshot)
        first = self._segments.first_index
        if first is not None and not self._continues(snapshot):
            self._segments.truncate_from(first)
            self._segments.sync()
        self._segments.rotate()
        self._segments.remove_through(snapshot.index)
        self._snapshots.remove_older()

    def _continues(self, snapshot: Snapshot) -> bool:
        """Return whether the log in force belongs after the snapshot."""
        return (
            self._segments.first_index == snapshot.index + 1
            or self._segments.term_at(snapshot.index) == snapshot.term
        )

    def _after_snapshot(
        self, snapshot: Snapshot | None, entries: list[Entry]
    ) -> list[Entry]:
        if not entries:
            return entries
        base_index = snapshot.index if snapshot else 0
        if entries[0].index > base_index + 1:
            raise CorruptLogError(
                "Entries between snapshot and log are missing.",
                snapshot_index=base_index,
                first_index=entries[0].index,
            )
        if snapshot is not None and not self._continues(snapshot):
            # A crash came between a leader's snapshot and the removal of
            # the log that it replaced.
            self._segments.truncate_from(entries[0].index)
            return []
        return [entry for entry in entries if entry.index > base_index]

    def _load_hard_state(self) -> HardState | None:
        if not self._hard_state_path.exists():
            return None
        content = read_checked(self._hard_state_path)
        if content is None:
            raise CorruptLogError(
                "The hard state fails its checksum.",
                file=str(self._hard_state_path),
            )
        return msgspec.msgpack.decode(content, type=HardState)

    def _write_hard_state(self, hard_state: HardState) -> None:
        write_checked(
            self._hard_state_path, msgspec.msgpack.encode(hard_state)
        )
        self._hard_state = hard_state
