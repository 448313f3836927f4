"""Entries, damage and locks of a group's folder."""

import os
import pathlib

import pytest

from sardinespool.errors.storage import CorruptLogError
from sardinespool.errors.storage import CorruptSnapshotError
from sardinespool.errors.storage import DataFolderError
from sardinespool.errors.storage import StorageError
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.entries import Entry
from sardinespool.replication.state import HardState
from sardinespool.storage.group_store import GroupStore
from testing.storage.folders import entries
from testing.storage.folders import entry
from testing.storage.folders import last_segment
from testing.storage.folders import load
from testing.storage.folders import snapshot
from testing.storage.folders import write


def test_incarnation_is_drawn_once(tmp_path: pathlib.Path) -> None:
    """Guards against a member that votes under an identity it lost."""
    first = load(tmp_path / "one").hard_state
    assert load(tmp_path / "one").hard_state == first
    assert load(tmp_path / "two").hard_state != first


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
        # Entries after the owner's snapshot stay.
        ([[Persist(None, entries(1, 5)), snapshot(3)]], entries(4, 5)),
        # A leader's snapshot replaces a log that ends before it,
        ([[Persist(None, entries(1, 5))], [snapshot(9, 2)]], ()),
        # or that differs at its index,
        ([[Persist(None, entries(1, 5))], [snapshot(4, 2)]], ()),
        # and later entries follow it.
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
def test_state_survives_restarts(
    tmp_path: pathlib.Path,
    batches: list[list[Persist | PersistSnapshot]],
    expected: tuple[Entry, ...],
) -> None:
    """Guards against entries that are lost or come back."""
    write(tmp_path, *batches)
    assert load(tmp_path).entries == expected
    assert load(tmp_path).entries == expected


def test_cut_at_every_byte_recovers(tmp_path: pathlib.Path) -> None:
    """Guards against a torn tail that hides or invents an entry."""
    write(
        tmp_path,
        [Persist(None, entries(1, 4))],
        [Persist(None, entries(3, 4, 2), 3)],
    )
    path = last_segment(tmp_path)
    whole = path.read_bytes()
    # What is in force after each record; record 5 drops entries 3 and 4.
    stages = [entries(1, n) for n in range(5)] + [
        entries(1, 2),
        entries(1, 2) + entries(3, 3, 2),
        entries(1, 2) + entries(3, 4, 2),
    ]
    seen = []
    for size in range(len(whole) + 1):
        path.write_bytes(whole[:size])
        found = load(tmp_path).entries
        if not seen or seen[-1] != found:
            seen.append(found)
        write(tmp_path, [Persist(None, (entry(len(found) + 1, 3),))])
        assert load(tmp_path).entries == (*found, entry(len(found) + 1, 3))
    assert seen == stages


def test_zeros_after_the_log_are_cut(tmp_path: pathlib.Path) -> None:
    """Guards against a file that grew before its data was written."""
    write(tmp_path, [Persist(None, entries(1, 2))])
    with last_segment(tmp_path).open("ab") as file:
        file.write(bytes(5000))
    assert load(tmp_path).entries == entries(1, 2)


def test_damage_before_valid_records_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a start without acknowledged entries."""
    write(tmp_path, [Persist(None, entries(1, 3))])
    path = last_segment(tmp_path)
    whole = path.read_bytes()
    for position in range(len(whole) * 2 // 3):
        damaged = bytearray(whole)
        damaged[position] ^= 0x10
        path.write_bytes(damaged)
        with pytest.raises(CorruptLogError):
            load(tmp_path)


@pytest.mark.parametrize(
    ("pattern", "error"),
    [
        ("snapshot-*", CorruptSnapshotError),
        ("hardstate", CorruptLogError),
        ("segment-*", CorruptLogError),
    ],
)
def test_damaged_or_missing_file_is_refused(
    tmp_path: pathlib.Path, pattern: str, error: type[StorageError]
) -> None:
    """Guards against a member that starts with a part of its state."""
    write(
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
        load(tmp_path)
    path.unlink()
    with pytest.raises(CorruptLogError):
        load(tmp_path)


def test_folder_has_one_user(tmp_path: pathlib.Path) -> None:
    """Guards against two processes that write one log."""
    store = GroupStore(tmp_path)
    with pytest.raises(DataFolderError):
        GroupStore(tmp_path)
    store.close()
    load(tmp_path)


def test_batch_shares_one_sync(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one sync for each of many proposals."""
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
    """Guards against a data folder that grows without bound."""
    store = GroupStore(tmp_path)
    store.load()
    for last in range(10, 100, 10):
        store.persist([Persist(None, entries(last - 9, last))])
        store.persist([snapshot(last - 2)])
    store.close()
    assert len(list(tmp_path.glob("segment-*"))) <= 2
    assert len(list(tmp_path.glob("snapshot-*"))) == 1
    assert load(tmp_path).entries == entries(89, 90)
