"""What a group has promised so far."""

import hashlib

from sardinespool.replication.entries import Entry
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.messages import VoteReply
from sardinespool.replication.messages import VoteRequest
from testing.replication.memory_disk import MemoryDisk


class History:
    """Committed entries and votes; each call checks against earlier ones."""

    def __init__(self) -> None:
        self.committed: dict[int, Entry] = {}
        self.digests: dict[int, bytes] = {0: b""}
        self._votes: dict[tuple[str, int], str] = {}

    def apply(self, entry: Entry, digest: bytes) -> bytes:
        """Record an applied entry; return the digest of the state after."""
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, "a committed entry is different"
        after = hashlib.sha256(digest + repr(entry).encode()).digest()
        assert self.digests.setdefault(entry.index, after) == after
        return after

    def check_complete(self, disk: MemoryDisk) -> None:
        """Check that a new leader holds every committed entry."""
        base_index = disk.snapshot.index if disk.snapshot else 0
        for index, entry in self.committed.items():
            if index > base_index:
                assert disk.entries.get(index) == entry, "an entry is lost"

    def record_vote(self, message: PeerMessage) -> None:
        match message:
            case VoteRequest(header=header):
                vote = header.sender
            case VoteReply(header=header, granted=True):
                vote = header.recipient
            case _:
                return
        key = (header.sender, header.term)
        assert self._votes.setdefault(key, vote) == vote, "voted twice"
