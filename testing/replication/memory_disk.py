"""Data folder of a member in memory."""

from collections.abc import Iterable

from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.entries import Entry
from sardinespool.replication.state import HardState
from sardinespool.replication.state import PersistedState
from sardinespool.replication.state import Snapshot


class MemoryDisk:
    """Stores what `GroupStore` stores, without files."""

    def __init__(self, incarnation: str) -> None:
        self.hard_state = HardState(incarnation)
        self.snapshot: Snapshot | None = None
        self.entries: dict[int, Entry] = {}

    def persist(self, effects: Iterable[Persist | PersistSnapshot]) -> None:
        for effect in effects:
            if isinstance(effect, PersistSnapshot):
                self._install(effect.snapshot)
                continue
            if effect.hard_state is not None:
                self.hard_state = effect.hard_state
            if effect.truncate_from is not None:
                self._keep(lambda i, e=effect: i < e.truncate_from)
            for entry in effect.entries:
                self._keep(lambda i, e=entry: i < e.index)
                self.entries[entry.index] = entry

    def state(self) -> PersistedState:
        base = self.snapshot.index if self.snapshot else 0
        entries = tuple(self.entries[i] for i in sorted(self.entries))
        assert [entry.index for entry in entries] == list(
            range(base + 1, base + 1 + len(entries))
        )
        return PersistedState(self.hard_state, self.snapshot, entries)

    def _install(self, snapshot: Snapshot) -> None:
        base = self.snapshot.index if self.snapshot else 0
        held = self.entries.get(snapshot.index)
        self.snapshot = snapshot
        if held is None or held.term != snapshot.term:
            assert snapshot.index > base
            self.entries.clear()
        self._keep(lambda i: i > snapshot.index)

    def _keep(self, condition) -> None:  # noqa: ANN001
        self.entries = {
            index: entry
            for index, entry in self.entries.items()
            if condition(index)
        }
