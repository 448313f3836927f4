"""Simulated group whose members also write to real folders."""

import pathlib
from collections.abc import Iterable

import pytest

from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.state import PersistedState
from sardinespool.storage.group_store import GroupStore
from testing.replication.cluster import Cluster
from testing.replication.memory_disk import MemoryDisk
from testing.replication.test_random_faults import FaultInjector


class FolderDisk(MemoryDisk):
    """Compares the loaded state of a folder with the in-memory state."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._store = GroupStore(folder)
        super().__init__(self._store.load().hard_state.incarnation)

    def persist(self, effects: Iterable[Persist | PersistSnapshot]) -> None:
        batch = list(effects)
        super().persist(batch)
        if batch:
            self._store.persist(batch)

    def state(self) -> PersistedState:
        self._store.close()
        self._store = GroupStore(self._folder)
        state = self._store.load()
        assert state == super().state()
        return state


class FolderCluster(Cluster):
    """Cluster with a separate folder for each incarnation."""

    def __init__(self, size: int, seed: int, folder: pathlib.Path) -> None:
        self._folder = folder
        super().__init__(size, seed)

    def _new_disk(self) -> MemoryDisk:
        self._disk_count += 1
        return FolderDisk(self._folder / str(self._disk_count))


@pytest.mark.parametrize(("size", "seed"), [(1, 1), (2, 1), (3, 1), (3, 2)])
def test_folder_state_matches_memory_disk(
    tmp_path: pathlib.Path, size: int, seed: int
) -> None:
    """A folder must load the same state as an in-memory disk."""
    cluster = FolderCluster(size, seed, tmp_path)
    cluster.run_until_converged(10_000)
    FaultInjector(cluster).run(10_000)
    cluster.heal()
    cluster.run_until_converged(60_000)
