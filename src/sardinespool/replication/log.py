"""In-memory log: entries above a snapshot and some retained before it."""

from collections.abc import Iterable

from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import decode_configuration
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.state import Snapshot


class Log:
    """Entries after `base_index` and the configurations they contain.

    Attributes
    ----------
    base_index, base_term : int
        Index and term of the entry before the first one in memory.
    snapshot : Snapshot or None
        Latest snapshot; its index is `base_index` or above.
    """

    def __init__(
        self, snapshot: Snapshot | None, entries: tuple[Entry, ...]
    ) -> None:
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self._entries: list[Entry] = []
        self._configurations: list[tuple[int, Configuration]] = []
        if snapshot:
            self._configurations.append(
                (snapshot.index, snapshot.configuration)
            )
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or `base_index`."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or `base_term`."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration(self) -> Configuration | None:
        """Latest configuration, committed or not."""
        return self._configurations[-1][1] if self._configurations else None

    @property
    def configuration_index(self) -> int:
        """Index of the latest configuration, or 0."""
        return self._configurations[-1][0] if self._configurations else 0

    def configuration_at(self, index: int) -> Configuration | None:
        """Return the configuration in effect at entry `index`."""
        latest = None
        for entry_index, configuration in self._configurations:
            if entry_index <= index:
                latest = configuration
        return latest

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        position = index - self.base_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in memory with the term of `index`."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term: int) -> int | None:
        """Return the last index in memory with this term."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                break
        return None

    def entries_between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from `first` to `last`, inclusive."""
        offset = self.base_index + 1
        return tuple(self._entries[first - offset : last - offset + 1])

    def entries_from(self, first: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `first` up to a size limit.

        The first entry is returned even if it exceeds the limit.
        """
        batch: list[Entry] = []
        total_bytes = 0
        position = first - self.base_index - 1
        while position < len(self._entries):
            entry = self._entries[position]
            total_bytes += len(entry.payload) + 16
            if batch and total_bytes > limit_bytes:
                break
            batch.append(entry)
            position += 1
        return tuple(batch)

    def size_after(self, index: int) -> int:
        """Return the size in bytes of the entries after `index`."""
        return sum(
            entry.size_bytes
            for entry in self._entries[index - self.base_index :]
        )

    def append(self, entries: Iterable[Entry]) -> None:
        """Append entries that directly follow the last one."""
        for entry in entries:
            self._entries.append(entry)
            if entry.kind is EntryKind.CONFIGURATION:
                self._configurations.append(
                    (entry.index, decode_configuration(entry.payload))
                )

    def truncate_from(self, index: int) -> None:
        """Remove the entries from `index` on and their configurations."""
        del self._entries[index - self.base_index - 1 :]
        self._configurations = [
            item for item in self._configurations if item[0] < index
        ]

    def compact(
        self,
        snapshot: Snapshot,
        retained_count: int,
        retained_limit_bytes: int,
    ) -> None:
        """Record a snapshot of applied entries and remove old entries.

        The last entries of the snapshot stay in memory, up to
        `retained_count` entries and `retained_limit_bytes` bytes.
        """
        self.snapshot = snapshot
        oldest_index = max(self.base_index, snapshot.index - retained_count)
        new_base_index = snapshot.index
        retained_bytes = 0
        while new_base_index > oldest_index:
            entry = self._entries[new_base_index - self.base_index - 1]
            retained_bytes += entry.size_bytes
            if retained_bytes > retained_limit_bytes:
                break
            new_base_index -= 1
        self.base_term = self.term_at(new_base_index) or 0
        del self._entries[: new_base_index - self.base_index]
        self.base_index = new_base_index
        self._drop_configurations_through(snapshot)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Install a leader's snapshot.

        Entries after it are kept if the entry at its index has its term.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            del self._entries[: snapshot.index - self.base_index]
            self._drop_configurations_through(snapshot)
        else:
            self._entries.clear()
            self._configurations = [(snapshot.index, snapshot.configuration)]
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term

    def _drop_configurations_through(self, snapshot: Snapshot) -> None:
        later_configurations = [
            item for item in self._configurations if item[0] > snapshot.index
        ]
        self._configurations = [
            (snapshot.index, snapshot.configuration),
            *later_configurations,
        ]
