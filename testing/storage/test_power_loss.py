"""Tests of a group's folder on a disk that loses what was not synced."""

import contextlib
import pathlib
import random

import pytest

from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.entries import Entry
from sardinespool.replication.state import HardState
from sardinespool.replication.state import PersistedState
from sardinespool.storage.group_store import GroupStore
from testing.replication.memory_disk import MemoryDisk
from testing.storage.helpers import entries
from testing.storage.helpers import load_state
from testing.storage.helpers import snapshot
from testing.storage.power_loss import PowerLossError
from testing.storage.power_loss import PowerLossFiles

SEEDS = range(60)
BATCHES = 25
CALLS_OF_BATCH_MAX = 14

Batch = list[Persist | PersistSnapshot]


class RandomBatches:
    """Generates batches as a replica would for the given stored state."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._term = 1

    def next_batch(self, disk: MemoryDisk) -> Batch:
        chance = self._chance
        base = disk.snapshot.index if disk.snapshot else 0
        last = max(disk.entries, default=base)
        match chance.randrange(6):
            case 0 if last > base:
                index = chance.randint(base + 1, last)
                return [snapshot(index, disk.entries[index].term)]
            case 1 if last > base:
                self._term += 1
                first = chance.randint(base + 1, last)
                return [
                    self._vote(disk),
                    Persist(None, self._entries(first), first),
                ]
            case 2:
                self._term += 1
                index = last + chance.randint(1, 3)
                return [self._vote(disk), snapshot(index, self._term)]
            case 3:
                self._term += 1
                return [self._vote(disk)]
            case _:
                return [Persist(None, self._entries(last + 1))]

    def _entries(self, first: int) -> tuple[Entry, ...]:
        count = self._chance.randint(1, 4)
        return entries(first, first + count - 1, self._term)

    def _vote(self, disk: MemoryDisk) -> Persist:
        vote = self._chance.choice(("a#1", "b#1"))
        return Persist(
            HardState(disk.hard_state.incarnation, self._term, vote)
        )


def assert_between(
    found: PersistedState, old: PersistedState, new: PersistedState
) -> None:
    """Check that nothing which both states hold is missing or changed."""
    assert found.hard_state in (old.hard_state, new.hard_state)
    assert found.snapshot in (old.snapshot, new.snapshot)
    base = found.snapshot.index if found.snapshot else 0
    kept = {
        item
        for item in set(old.entries) & set(new.entries)
        if item.index > base
    }
    assert kept <= set(found.entries)
    assert set(found.entries) <= set(old.entries) | set(new.entries)


@pytest.mark.parametrize("seed", SEEDS)
def test_power_loss_during_batch_keeps_earlier_batches(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """A power loss at any system call loses no batch that was stored."""
    chance = random.Random(seed)
    files = PowerLossFiles(tmp_path, monkeypatch)
    batches = RandomBatches(chance)
    store = GroupStore(tmp_path)
    disk = MemoryDisk(store.load().hard_state.incarnation)
    for _ in range(BATCHES):
        before = disk.state()
        batch = batches.next_batch(disk)
        disk.persist(batch)
        if chance.random() < 0.3:
            files.calls_until_power_loss = chance.randrange(CALLS_OF_BATCH_MAX)
        stored = False
        try:
            store.persist(batch)
            stored = True
        except PowerLossError:
            pass
        if not stored or chance.random() < 0.2:
            files.calls_until_power_loss = None
            store.close()
            files.lose_power(tmp_path, chance)
            store = GroupStore(tmp_path)
            found = store.load()
            assert_between(
                found, disk.state() if stored else before, disk.state()
            )
            disk = MemoryDisk(found.hard_state.incarnation)
            disk.hard_state = found.hard_state
            disk.snapshot = found.snapshot
            disk.entries = {item.index: item for item in found.entries}
        files.calls_until_power_loss = None
    store.close()


@pytest.mark.parametrize("seed", SEEDS)
def test_loaded_state_survives_power_loss(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a loaded entry or vote that was never synced.

    A process that is killed between a write and its sync leaves files with
    unsynced content. The next process acknowledges what it has loaded.
    """
    chance = random.Random(seed)
    files = PowerLossFiles(tmp_path, monkeypatch)
    batches = RandomBatches(chance)
    disk = MemoryDisk(load_state(tmp_path).hard_state.incarnation)
    for _ in range(BATCHES):
        store = GroupStore(tmp_path)
        store.load()
        files.calls_until_power_loss = chance.randrange(CALLS_OF_BATCH_MAX)
        batch = batches.next_batch(disk)
        with contextlib.suppress(PowerLossError):
            store.persist(batch)
        files.calls_until_power_loss = None
        store.close()
        loaded = load_state(tmp_path)
        files.lose_power(tmp_path, chance)
        assert load_state(tmp_path) == loaded
        disk.hard_state = loaded.hard_state
        disk.snapshot = loaded.snapshot
        disk.entries = {item.index: item for item in loaded.entries}


@pytest.mark.parametrize("seed", SEEDS)
def test_power_loss_while_segments_are_removed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a log that lacks a segment between two others.

    The member could not start again: the log would look damaged.
    """
    chance = random.Random(seed)
    files = PowerLossFiles(tmp_path, monkeypatch)
    store = GroupStore(tmp_path)
    store.load()
    for batch in (
        [Persist(None, entries(1, 12))],
        [snapshot(10)],
        [Persist(None, entries(13, 16))],
        [snapshot(11)],
        [Persist(None, entries(17, 20))],
    ):
        store.persist(batch)
    files.calls_until_power_loss = 7 + seed % 6
    with contextlib.suppress(PowerLossError):
        store.persist([snapshot(20)])
    files.calls_until_power_loss = None
    store.close()
    files.lose_power(tmp_path, chance)
    found = load_state(tmp_path)
    assert found.snapshot in (snapshot(11).snapshot, snapshot(20).snapshot)
    base = found.snapshot.index
    assert found.entries == (entries(12, 20) if base == 11 else ())
