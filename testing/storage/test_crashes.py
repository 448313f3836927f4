"""Tests of crashes and failed writes while a batch is stored."""

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
from testing.storage.helpers import entries
from testing.storage.helpers import load_state
from testing.storage.helpers import persist_batches
from testing.storage.helpers import snapshot


class SimulatedCrashError(Exception):
    """Simulates the end of the process."""


SYSTEM_CALLS = (
    "write",
    "fdatasync",
    "fsync",
    "rename",
    "open",
    "unlink",
    "close",
)


@pytest.mark.parametrize(
    "batch",
    [
        [Persist(HardState("1", 3, "b#1"), entries(4, 6, 3), 4)],
        [snapshot(4)],
        [snapshot(9, 2), Persist(None, entries(10, 11, 2))],
        [snapshot(5, 2), Persist(None, entries(6, 6, 2))],
    ],
)
def test_crash_before_any_system_call(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    batch: list[Persist | PersistSnapshot],
) -> None:
    """A crash during a batch leaves a folder that can be loaded.

    The batch is interrupted before each of its system calls. A restart must
    find the old state or a part of the new one. Without a crash, the whole
    batch must be stored.
    """
    first = [Persist(HardState("1", 2), entries(1, 3)), snapshot(2)]
    second = [Persist(None, entries(4, 6))]
    reference_folder = tmp_path / "whole"
    persist_batches(reference_folder, first, second, batch)
    expected = load_state(reference_folder)
    crashed = True
    completed_calls = 0
    while crashed:
        folder = tmp_path / str(completed_calls)
        persist_batches(folder, first, second)
        before = load_state(folder)
        store = GroupStore(folder)
        store.load()
        with monkeypatch.context() as patch:
            remaining = [completed_calls]
            for name in SYSTEM_CALLS:
                patch.setattr(
                    os, name, _crash_after(getattr(os, name), remaining)
                )
            try:
                store.persist(batch)
                crashed = False
            except SimulatedCrashError:
                crashed = True
        if crashed:
            with pytest.raises(DataFolderError):
                store.persist(batch)
        store.close()
        after = load_state(folder)
        assert after.hard_state in (before.hard_state, expected.hard_state)
        assert after.snapshot in (before.snapshot, expected.snapshot)
        old, new = set(before.entries), set(expected.entries)
        assert old & new <= set(after.entries) <= old | new
        if not crashed:
            assert after == expected
        completed_calls += 1
    assert completed_calls > 2


def _crash_after(
    system_call: Callable[..., object], remaining: list[int]
) -> Callable[..., object]:
    def run(*arguments: object, **options: object) -> object:
        if remaining[0] <= 0:
            raise SimulatedCrashError
        remaining[0] -= 1
        return system_call(*arguments, **options)

    return run


def test_store_rejects_batches_after_a_failed_sync(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing may be acknowledged once a sync has failed."""
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
