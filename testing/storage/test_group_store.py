"""Tests of the log, damaged files and the lock of a group's folder."""

import errno
import os
import pathlib
import tracemalloc

import pytest

from sardinespool.errors.storage import CorruptLogError
from sardinespool.errors.storage import CorruptSnapshotError
from sardinespool.errors.storage import DataFolderError
from sardinespool.errors.storage import StorageError
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.state import HardState
from sardinespool.replication.state import Snapshot
from sardinespool.storage.group_store import GroupStore
from testing.storage.helpers import CONFIGURATION
from testing.storage.helpers import entries
from testing.storage.helpers import entry
from testing.storage.helpers import last_segment
from testing.storage.helpers import load_state
from testing.storage.helpers import persist_batches
from testing.storage.helpers import snapshot


def test_incarnation_is_generated_once_per_folder(
    tmp_path: pathlib.Path,
) -> None:
    """A member that lost its disk must not vote under its old identity."""
    first = load_state(tmp_path / "one").hard_state
    assert load_state(tmp_path / "one").hard_state == first
    assert load_state(tmp_path / "two").hard_state != first


@pytest.mark.parametrize(
    ("batches", "expected"),
    [
        ([[Persist(None, entries(1, 3))]], entries(1, 3)),
        (
            [
                [Persist(None, entries(1, 5))],
                [Persist(None, entries(3, 4, 2), 3)],
            ],
            entries(1, 2) + entries(3, 4, 2),
        ),
        (
            [[Persist(None, entries(1, 5))], [Persist(None, (), 4)]],
            entries(1, 3),
        ),
        # Entries after the replica's own snapshot are kept.
        ([[Persist(None, entries(1, 5)), snapshot(3)]], entries(4, 5)),
        # A leader's snapshot replaces a log that ends before its index.
        ([[Persist(None, entries(1, 5))], [snapshot(9, 2)]], ()),
        # It also replaces a log with another term at its index.
        ([[Persist(None, entries(1, 5))], [snapshot(4, 2)]], ()),
        # A segment with removed entries above the snapshot is not needed.
        (
            [
                [Persist(None, entries(1, 10))],
                [Persist(None, entries(3, 6, 2), 3)],
                [snapshot(4, 2)],
                [snapshot(9, 4)],
                [Persist(None, entries(10, 12, 4))],
            ],
            entries(10, 12, 4),
        ),
        # Entries can be appended after a leader's snapshot.
        (
            [
                [Persist(None, entries(1, 5))],
                [snapshot(9, 2), Persist(None, entries(10, 11, 2))],
                [snapshot(10, 2), Persist(None, entries(11, 12, 3), 11)],
            ],
            entries(11, 12, 3),
        ),
    ],
)
def test_state_is_kept_across_restarts(
    tmp_path: pathlib.Path,
    batches: list[list[Persist | PersistSnapshot]],
    expected: tuple[Entry, ...],
) -> None:
    """A restart neither loses entries nor restores removed ones."""
    persist_batches(tmp_path, *batches)
    assert load_state(tmp_path).entries == expected
    assert load_state(tmp_path).entries == expected


@pytest.mark.parametrize("restarted", [False, True])
def test_segment_with_removed_entries_is_removed_by_a_snapshot(
    tmp_path: pathlib.Path, restarted: bool
) -> None:
    """Guards against segments that are kept for entries that are gone."""
    persist_batches(
        tmp_path,
        [Persist(None, entries(1, 10))],
        [Persist(None, entries(3, 6, 2), 3)],
    )
    if restarted:
        load_state(tmp_path)
    persist_batches(tmp_path, [snapshot(6, 2)])
    assert len(list(tmp_path.glob("segment-*"))) == 1
    assert load_state(tmp_path).entries == ()


def test_log_truncated_at_any_byte_is_recovered(
    tmp_path: pathlib.Path,
) -> None:
    """An incomplete write at the end affects no complete record."""
    persist_batches(
        tmp_path,
        [Persist(None, entries(1, 4))],
        [Persist(None, entries(3, 4, 2), 3)],
    )
    path = last_segment(tmp_path)
    intact = path.read_bytes()
    # Entries after each record; record 5 removes entries 3 and 4.
    expected_states = [entries(1, n) for n in range(5)] + [
        entries(1, 2),
        entries(1, 2) + entries(3, 3, 2),
        entries(1, 2) + entries(3, 4, 2),
    ]
    observed_states = []
    for size in range(len(intact) + 1):
        path.write_bytes(intact[:size])
        recovered = load_state(tmp_path).entries
        if not observed_states or observed_states[-1] != recovered:
            observed_states.append(recovered)
        persist_batches(
            tmp_path, [Persist(None, (entry(len(recovered) + 1, 3),))]
        )
        assert load_state(tmp_path).entries == (
            *recovered,
            entry(len(recovered) + 1, 3),
        )
    assert observed_states == expected_states


def test_zeros_after_the_log_are_truncated(tmp_path: pathlib.Path) -> None:
    """A file that grew before its data was written can still be loaded."""
    persist_batches(tmp_path, [Persist(None, entries(1, 2))])
    with last_segment(tmp_path).open("ab") as file:
        file.write(bytes(5000))
    assert load_state(tmp_path).entries == entries(1, 2)


