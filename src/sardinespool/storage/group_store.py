"""Durable state of one replica in one folder."""

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
from sardinespool.storage.checksummed_file import read_checksummed
from sardinespool.storage.checksummed_file import write_checksummed
from sardinespool.storage.files import sync_folder
from sardinespool.storage.folder_lock import FolderLock
from sardinespool.storage.segmented_log import SegmentedLog
from sardinespool.storage.snapshot_store import SnapshotStore

INCARNATION_BYTES = 8
"""Random bytes of an incarnation; enough to make collisions unlikely."""


class GroupStore:
    """Stores the hard state, log segments and snapshots of one replica.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the group; created if it does not exist.

    Raises
    ------
    DataFolderError
        The folder is not writable or is in use by another process.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._lock = FolderLock(folder)
        self._hard_state_path = folder / "hardstate"
        self._log = SegmentedLog(folder)
        self._snapshots = SnapshotStore(folder)
        self._hard_state: HardState | None = None
        self._writable = False

    @property
    def segment_bytes(self) -> int:
        """Size of the last log segment; a stored snapshot starts a new one."""
        return self._log.segment_bytes

    def load(self) -> PersistedState:
        """Return the stored state; must be called once, before `persist`.

        In an empty folder, a new incarnation is generated and stored first.
        A failure closes the store, so that the folder can be opened again.

        Raises
        ------
        CorruptLogError
            Log records or the hard state are damaged or missing.
        CorruptSnapshotError
            The latest snapshot is damaged.
        StorageError
            A file can't be read or written.
        """
        try:
            state = self._load()
        except OSError as error:
            self.close()
            raise StorageError(
                f"The stored state can't be loaded: {error.strerror}."
            ) from error
        except StorageError:
            self.close()
            raise
        self._hard_state = state.hard_state
        self._writable = True
        return state

    def _load(self) -> PersistedState:
        # A process that was killed may have left names and records that are
        # not synced. From now on, the replica answers for them.
        sync_folder(self._folder.parent)
        sync_folder(self._folder)
        snapshot = self._snapshots.load()
        hard_state = self._load_hard_state()
        entries = self._log.load()
        if hard_state is None:
            if snapshot is not None or entries:
                raise CorruptLogError(
                    "The hard state is missing, but other state exists.",
                    file=str(self._hard_state_path),
                )
            hard_state = HardState(secrets.token_hex(INCARNATION_BYTES))
            self._write_hard_state(hard_state)
        entries = self._entries_after_snapshot(snapshot, entries)
        self._log.sync()
        return PersistedState(hard_state, snapshot, tuple(entries))

    def persist(self, effects: Sequence[Persist | PersistSnapshot]) -> None:
        """Store a batch of effects durably.

        All appended records share one sync. A changed hard state and a
        snapshot are separate files with syncs of their own.

        Raises
        ------
        DataFolderError
            The store is not loaded, is closed or has failed.
        StorageError
            A write or sync failed. The stored state is then unknown, so the
            store rejects further batches until the process restarts.
        """
        if not self._writable:
            raise DataFolderError(
                "The store is not loaded, is closed or has failed."
            )
        self._writable = False
        try:
            # Write the hard state first. Entries of a term are then not
            # stored without that term, except in the last batch before a
            # crash.
            hard_state = self._hard_state
            for effect in effects:
                if isinstance(effect, Persist) and effect.hard_state:
                    hard_state = effect.hard_state
            if hard_state is not None and hard_state != self._hard_state:
                self._write_hard_state(hard_state)
            for effect in effects:
                match effect:
                    case Persist():
                        self._queue_entries(effect)
                    case PersistSnapshot(snapshot):
                        self._store_snapshot(snapshot)
            self._log.sync()
        except OSError as error:
            raise StorageError(
                f"The state can't be written: {error.strerror}."
            ) from error
        self._writable = True

    def close(self) -> None:
        """Close the files and let another process use the folder."""
        self._writable = False
        self._log.close()
        self._lock.release()

    def _queue_entries(self, effect: Persist) -> None:
        if effect.truncate_from is not None:
            self._log.truncate_from(effect.truncate_from)
        self._log.append(effect.entries)

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        self._log.sync()
        self._snapshots.write(snapshot)
        if (
            self._log.first_index is not None
            and not self._log_matches_snapshot(snapshot)
        ):
            # The files may also hold entries before the first current one.
            self._log.truncate_from(1)
            self._log.sync()
        self._log.rotate()
        self._log.remove_segments_through(snapshot.index)
        self._snapshots.remove_older()

    def _log_matches_snapshot(self, snapshot: Snapshot) -> bool:
        """Return whether the stored log continues the snapshot."""
        return (
            self._log.first_index == snapshot.index + 1
            or self._log.term_at(snapshot.index) == snapshot.term
        )

    def _entries_after_snapshot(
        self, snapshot: Snapshot | None, entries: list[Entry]
    ) -> list[Entry]:
        if not entries:
            return entries
        base_index = snapshot.index if snapshot else 0
        if entries[0].index > base_index + 1:
            raise CorruptLogError(
                "Entries between the snapshot and the log are missing.",
                snapshot_index=base_index,
                first_index=entries[0].index,
            )
        if snapshot is not None and not self._log_matches_snapshot(snapshot):
            # A crash interrupted the installation of a leader's snapshot
            # before the log that it replaces was removed.
            self._log.truncate_from(entries[0].index)
            return []
        return [entry for entry in entries if entry.index > base_index]

    def _load_hard_state(self) -> HardState | None:
        if not self._hard_state_path.exists():
            return None
        content = read_checksummed(self._hard_state_path)
        if content is None:
            raise CorruptLogError(
                "The hard state file has an invalid checksum.",
                file=str(self._hard_state_path),
            )
        return msgspec.msgpack.decode(content, type=HardState)

    def _write_hard_state(self, hard_state: HardState) -> None:
        write_checksummed(
            self._hard_state_path, msgspec.msgpack.encode(hard_state)
        )
        self._hard_state = hard_state
