"""Sender and receiver state of a chunked snapshot transfer."""

from sardinespool.replication.messages import SnapshotChunk
from sardinespool.replication.state import Snapshot


class OutgoingSnapshot:
    """Transfer of one snapshot to one member, one chunk at a time.

    The snapshot doesn't change during a transfer, even if a newer one is
    taken, as long as the log holds the entries that follow it.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.offset_bytes = 0
        self.sent_boot_ms: int | None = None

    def chunk(self, limit_bytes: int) -> bytes:
        """Return up to `limit_bytes` bytes from the current offset."""
        return self.snapshot.data[
            self.offset_bytes : self.offset_bytes + limit_bytes
        ]


class IncomingSnapshot:
    """Received part of a snapshot."""

    def __init__(self) -> None:
        self._snapshot_id: tuple[str, int, int] | None = None
        self._data = bytearray()

    def receive(self, chunk: SnapshotChunk) -> int:
        """Add a chunk and return the number of bytes received so far.

        A chunk of another snapshot discards what was received before.
        """
        snapshot_id = (
            chunk.header.sender,
            chunk.snapshot_term,
            chunk.snapshot_index,
        )
        if snapshot_id != self._snapshot_id:
            self._snapshot_id = snapshot_id
            self._data.clear()
        if chunk.offset_bytes == len(self._data):
            self._data += chunk.data
        return len(self._data)

    def finish(self, chunk: SnapshotChunk) -> Snapshot:
        """Return the complete snapshot and reset the receiver."""
        snapshot = Snapshot(
            chunk.snapshot_index,
            chunk.snapshot_term,
            chunk.configuration,
            bytes(self._data),
        )
        self._snapshot_id = None
        self._data = bytearray()
        return snapshot
