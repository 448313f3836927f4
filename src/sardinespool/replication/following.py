"""Receives entries and snapshots from a leader."""

from sardinespool.clock import Instant
from sardinespool.replication.core import Core
from sardinespool.replication.messages import AppendEntries
from sardinespool.replication.messages import AppendReply
from sardinespool.replication.messages import SnapshotChunk
from sardinespool.replication.messages import SnapshotReply
from sardinespool.replication.snapshot_transfer import SnapshotReceiver


class Following:
    """Follower's side of appends and snapshots."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._receiver = SnapshotReceiver()

    def on_append(self, append: AppendEntries, now: Instant) -> None:
        """Store the entries if they follow what this log holds."""
        core = self._core
        if append.header.term < core.term:
            self._reply(append, success=False)
            return
        core.hear_leader(append.header.sender, append.header.term, now)
        log = core.log
        previous_index = append.previous_index
        # Everything up to the commit index equals the leader's log.
        if previous_index > core.commit_index:
            held_term = log.term_at(previous_index)
            if held_term is None:
                self._reply(
                    append, success=False, conflict_index=log.last_index + 1
                )
                return
            if held_term != append.previous_term:
                self._reply(
                    append,
                    success=False,
                    conflict_index=log.first_index_of_term(previous_index),
                    conflict_term=held_term,
                )
                return
        self._store(append)
        match_index = previous_index + len(append.entries)
        core.commit_to(min(append.commit_index, match_index))
        self._reply(append, success=True, match_index=match_index)

    def on_chunk(self, chunk: SnapshotChunk, now: Instant) -> None:
        """Collect the chunk and install the snapshot when complete."""
        core = self._core
        if chunk.header.term < core.term:
            self._reply_chunk(chunk, 0, done=False)
            return
        core.hear_leader(chunk.header.sender, chunk.header.term, now)
        if chunk.snapshot_index <= core.commit_index:
            self._reply_chunk(chunk, chunk.total_bytes, done=True)
            return
        received_bytes = self._receiver.receive(chunk)
        done = received_bytes == chunk.total_bytes
        if done:
            core.install(self._receiver.finish(chunk))
        self._reply_chunk(chunk, received_bytes, done=done)

    def _store(self, append: AppendEntries) -> None:
        core = self._core
        for position, entry in enumerate(append.entries):
            if entry.index <= core.commit_index:
                continue
            held_term = core.log.term_at(entry.index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                core.truncate_from(entry.index)
            core.append(append.entries[position:])
            return

    def _reply(
        self,
        append: AppendEntries,
        success: bool,
        match_index: int = 0,
        conflict_index: int = 1,
        conflict_term: int = 0,
    ) -> None:
        sender = append.header.sender
        self._core.send(
            sender,
            AppendReply(
                header=self._core.header(sender),
                success=success,
                previous_index=append.previous_index,
                match_index=match_index,
                conflict_index=conflict_index,
                conflict_term=conflict_term,
                sent_boot_ms=append.sent_boot_ms,
            ),
        )

    def _reply_chunk(
        self, chunk: SnapshotChunk, received_bytes: int, done: bool
    ) -> None:
        sender = chunk.header.sender
        self._core.send(
            sender,
            SnapshotReply(
                header=self._core.header(sender),
                snapshot_index=chunk.snapshot_index,
                next_offset_bytes=received_bytes,
                done=done,
                sent_boot_ms=chunk.sent_boot_ms,
            ),
        )
