"""Both sides of sending a snapshot in chunks."""

from sardinespool.replication.messages import SnapshotChunk
from sardinespool.replication.state import Snapshot


class SnapshotSender:
    """Progress of one snapshot to one member; one chunk is in flight.

    The snapshot stays the same during a transfer, even if a newer one is
    taken.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.offset_bytes = 0
        self.sent_boot_ms: int | None = None

    def chunk(self, limit_bytes: int) -> bytes:
        """Return the bytes at the offset."""
        return self.snapshot.data[
            self.offset_bytes : self.offset_bytes + limit_bytes
        ]


class SnapshotReceiver:
    """Bytes of the snapshot that is being received."""

    def __init__(self) -> None:
        self._key: tuple[str, int, int] | None = None
        self._data = bytearray()

    def receive(self, chunk: SnapshotChunk) -> int:
        """Add a chunk; return the number of bytes received so far."""
        key = (
            chunk.header.sender,
            chunk.snapshot_term,
            chunk.snapshot_index,
        )
        if key != self._key:
            self._key = key
            self._data.clear()
        if chunk.offset_bytes == len(self._data):
            self._data += chunk.data
        return len(self._data)

    def finish(self, chunk: SnapshotChunk) -> Snapshot:
        """Return the snapshot, which is complete, and forget it."""
        snapshot = Snapshot(
            chunk.snapshot_index,
            chunk.snapshot_term,
            chunk.configuration,
            bytes(self._data),
        )
        self._key = None
        self._data = bytearray()
        return snapshot
