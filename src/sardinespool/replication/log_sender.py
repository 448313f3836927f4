"""Replication of entries and snapshots to the other members."""

from sardinespool.clock import Instant
from sardinespool.replication.entries import Entry
from sardinespool.replication.messages import AppendEntries
from sardinespool.replication.messages import AppendReply
from sardinespool.replication.messages import SnapshotChunk
from sardinespool.replication.messages import SnapshotReply
from sardinespool.replication.progress import Progress
from sardinespool.replication.raft_state import RaftState
from sardinespool.replication.snapshot_transfer import OutgoingSnapshot

CHUNK_RETRY_HEARTBEATS = 4
"""Heartbeat intervals after which an unacknowledged chunk is resent."""


class LogSender:
    """Sends the leader's log; `progress` is shared with `Leadership`."""

    def __init__(self, raft: RaftState, progress: dict[str, Progress]) -> None:
        self._raft = raft
        self._progress = progress

    def send_heartbeats(self, now: Instant) -> None:
        """Send a heartbeat to every other member."""
        for identity, progress in self._progress.items():
            self._send_heartbeat(identity, progress, now)

    def send_missing(self, identity: str, now: Instant) -> None:
        """Send missing entries, up to the limit of appends in flight.

        If entries that the member lacks have been compacted, a snapshot is
        sent instead.
        """
        progress = self._progress[identity]
        settings = self._raft.settings
        if progress.outgoing_snapshot is not None or self._needs_snapshot(
            progress
        ):
            self._send_chunk(identity, progress, now)
            return
        while progress.next_index <= self._raft.log.last_index:
            if progress.probing and progress.probe_in_flight:
                return
            if len(progress.in_flight) >= settings.appends_in_flight:
                return
            entries = self._raft.log.entries_from(
                progress.next_index, settings.append_limit_bytes
            )
            size_bytes = sum(entry.size_bytes for entry in entries)
            if (
                progress.in_flight
                and progress.in_flight_bytes + size_bytes
                > settings.in_flight_limit_bytes
            ):
                return
            self._send_entries(identity, progress, entries, now)
            if progress.probing:
                progress.probe_in_flight = True
            else:
                progress.add_in_flight(entries[-1].index, size_bytes)

    def abort_transfers(self, before_index: int) -> None:
        """Abort the transfers of snapshots that end before an index.

        The next message to the member begins with the latest snapshot.
        """
        for progress in self._progress.values():
            outgoing = progress.outgoing_snapshot
            if outgoing is not None and outgoing.snapshot.index < before_index:
                progress.outgoing_snapshot = None
                progress.resume_probing(outgoing.snapshot.index + 1)

    def on_append_reply(self, progress: Progress, reply: AppendReply) -> None:
        """Update the member's progress after an append reply."""
        if reply.success:
            progress.advance(reply.match_index)
        elif reply.previous_index > progress.match_index:
            next_index = reply.conflict_index
            if reply.conflict_term:
                conflict_last_index = self._raft.log.last_index_of_term(
                    reply.conflict_term
                )
                if conflict_last_index is not None:
                    next_index = conflict_last_index + 1
            progress.resume_probing(min(next_index, reply.previous_index))

    def on_snapshot_reply(
        self, progress: Progress, reply: SnapshotReply
    ) -> None:
        """Advance or complete the snapshot transfer."""
        if reply.done:
            progress.advance(reply.snapshot_index)
        outgoing = progress.outgoing_snapshot
        if outgoing is None or outgoing.snapshot.index != reply.snapshot_index:
            return
        if reply.done:
            progress.outgoing_snapshot = None
            progress.resume_probing(reply.snapshot_index + 1)
        elif reply.next_offset_bytes != outgoing.offset_bytes:
            outgoing.offset_bytes = reply.next_offset_bytes
            outgoing.sent_boot_ms = None

    def _send_heartbeat(
        self, identity: str, progress: Progress, now: Instant
    ) -> None:
        if progress.outgoing_snapshot is not None or self._needs_snapshot(
            progress
        ):
            self._send_chunk(identity, progress, now)
            self._send_append(identity, 0, 0, (), 0, now)
            return
        # Without entries, also as a probe: those that are in flight would fill
        # a slow link once more with each heartbeat.
        progress.probe_in_flight = progress.probing
        previous_index = progress.next_index - 1
        previous_term = self._raft.log.term_at(previous_index)
        assert previous_term is not None
        self._send_append(
            identity,
            previous_index,
            previous_term,
            (),
            self._raft.commit_index,
            now,
        )

    def _needs_snapshot(self, progress: Progress) -> bool:
        return progress.next_index - 1 < self._raft.log.base_index

    def _send_entries(
        self,
        identity: str,
        progress: Progress,
        entries: tuple[Entry, ...],
        now: Instant,
    ) -> None:
        raft = self._raft
        previous_index = progress.next_index - 1
        previous_term = raft.log.term_at(previous_index)
        assert previous_term is not None
        self._send_append(
            identity,
            previous_index,
            previous_term,
            entries,
            raft.commit_index,
            now,
        )

    def _send_append(
        self,
        identity: str,
        previous_index: int,
        previous_term: int,
        entries: tuple[Entry, ...],
        commit_index: int,
        now: Instant,
    ) -> None:
        self._raft.send(
            identity,
            AppendEntries(
                header=self._raft.header(identity),
                previous_index=previous_index,
                previous_term=previous_term,
                entries=entries,
                commit_index=commit_index,
                sent_boot_ms=now.boot_ms,
            ),
        )

    def _send_chunk(
        self, identity: str, progress: Progress, now: Instant
    ) -> None:
        """Send the current chunk unless it awaits its acknowledgement."""
        raft = self._raft
        if progress.outgoing_snapshot is None:
            assert raft.log.snapshot is not None
            progress.outgoing_snapshot = OutgoingSnapshot(raft.log.snapshot)
            progress.clear_in_flight()
        outgoing = progress.outgoing_snapshot
        retry_ms = CHUNK_RETRY_HEARTBEATS * raft.settings.heartbeat_interval_ms
        if (
            outgoing.sent_boot_ms is not None
            and now.boot_ms < outgoing.sent_boot_ms + retry_ms
        ):
            return
        outgoing.sent_boot_ms = now.boot_ms
        snapshot = outgoing.snapshot
        raft.send(
            identity,
            SnapshotChunk(
                header=raft.header(identity),
                snapshot_index=snapshot.index,
                snapshot_term=snapshot.term,
                configuration=snapshot.configuration,
                total_bytes=len(snapshot.data),
                offset_bytes=outgoing.offset_bytes,
                data=outgoing.chunk(raft.settings.append_limit_bytes),
                sent_boot_ms=now.boot_ms,
            ),
        )