def test_damage_before_valid_records_is_rejected(
    tmp_path: pathlib.Path,
) -> None:
    """A damaged record that is followed by valid ones prevents a start.

    Otherwise the member could start without entries that it acknowledged.
    """
    persist_batches(tmp_path, [Persist(None, entries(1, 3))])
    path = last_segment(tmp_path)
    intact = path.read_bytes()
    for position in range(len(intact) * 2 // 3):
        damaged = bytearray(intact)
        damaged[position] ^= 0x10
        path.write_bytes(damaged)
        with pytest.raises(CorruptLogError):
            load_state(tmp_path)


@pytest.mark.parametrize(
    ("pattern", "error"),
    [
        ("snapshot-*", CorruptSnapshotError),
        ("hardstate", CorruptLogError),
        ("segment-*", CorruptLogError),
    ],
)
def test_damaged_or_missing_file_is_rejected(
    tmp_path: pathlib.Path, pattern: str, error: type[StorageError]
) -> None:
    """A member must not start with only a part of its state."""
    persist_batches(
        tmp_path,
        [Persist(HardState("1", 4, "a#1"), entries(1, 4)), snapshot(4)],
        [Persist(None, entries(5, 6)), snapshot(5)],
        [Persist(None, entries(7, 8))],
    )
    path = min(tmp_path.glob(pattern))
    damaged = bytearray(path.read_bytes())
    damaged[20] ^= 0x10
    path.write_bytes(damaged)
    with pytest.raises(error):
        load_state(tmp_path)
    path.unlink()
    with pytest.raises(CorruptLogError):
        load_state(tmp_path)


def test_folder_is_locked_by_one_store(tmp_path: pathlib.Path) -> None:
    """Two processes must not write to the same log."""
    store = GroupStore(tmp_path)
    with pytest.raises(DataFolderError):
        GroupStore(tmp_path)
    store.close()
    load_state(tmp_path)


@pytest.mark.parametrize("refused", ["fsync", "fdatasync"])
def test_folder_can_be_opened_again_after_a_failed_load(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, refused: str
) -> None:
    """Guards against a member that locks itself out while its disk is full."""
    persist_batches(tmp_path, [Persist(None, entries(1, 3))])
    with monkeypatch.context() as full_disk:

        def refuse(descriptor: int) -> None:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        full_disk.setattr(os, refused, refuse)
        for _ in range(3):
            with pytest.raises(StorageError, match="No space left"):
                GroupStore(tmp_path).load()
    assert load_state(tmp_path).entries == tuple(entries(1, 3))


def test_batch_shares_one_sync(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All proposals of a batch share a sync instead of one each."""
    store = GroupStore(tmp_path)
    store.load()
    syncs = []
    sync = os.fdatasync
    monkeypatch.setattr(
        os, "fdatasync", lambda fd: (syncs.append(fd), sync(fd))
    )
    store.persist([Persist(None, (entry(n),)) for n in range(1, 50)])
    assert len(syncs) == 1
    store.close()


def test_old_segments_are_removed(tmp_path: pathlib.Path) -> None:
    """The data folder must not grow without bound."""
    store = GroupStore(tmp_path)
    store.load()
    for last in range(10, 100, 10):
        store.persist([Persist(None, entries(last - 9, last))])
        store.persist([snapshot(last - 2)])
    store.close()
    assert len(list(tmp_path.glob("segment-*"))) <= 2
    assert len(list(tmp_path.glob("snapshot-*"))) == 1
    assert load_state(tmp_path).entries == entries(89, 90)


def test_load_holds_one_copy_of_the_log(tmp_path: pathlib.Path) -> None:
    """Guards against a start that needs several times the size of the log."""
    payload_bytes = 500_000
    logged = tuple(
        Entry(index, 1, EntryKind.COMMAND, bytes([index]) * payload_bytes)
        for index in range(1, 13)
    )
    state = Snapshot(4, 1, CONFIGURATION, b"s" * payload_bytes)
    persist_batches(
        tmp_path, [Persist(None, logged[:8])], [Persist(None, logged[8:])]
    )
    persist_batches(tmp_path, [PersistSnapshot(state)])
    tracemalloc.start()
    try:
        loaded = load_state(tmp_path)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert loaded.entries == logged[4:]
    # The entries of the files, the snapshot, and one record in progress.
    assert peak_bytes < (len(logged) + 1 + 2) * payload_bytes


def test_failed_write_of_a_snapshot_leaves_no_file(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a partial snapshot that keeps a full disk full."""
    persist_batches(tmp_path, [Persist(None, entries(1, 3))])
    store = GroupStore(tmp_path)
    store.load()

    def refuse(descriptor: int) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    with monkeypatch.context() as full_disk:
        full_disk.setattr(os, "fsync", refuse)
        with pytest.raises(StorageError):
            store.persist([snapshot(2)])
    store.close()
    assert not list(tmp_path.glob("*.tmp"))
    assert load_state(tmp_path).entries == entries(1, 3)
