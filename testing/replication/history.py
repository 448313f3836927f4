"""Committed entries and votes of a simulated group."""

import hashlib

from sardinespool.replication.entries import Entry
from sardinespool.replication.messages import PeerMessage
from sardinespool.replication.messages import VoteReply
from sardinespool.replication.messages import VoteRequest
from testing.replication.memory_disk import MemoryDisk


class HistoryChecker:
    """Records commits and votes and checks each against earlier ones."""

    def __init__(self) -> None:
        self.committed: dict[int, Entry] = {}
        self.digests: dict[int, bytes] = {0: b""}
        self._votes: dict[tuple[str, int], str] = {}

    def apply(self, entry: Entry, digest: bytes) -> bytes:
        """Record an applied entry and return the digest of the new state."""
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, "conflicting entries committed at one index"
        new_digest = hashlib.sha256(digest + repr(entry).encode()).digest()
        assert self.digests.setdefault(entry.index, new_digest) == new_digest
        return new_digest

    def check_leader_completeness(self, disk: MemoryDisk) -> None:
        """Check that a new leader holds every committed entry."""
        base_index = disk.snapshot.index if disk.snapshot else 0
        for index, entry in self.committed.items():
            if index > base_index:
                assert disk.entries.get(index) == entry, (
                    "a new leader lacks an entry"
                )

    def record_vote(self, message: PeerMessage) -> None:
        match message:
            case VoteRequest(header=header):
                vote = header.sender
            case VoteReply(header=header, granted=True):
                vote = header.recipient
            case _:
                return
        key = (header.sender, header.term)
        assert self._votes.setdefault(key, vote) == vote, (
            "voted twice in a term"
        )
