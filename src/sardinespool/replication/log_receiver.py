"""Receipt of log entries and snapshots from a leader."""

from sardinespool.clock import Instant
from sardinespool.replication.messages import AppendEntries
from sardinespool.replication.messages import AppendReply
from sardinespool.replication.messages import SnapshotChunk
from sardinespool.replication.messages import SnapshotReply
from sardinespool.replication.raft_state import RaftState
from sardinespool.replication.snapshot_transfer import IncomingSnapshot


class LogReceiver:
    """Handles the append and snapshot messages of a leader."""

    def __init__(self, raft: RaftState) -> None:
        self._raft = raft
        self._incoming_snapshot = IncomingSnapshot()

    def on_append(self, append: AppendEntries, now: Instant) -> None:
        """Append the entries if the previous entry matches the local log."""
        raft = self._raft
        if append.header.term < raft.term:
            self._reply_to_append(append, success=False)
            return
        raft.record_leader_contact(
            append.header.sender, append.header.term, now
        )
        log = raft.log
        previous_index = append.previous_index
        # Committed entries match the leader's log, so only a previous index
        # above the commit index needs a check.
        if previous_index > raft.commit_index:
            local_term = log.term_at(previous_index)
            if local_term is None:
                self._reply_to_append(
                    append, success=False, conflict_index=log.last_index + 1
                )
                return
            if local_term != append.previous_term:
                self._reply_to_append(
                    append,
                    success=False,
                    conflict_index=log.first_index_of_term(previous_index),
                    conflict_term=local_term,
                )
                return
        self._store_entries(append)
        match_index = previous_index + len(append.entries)
        raft.advance_commit_index(min(append.commit_index, match_index))
        self._reply_to_append(append, success=True, match_index=match_index)

    def on_chunk(self, chunk: SnapshotChunk, now: Instant) -> None:
        """Store the chunk; install the snapshot once it is complete."""
        raft = self._raft
        if chunk.header.term < raft.term:
            self._reply_to_chunk(chunk, 0, done=False)
            return
        raft.record_leader_contact(chunk.header.sender, chunk.header.term, now)
        if chunk.snapshot_index <= raft.commit_index:
            self._reply_to_chunk(chunk, chunk.total_bytes, done=True)
            return
        received_bytes = self._incoming_snapshot.receive(chunk)
        done = received_bytes == chunk.total_bytes
        if done:
            raft.install_snapshot(self._incoming_snapshot.finish(chunk))
        self._reply_to_chunk(chunk, received_bytes, done=done)

    def _store_entries(self, append: AppendEntries) -> None:
        raft = self._raft
        for position, entry in enumerate(append.entries):
            if entry.index <= raft.commit_index:
                continue
            local_term = raft.log.term_at(entry.index)
            if local_term == entry.term:
                continue
            if local_term is not None:
                raft.truncate_from(entry.index)
            raft.append(append.entries[position:])
            return

    def _reply_to_append(
        self,
        append: AppendEntries,
        success: bool,
        match_index: int = 0,
        conflict_index: int = 1,
        conflict_term: int = 0,
    ) -> None:
        sender = append.header.sender
        self._raft.send(
            sender,
            AppendReply(
                header=self._raft.header(sender),
                success=success,
                previous_index=append.previous_index,
                match_index=match_index,
                conflict_index=conflict_index,
                conflict_term=conflict_term,
                sent_boot_ms=append.sent_boot_ms,
            ),
        )

    def _reply_to_chunk(
        self, chunk: SnapshotChunk, received_bytes: int, done: bool
    ) -> None:
        sender = chunk.header.sender
        self._raft.send(
            sender,
            SnapshotReply(
                header=self._raft.header(sender),
                snapshot_index=chunk.snapshot_index,
                next_offset_bytes=received_bytes,
                done=done,
                sent_boot_ms=chunk.sent_boot_ms,
            ),
        )
