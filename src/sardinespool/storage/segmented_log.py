"""Segmented log: append-only files of records.

Segments are never overwritten. An entry record replaces all entries from its
index on, and a `TRUNCATE` record removes them. A crash between any two writes
therefore leaves a prefix of the written records.
"""

import dataclasses
import os
import pathlib
from collections.abc import Sequence

from sardinespool.errors.storage import CorruptLogError
from sardinespool.replication.entries import Entry
from sardinespool.storage.files import sync_folder
from sardinespool.storage.files import write_all
from sardinespool.storage.records import encode_record
from sardinespool.storage.records import has_record_after
from sardinespool.storage.records import read_records
from sardinespool.storage.records import RecordKind

SEGMENT_PREFIX = "segment-"


@dataclasses.dataclass(slots=True)
class Segment:
    """Segment file, its size and the highest index of its current entries."""

    path: pathlib.Path
    last_index: int = 0
    size_bytes: int = 0


class SegmentedLog:
    """Log segments of a folder; new records go to the last segment.

    `load` returns the entries to the caller. Only the terms of the current
    entries, those neither replaced nor removed, stay in memory.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._segments: list[Segment] = []
        self._descriptor = -1
        self._pending_records: list[bytes] = []
        self._first_index = 1
        self._terms: list[int] = []

    @property
    def last_index(self) -> int:
        """Index of the last current entry, or one before the first index."""
        return self._first_index + len(self._terms) - 1

    def term_at(self, index: int) -> int | None:
        """Return the term of a current entry, or None."""
        position = index - self._first_index
        if 0 <= position < len(self._terms):
            return self._terms[position]
        return None

    @property
    def segment_bytes(self) -> int:
        """Size of the last segment, without queued records."""
        return self._segments[-1].size_bytes if self._segments else 0

    @property
    def first_index(self) -> int | None:
        """Index of the first current entry, or None."""
        return self._first_index if self._terms else None

    def load(self) -> list[Entry]:
        """Read all segments, sync the last one, return the current entries.

        An incomplete write at the end of the log is truncated.

        Raises
        ------
        CorruptLogError
            A damaged record is followed by valid ones, or entries are
            missing.
        """
        entries: list[Entry] = []
        paths = sorted(self._folder.glob(SEGMENT_PREFIX + "*"))
        for path in paths:
            segment = Segment(path)
            self._load_segment(segment, path == paths[-1], entries)
            self._segments.append(segment)
        if entries:
            self._first_index = entries[0].index
        self._terms = [entry.term for entry in entries]
        if paths:
            self._descriptor = os.open(paths[-1], os.O_WRONLY | os.O_APPEND)
            os.fdatasync(self._descriptor)
        else:
            self.rotate()
        return entries

    def append(self, entries: Sequence[Entry]) -> None:
        """Queue entries for the next `sync`."""
        for entry in entries:
            if not self._terms:
                self._first_index = entry.index
            position = entry.index - self._first_index
            if not 0 <= position <= len(self._terms):
                raise CorruptLogError(
                    "An appended entry is not contiguous with the log.",
                    index=entry.index,
                    last_index=self.last_index,
                )
            if position < len(self._terms):
                self._forget_from(entry.index)
            self._terms.append(entry.term)
            self._pending_records.append(
                encode_record(
                    entry.index, entry.term, entry.kind, entry.payload
                )
            )
            self._segments[-1].last_index = entry.index

    def truncate_from(self, index: int) -> None:
        """Queue the removal of the entries from `index` on."""
        self._forget_from(index)
        self._pending_records.append(
            encode_record(index, 0, RecordKind.TRUNCATE)
        )

    def _forget_from(self, index: int) -> None:
        del self._terms[max(0, index - self._first_index) :]
        for segment in self._segments:
            segment.last_index = min(segment.last_index, index - 1)

    def sync(self) -> None:
        """Write the queued records and make them durable with one sync."""
        if self._pending_records:
            data = b"".join(self._pending_records)
            self._pending_records.clear()
            write_all(self._descriptor, data)
            os.fdatasync(self._descriptor)
            self._segments[-1].size_bytes += len(data)

    def rotate(self) -> None:
        """Start a new segment; no records may be queued."""
        number = 1
        if self._segments:
            name = self._segments[-1].path.name
            number = int(name.removeprefix(SEGMENT_PREFIX)) + 1
        path = self._folder / f"{SEGMENT_PREFIX}{number:012d}"
        descriptor = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, 0o644
        )
        sync_folder(self._folder)
        self.close()
        self._descriptor = descriptor
        self._segments.append(Segment(path))

    def remove_segments_through(self, index: int) -> None:
        """Remove the oldest segments without current entries above `index`.

        Segments are removed strictly from the oldest on, since a `TRUNCATE`
        record also applies to entries in older segments. Each removal is
        synced, as a power loss may undo an earlier one but not a later one.
        """
        while len(self._segments) > 1:
            if self._segments[0].last_index > index:
                break
            self._segments.pop(0).path.unlink()
            sync_folder(self._folder)
        removed_count = min(
            len(self._terms), max(0, index - self._first_index)
        )
        del self._terms[:removed_count]
        self._first_index += removed_count

    def close(self) -> None:
        """Close the file of the last segment."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _load_segment(
        self, segment: Segment, is_last: bool, entries: list[Entry]
    ) -> None:
        # One record at a time: the entries are the only copy in memory.
        with segment.path.open("rb") as file:
            for record in read_records(file):
                segment.size_bytes += record.size_bytes
                _remove_entries_from(entries, record.index)
                for each in (*self._segments, segment):
                    each.last_index = min(each.last_index, record.index - 1)
                if record.kind is RecordKind.TRUNCATE:
                    continue
                if entries and record.index != entries[-1].index + 1:
                    raise CorruptLogError(
                        "Entries are missing from the log.",
                        file=str(segment.path),
                        index=record.index,
                        last_index=entries[-1].index,
                    )
                entries.append(record.entry())
                segment.last_index = record.index
            file.seek(segment.size_bytes)
            rest = file.read()
        if not rest:
            return
        if not is_last or has_record_after(rest, 0):
            raise CorruptLogError(
                "A record before the end of the log is damaged.",
                file=str(segment.path),
                offset_bytes=segment.size_bytes,
            )
        _truncate_file(segment.path, segment.size_bytes)


def _remove_entries_from(entries: list[Entry], index: int) -> None:
    if entries:
        del entries[max(0, index - entries[0].index) :]


def _truncate_file(path: pathlib.Path, size: int) -> None:
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
