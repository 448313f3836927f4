"""In-memory replacement for a member's data folder."""

from collections.abc import Iterable

from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.entries import Entry
from sardinespool.replication.state import HardState
from sardinespool.replication.state import PersistedState
from sardinespool.replication.state import Snapshot


class MemoryDisk:
    """Stores the state of a replica as `GroupStore` does, in memory."""

    def __init__(self, incarnation: str) -> None:
        self.hard_state = HardState(incarnation)
        self.snapshot: Snapshot | None = None
        self.entries: dict[int, Entry] = {}

    def persist(self, effects: Iterable[Persist | PersistSnapshot]) -> None:
        for effect in effects:
            if isinstance(effect, PersistSnapshot):
                self._store_snapshot(effect.snapshot)
                continue
            if effect.hard_state is not None:
                self.hard_state = effect.hard_state
            if effect.truncate_from is not None:
                self._retain_entries(lambda i, e=effect: i < e.truncate_from)
            for entry in effect.entries:
                self._retain_entries(lambda i, e=entry: i < e.index)
                self.entries[entry.index] = entry

    @property
    def segment_bytes(self) -> int:
        return sum(entry.size_bytes for entry in self.entries.values())

    def state(self) -> PersistedState:
        base_index = self.snapshot.index if self.snapshot else 0
        entries = tuple(self.entries[i] for i in sorted(self.entries))
        assert [entry.index for entry in entries] == list(
            range(base_index + 1, base_index + 1 + len(entries))
        )
        return PersistedState(self.hard_state, self.snapshot, entries)

    def _store_snapshot(self, snapshot: Snapshot) -> None:
        base_index = self.snapshot.index if self.snapshot else 0
        stored_entry = self.entries.get(snapshot.index)
        self.snapshot = snapshot
        if stored_entry is None or stored_entry.term != snapshot.term:
            assert snapshot.index > base_index
            self.entries.clear()
        self._retain_entries(lambda i: i > snapshot.index)

    def _retain_entries(self, predicate) -> None:  # noqa: ANN001
        self.entries = {
            index: entry
            for index, entry in self.entries.items()
            if predicate(index)
        }
