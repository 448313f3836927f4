"""Helpers that build batches and read and write folders."""

import pathlib

from sardinespool.replication.configuration import Configuration
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.state import PersistedState
from sardinespool.replication.state import Snapshot
from sardinespool.storage.group_store import GroupStore

CONFIGURATION = Configuration(("a#1",), ("a#1",))


def entry(index: int, term: int = 1) -> Entry:
    payload = f"{index}/{term}".encode() * 3
    return Entry(index, term, EntryKind.COMMAND, payload)


def entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(entry(index, term) for index in range(first, last + 1))


def snapshot(index: int, term: int = 1) -> PersistSnapshot:
    return PersistSnapshot(Snapshot(index, term, CONFIGURATION, b"state"))


def load_state(folder: pathlib.Path) -> PersistedState:
    store = GroupStore(folder)
    try:
        return store.load()
    finally:
        store.close()


def persist_batches(
    folder: pathlib.Path, *batches: list[Persist | PersistSnapshot]
) -> None:
    store = GroupStore(folder)
    try:
        store.load()
        for batch in batches:
            store.persist(batch)
    finally:
        store.close()


def last_segment(folder: pathlib.Path) -> pathlib.Path:
    return max(folder.glob("segment-*"))
