"""Lease, progress of the members and commits of one term as leader."""

from sardinespool.clock import Instant
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import encode_configuration
from sardinespool.replication.core import Core
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.membership import next_change
from sardinespool.replication.membership import with_learner
from sardinespool.replication.membership import without_dead_voter
from sardinespool.replication.messages import AppendReply
from sardinespool.replication.messages import SnapshotReply
from sardinespool.replication.messages import TimeoutNow
from sardinespool.replication.progress import Progress
from sardinespool.replication.sending import Sending
from sardinespool.replication.status import Role


class Leadership:
    """One term as leader; created when the election is won."""

    def __init__(self, core: Core, now: Instant) -> None:
        self._core = core
        self._started_boot_ms = now.boot_ms
        self._progress: dict[str, Progress] = {}
        self._sending = Sending(core, self._progress)
        self._heartbeat_due_boot_ms = now.boot_ms
        self._transfer_target = ""
        self._transfer_deadline_boot_ms = 0
        self.last_lease_deadline_boot_ms = 0
        core.role = Role.LEADER
        core.leader = core.identity
        self.first_index = core.log.last_index + 1
        self._append(((EntryKind.NO_OP, b""),), now)

    @property
    def active(self) -> bool:
        """Whether the first entry of the term has been applied."""
        return self._core.commit_index >= self.first_index

    def lease_deadline(self, now: Instant) -> int:
        """Return the end of the lease on the boot clock, or 0."""
        contact = self._majority_contact(now)
        if contact is None:
            return 0
        self.last_lease_deadline_boot_ms = (
            contact + self._core.settings.lease_ms
        )
        return self.last_lease_deadline_boot_ms

    def has_lease(self, now: Instant) -> bool:
        """Whether no other leader can exist and state is current."""
        return self.active and now.boot_ms < self.lease_deadline(now)

    def is_alive(self, now: Instant) -> bool:
        """Whether a majority answered within the election timeout.

        A leader that is not alive steps down.
        """
        contact = self._majority_contact(now)
        if contact is None:
            contact = self._started_boot_ms
        timeout_ms = self._core.settings.election_timeout_min_ms
        return now.boot_ms < contact + timeout_ms

    def propose(self, payloads: tuple[bytes, ...], now: Instant) -> int | None:
        """Append commands; return the first index, or None if refused."""
        if not self.has_lease(now) or self._transfer_target:
            return None
        first_index = self._core.log.last_index + 1
        self._append(
            tuple((EntryKind.COMMAND, payload) for payload in payloads), now
        )
        return first_index

    def tick(self, now: Instant) -> None:
        """Send heartbeats and take the next step of a membership change."""
        core = self._core
        if now.boot_ms >= self._heartbeat_due_boot_ms:
            self._heartbeat_due_boot_ms = (
                now.boot_ms + core.settings.heartbeat_interval_ms
            )
            self._sending.heartbeat(now)
        if now.boot_ms >= self._transfer_deadline_boot_ms:
            self._transfer_target = ""
        configuration = core.configuration
        if configuration is not None and self._may_change_members(now):
            change = next_change(
                configuration,
                lambda identity: self._progress[identity].match_index,
                self._responsive(now),
                self._silent(now),
            )
            if change is None and core.settings.open_membership:
                change = without_dead_voter(
                    configuration, self._responsive(now), self._dead(now)
                )
            self._propose_members(change, now)

    def admit(self, identity: str, now: Instant) -> None:
        """Consider a member that asks to join."""
        configuration = self._core.configuration
        if configuration is not None and self._may_change_members(now):
            self._propose_members(
                with_learner(
                    configuration,
                    self._core.identity,
                    identity,
                    self._core.log.last_index,
                    self._silent(now),
                ),
                now,
            )

    def on_append_reply(self, reply: AppendReply, now: Instant) -> None:
        """Advance the member and the commit index."""
        progress = self._progress.get(reply.header.sender)
        if progress is None:
            return
        progress.acknowledge(reply.sent_boot_ms)
        self._sending.on_append_reply(progress, reply)
        self._after_reply(reply.header.sender, now)

    def on_snapshot_reply(self, reply: SnapshotReply, now: Instant) -> None:
        """Send the next chunk or continue with entries."""
        progress = self._progress.get(reply.header.sender)
        if progress is None:
            return
        progress.acknowledge(reply.sent_boot_ms)
        self._sending.on_snapshot_reply(progress, reply)
        self._after_reply(reply.header.sender, now)

    def transfer(self, now: Instant) -> None:
        """Choose the successor; proposals are refused until the deadline."""
        configuration = self._core.configuration
        if configuration is None or not self.active:
            return
        candidates = [
            voter
            for voter in configuration.voters
            if voter in self._progress and voter in self._responsive(now)
        ]
        if not candidates:
            return
        self._transfer_target = max(
            candidates, key=lambda voter: self._progress[voter].match_index
        )
        self._transfer_deadline_boot_ms = (
            now.boot_ms + self._core.settings.election_timeout_min_ms
        )
        self._finish_transfer(now)

    def _after_reply(self, sender: str, now: Instant) -> None:
        self._advance_commit()
        self._sending.send(sender, now)
        self._finish_transfer(now)

    def _finish_transfer(self, now: Instant) -> None:
        core = self._core
        target = self._transfer_target
        if (
            not target
            or self._progress[target].match_index < core.log.last_index
        ):
            return
        core.send(target, TimeoutNow(header=core.header(target)))
        # The target's election ignores leases, also if this message is
        # delayed, so this term must not be led again.
        core.become_follower(core.term, "", now)

    def _append(
        self, payloads: tuple[tuple[EntryKind, bytes], ...], now: Instant
    ) -> None:
        core = self._core
        first = core.log.last_index + 1
        core.append(
            tuple(
                Entry(first + offset, core.term, kind, payload)
                for offset, (kind, payload) in enumerate(payloads)
            )
        )
        self._track_members()
        self._advance_commit()
        for identity in self._progress:
            self._sending.send(identity, now)

    def _track_members(self) -> None:
        core = self._core
        assert core.configuration is not None
        members = set(core.configuration.members) - {core.identity}
        for identity in self._progress.keys() - members:
            del self._progress[identity]
        for identity in sorted(members - self._progress.keys()):
            self._progress[identity] = Progress(core.log.last_index + 1)

    def _propose_members(
        self, configuration: Configuration | None, now: Instant
    ) -> None:
        if configuration is not None:
            payload = encode_configuration(configuration)
            self._append(((EntryKind.CONFIGURATION, payload),), now)

    def _may_change_members(self, now: Instant) -> bool:
        core = self._core
        return (
            self.has_lease(now)
            and not self._transfer_target
            and core.log.configuration_index <= core.commit_index
        )

    def _advance_commit(self) -> None:
        core = self._core
        configuration = core.configuration
        assert configuration is not None
        matched = sorted(
            (
                core.log.last_index
                if voter == core.identity
                else self._progress[voter].match_index
                for voter in configuration.voters
            ),
            reverse=True,
        )
        index = matched[configuration.majority - 1]
        # An entry of an earlier term is not safe on a majority alone.
        if index > core.commit_index and core.log.term_at(index) == core.term:
            core.commit_to(index)

    def _majority_contact(self, now: Instant) -> int | None:
        """Return the send time of the last round a majority acknowledged."""
        core = self._core
        assert core.configuration is not None
        times = [
            now.boot_ms
            if voter == core.identity
            else self._progress[voter].acknowledged_boot_ms
            for voter in core.configuration.voters
        ]
        known = sorted(time for time in times if time is not None)
        majority = core.configuration.majority
        return known[-majority] if len(known) >= majority else None

    def _responsive(self, now: Instant) -> set[str]:
        timeout_ms = self._core.settings.election_timeout_max_ms
        return {self._core.identity}.union(
            identity
            for identity, progress in self._progress.items()
            if progress.acknowledged_boot_ms is not None
            and now.boot_ms < progress.acknowledged_boot_ms + timeout_ms
        )

    def _silent(self, now: Instant) -> set[str]:
        timeout_ms = self._core.settings.election_timeout_max_ms
        if now.boot_ms < self._started_boot_ms + timeout_ms:
            return set()
        return self._progress.keys() - self._responsive(now)

    def _dead(self, now: Instant) -> set[str]:
        """Return the members that are taken for dead in an open group."""
        limit_ms = self._core.settings.dead_voter_ms
        return {
            identity
            for identity, progress in self._progress.items()
            if now.boot_ms
            >= limit_ms
            + max(self._started_boot_ms, progress.acknowledged_boot_ms or 0)
        }
