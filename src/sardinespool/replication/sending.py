"""Sends entries and snapshots to the other members."""

from sardinespool.clock import Instant
from sardinespool.replication.core import Core
from sardinespool.replication.entries import Entry
from sardinespool.replication.messages import AppendEntries
from sardinespool.replication.messages import AppendReply
from sardinespool.replication.messages import SnapshotChunk
from sardinespool.replication.messages import SnapshotReply
from sardinespool.replication.progress import Progress
from sardinespool.replication.snapshot_transfer import SnapshotSender

CHUNK_RETRY_HEARTBEATS = 4
"""Heartbeat intervals after which an unanswered chunk is sent again."""


class Sending:
    """Leader's side of appends; `progress` is shared with the leadership."""

    def __init__(self, core: Core, progress: dict[str, Progress]) -> None:
        self._core = core
        self._progress = progress

    def heartbeat(self, now: Instant) -> None:
        """Send one message to every member."""
        for identity, progress in self._progress.items():
            self._heartbeat_one(identity, progress, now)

    def send(self, identity: str, now: Instant) -> None:
        """Send what the member lacks, as far as its window allows."""
        progress = self._progress[identity]
        settings = self._core.settings
        if progress.transfer is not None or self._needs_snapshot(progress):
            self._send_chunk(identity, progress, now)
            return
        while progress.next_index <= self._core.log.last_index:
            if progress.probing and progress.probe_in_flight:
                return
            if len(progress.in_flight) >= settings.appends_in_flight:
                return
            last_index = self._append(identity, progress, now)
            if progress.probing:
                progress.probe_in_flight = True
            else:
                progress.next_index = last_index + 1
                progress.in_flight.append(last_index)

    def on_append_reply(self, progress: Progress, reply: AppendReply) -> None:
        """Move the member's position."""
        if reply.success:
            progress.advance(reply.match_index)
        elif reply.previous_index > progress.match_index:
            next_index = reply.conflict_index
            if reply.conflict_term:
                last = self._core.log.last_index_of_term(reply.conflict_term)
                if last is not None:
                    next_index = last + 1
            progress.back_off(min(next_index, reply.previous_index))

    def on_snapshot_reply(
        self, progress: Progress, reply: SnapshotReply
    ) -> None:
        """Move the position in the snapshot or end the transfer."""
        if reply.done:
            progress.advance(reply.snapshot_index)
        transfer = progress.transfer
        if transfer is None or transfer.snapshot.index != reply.snapshot_index:
            return
        if reply.done:
            progress.transfer = None
            progress.back_off(reply.snapshot_index + 1)
        elif reply.next_offset_bytes != transfer.offset_bytes:
            transfer.offset_bytes = reply.next_offset_bytes
            transfer.sent_boot_ms = None

    def _heartbeat_one(
        self, identity: str, progress: Progress, now: Instant
    ) -> None:
        if progress.transfer is not None or self._needs_snapshot(progress):
            self._send_chunk(identity, progress, now)
            self._send_append(identity, 0, 0, (), 0, now)
            return
        if progress.probing:
            self._append(identity, progress, now)
            progress.probe_in_flight = True
            return
        previous_index = progress.next_index - 1
        previous_term = self._core.log.term_at(previous_index)
        assert previous_term is not None
        self._send_append(
            identity,
            previous_index,
            previous_term,
            (),
            self._core.commit_index,
            now,
        )

    def _needs_snapshot(self, progress: Progress) -> bool:
        return progress.next_index - 1 < self._core.log.base_index

    def _append(self, identity: str, progress: Progress, now: Instant) -> int:
        core = self._core
        previous_index = progress.next_index - 1
        previous_term = core.log.term_at(previous_index)
        assert previous_term is not None
        entries = core.log.batch(
            progress.next_index, core.settings.append_limit_bytes
        )
        self._send_append(
            identity,
            previous_index,
            previous_term,
            entries,
            core.commit_index,
            now,
        )
        return previous_index + len(entries)

    def _send_append(
        self,
        identity: str,
        previous_index: int,
        previous_term: int,
        entries: tuple[Entry, ...],
        commit_index: int,
        now: Instant,
    ) -> None:
        self._core.send(
            identity,
            AppendEntries(
                header=self._core.header(identity),
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
        """Send the current chunk unless it is still in flight."""
        core = self._core
        if progress.transfer is None:
            assert core.log.snapshot is not None
            progress.transfer = SnapshotSender(core.log.snapshot)
            progress.in_flight.clear()
        transfer = progress.transfer
        retry_ms = CHUNK_RETRY_HEARTBEATS * core.settings.heartbeat_interval_ms
        if (
            transfer.sent_boot_ms is not None
            and now.boot_ms < transfer.sent_boot_ms + retry_ms
        ):
            return
        transfer.sent_boot_ms = now.boot_ms
        snapshot = transfer.snapshot
        core.send(
            identity,
            SnapshotChunk(
                header=core.header(identity),
                snapshot_index=snapshot.index,
                snapshot_term=snapshot.term,
                configuration=snapshot.configuration,
                total_bytes=len(snapshot.data),
                offset_bytes=transfer.offset_bytes,
                data=transfer.chunk(core.settings.append_limit_bytes),
                sent_boot_ms=now.boot_ms,
            ),
        )
