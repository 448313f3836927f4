"""Crashes and failed writes between the steps of a batch."""

import os
import pathlib
from collections.abc import Callable

import pytest

from sardinespool.errors.storage import DataFolderError
from sardinespool.errors.storage import StorageError
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.state import HardState
from sardinespool.storage.group_store import GroupStore
from testing.storage.folders import entries
from testing.storage.folders import load
from testing.storage.folders import snapshot
from testing.storage.folders import write


class SimulatedCrashError(Exception):
    """Stands for the end of the process."""


STEPS = ("write", "fdatasync", "fsync", "rename", "open", "unlink", "close")


@pytest.mark.parametrize(
    "batch",
    [
        [Persist(HardState("1", 3, "b#1"), entries(4, 6, 3), 4)],
        [snapshot(4)],
        [snapshot(9, 2), Persist(None, entries(10, 11, 2))],
        [snapshot(5, 2), Persist(None, entries(6, 6, 2))],
    ],
)
def test_crash_between_any_two_steps(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    batch: list[Persist | PersistSnapshot],
) -> None:
    """Guards against a folder that can't be opened after a crash.

    The batch is cut before each call of the operating system. A restart
    must find the old state or a later one, and a repeat the whole batch.
    """
    first = [Persist(HardState("1", 2), entries(1, 3)), snapshot(2)]
    second = [Persist(None, entries(4, 6))]
    whole = tmp_path / "whole"
    write(whole, first, second, batch)
    expected = load(whole)
    crashed = True
    count = 0
    while crashed:
        folder = tmp_path / str(count)
        write(folder, first, second)
        before = load(folder)
        store = GroupStore(folder)
        store.load()
        with monkeypatch.context() as patch:
            remaining = [count]
            for name in STEPS:
                patch.setattr(os, name, _cut(getattr(os, name), remaining))
            try:
                store.persist(batch)
                crashed = False
            except SimulatedCrashError:
                crashed = True
        if crashed:
            with pytest.raises(DataFolderError):
                store.persist(batch)
        store.close()
        after = load(folder)
        assert after.hard_state in (before.hard_state, expected.hard_state)
        assert after.snapshot in (before.snapshot, expected.snapshot)
        old, new = set(before.entries), set(expected.entries)
        assert old & new <= set(after.entries) <= old | new
        if not crashed:
            assert after == expected
        count += 1
    assert count > 2


def _cut(
    step: Callable[..., object], remaining: list[int]
) -> Callable[..., object]:
    def run(*arguments: object, **options: object) -> object:
        if remaining[0] <= 0:
            raise SimulatedCrashError
        remaining[0] -= 1
        return step(*arguments, **options)

    return run


def test_failed_write_stops_the_store(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an acknowledgement after a failed sync."""
    store = GroupStore(tmp_path)
    store.load()

    def fail(descriptor: int) -> None:
        raise OSError(5, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", fail)
        with pytest.raises(StorageError):
            store.persist([Persist(None, entries(1, 1))])
    with pytest.raises(StorageError):
        store.persist([Persist(None, entries(1, 1))])
    store.close()
