"""Leader state: lease, replication progress and commits of one term."""

from sardinespool.clock import Instant
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import encode_configuration
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import ENTRY_OVERHEAD_BYTES
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.log_sender import LogSender
from sardinespool.replication.membership import add_learner
from sardinespool.replication.membership import next_membership_change
from sardinespool.replication.membership import remove_dead_learner
from sardinespool.replication.membership import remove_dead_voter
from sardinespool.replication.messages import AppendReply
from sardinespool.replication.messages import SnapshotReply
from sardinespool.replication.messages import TimeoutNow
from sardinespool.replication.progress import Progress
from sardinespool.replication.raft_state import RaftState
from sardinespool.replication.status import Role


class Leadership:
    """State of a leader during one term; created on election."""

    def __init__(self, raft: RaftState, now: Instant) -> None:
        self._raft = raft
        self._elected_boot_ms = now.boot_ms
        self._progress: dict[str, Progress] = {}
        self._log_sender = LogSender(raft, self._progress)
        self._heartbeat_due_boot_ms = now.boot_ms
        self._transfer_target = ""
        self._transfer_deadline_boot_ms = 0
        self.last_lease_deadline_boot_ms = 0
        raft.role = Role.LEADER
        raft.leader = raft.identity
        self.first_index = raft.log.last_index + 1
        self._append(((EntryKind.NO_OP, b""),), now)

    @property
    def has_committed_in_term(self) -> bool:
        """Whether the first entry of the term has been applied."""
        return self._raft.commit_index >= self.first_index

    def lease_deadline(self, now: Instant) -> int:
        """Return when the lease ends on the boot clock, or 0 without one."""
        majority_boot_ms = self._majority_acknowledged_boot_ms(now)
        if majority_boot_ms is None:
            return 0
        self.last_lease_deadline_boot_ms = (
            majority_boot_ms + self._raft.settings.lease_ms
        )
        return self.last_lease_deadline_boot_ms

    def has_lease(self, now: Instant) -> bool:
        """Return whether the lease is valid and the state is up to date.

        While it is, no other replica can be elected.
        """
        return (
            self.has_committed_in_term
            and now.boot_ms < self.lease_deadline(now)
        )

    def has_quorum_contact(self, now: Instant) -> bool:
        """Return whether a majority replied within the election timeout.

        Otherwise the leader steps down.
        """
        majority_boot_ms = self._majority_acknowledged_boot_ms(now)
        if majority_boot_ms is None:
            majority_boot_ms = self._elected_boot_ms
        timeout_ms = self._raft.settings.election_timeout_min_ms
        return now.boot_ms < majority_boot_ms + timeout_ms

    def has_room(self, payloads: tuple[bytes, ...]) -> bool:
        """Return whether the log has room for further commands.

        One command of any size is accepted while the uncommitted ones take
        less than half of the limit; it would wait forever for all of it.
        """
        raft = self._raft
        uncommitted_bytes = raft.log.size_after(raft.commit_index)
        added_bytes = sum(
            len(payload) + ENTRY_OVERHEAD_BYTES for payload in payloads
        )
        limit_bytes = raft.settings.uncommitted_limit_bytes
        return uncommitted_bytes + added_bytes <= limit_bytes or (
            len(payloads) == 1 and 2 * uncommitted_bytes < limit_bytes
        )

    def propose(self, payloads: tuple[bytes, ...], now: Instant) -> int | None:
        """Append commands; return the first index, or None if rejected."""
        if not self.has_lease(now) or self._transfer_target:
            return None
        first_index = self._raft.log.last_index + 1
        self._append(
            tuple((EntryKind.COMMAND, payload) for payload in payloads), now
        )
        return first_index

    def tick(self, now: Instant) -> None:
        """Send due heartbeats and advance a membership change."""
        raft = self._raft
        if now.boot_ms >= self._heartbeat_due_boot_ms:
            self._heartbeat_due_boot_ms = (
                now.boot_ms + raft.settings.heartbeat_interval_ms
            )
            self._log_sender.send_heartbeats(now)
        if now.boot_ms >= self._transfer_deadline_boot_ms:
            self._transfer_target = ""
        configuration = raft.configuration
        if configuration is not None and self._can_change_membership(now):
            change = next_membership_change(
                configuration,
                lambda identity: self._progress[identity].match_index,
                self._responsive_members(now),
                self._members_since_joining(configuration),
            )
            if change is None and raft.settings.open_membership:
                dead = self._dead_members(now)
                change = remove_dead_learner(
                    configuration, dead
                ) or remove_dead_voter(
                    configuration, self._responsive_members(now), dead
                )
            self._propose_configuration(change, now)

    def consider_join_request(self, identity: str, now: Instant) -> None:
        """Propose the change that admits the member, if allowed now."""
        configuration = self._raft.configuration
        if configuration is not None and self._can_change_membership(now):
            self._propose_configuration(
                add_learner(
                    configuration,
                    self._raft.identity,
                    identity,
                    self._raft.log.last_index,
                ),
                now,
            )

    def on_append_reply(self, reply: AppendReply, now: Instant) -> None:
        """Update the member's progress and the commit index."""
        progress = self._progress.get(reply.header.sender)
        if progress is None:
            return
        progress.acknowledge(reply.sent_boot_ms)
        self._log_sender.on_append_reply(progress, reply)
        self._continue_after_reply(reply.header.sender, now)

    def on_snapshot_reply(self, reply: SnapshotReply, now: Instant) -> None:
        """Send the next snapshot chunk or continue with entries."""
        progress = self._progress.get(reply.header.sender)
        if progress is None:
            return
        progress.acknowledge(reply.sent_boot_ms)
        self._log_sender.on_snapshot_reply(progress, reply)
        self._continue_after_reply(reply.header.sender, now)

    def on_snapshot_taken(self, previous_index: int) -> None:
        """Abort the transfers that another snapshot makes useless.

        The entries after a snapshot below the log are gone, so its transfer
        would only be followed by that of a later one. Those of the previous
        snapshot continue, so two snapshots are in memory at most.
        """
        self._log_sender.abort_transfers(
            max(previous_index, self._raft.log.base_index)
        )

    def start_transfer(self, now: Instant) -> None:
        """Start a leadership transfer to the most up-to-date voter.

        Proposals are rejected until it completes or times out.
        """
        configuration = self._raft.configuration
        if configuration is None or not self.has_committed_in_term:
            return
        candidates = [
            voter
            for voter in configuration.voters
            if voter in self._progress
            and voter in self._responsive_members(now)
        ]
        if not candidates:
            return
        self._transfer_target = max(
            candidates, key=lambda voter: self._progress[voter].match_index
        )
        self._transfer_deadline_boot_ms = (
            now.boot_ms + self._raft.settings.election_timeout_min_ms
        )
        self._complete_transfer(now)

    def _continue_after_reply(self, sender: str, now: Instant) -> None:
        self._advance_commit_index()
        self._log_sender.send_missing(sender, now)
        self._complete_transfer(now)

    def _complete_transfer(self, now: Instant) -> None:
        raft = self._raft
        target = self._transfer_target
        if (
            not target
            or self._progress[target].match_index < raft.log.last_index
        ):
            return
        raft.send(target, TimeoutNow(header=raft.header(target)))
        # Voters ignore the lease in the target's election, even if this
        # message is delayed, so this leader must not resume the term.
        raft.become_follower(raft.term, "", now)

    def _append(
        self, payloads: tuple[tuple[EntryKind, bytes], ...], now: Instant
    ) -> None:
        raft = self._raft
        first = raft.log.last_index + 1
        raft.append(
            tuple(
                Entry(first + offset, raft.term, kind, payload)
                for offset, (kind, payload) in enumerate(payloads)
            )
        )
        self._update_tracked_members(now)
        self._advance_commit_index()
        for identity in self._progress:
            self._log_sender.send_missing(identity, now)

    def _update_tracked_members(self, now: Instant) -> None:
        raft = self._raft
        assert raft.configuration is not None
        members = set(raft.configuration.members) - {raft.identity}
        for identity in self._progress.keys() - members:
            del self._progress[identity]
        for identity in sorted(members - self._progress.keys()):
            self._progress[identity] = Progress(
                raft.log.last_index + 1, tracked_boot_ms=now.boot_ms
            )

    def _propose_configuration(
        self, configuration: Configuration | None, now: Instant
    ) -> None:
        if configuration is not None:
            payload = encode_configuration(configuration)
            self._append(((EntryKind.CONFIGURATION, payload),), now)

    def _can_change_membership(self, now: Instant) -> bool:
        raft = self._raft
        return (
            self.has_lease(now)
            and not self._transfer_target
            and raft.log.configuration_index <= raft.commit_index
        )

    def _advance_commit_index(self) -> None:
        raft = self._raft
        configuration = raft.configuration
        assert configuration is not None
        match_indexes = sorted(
            (
                raft.log.last_index
                if voter == raft.identity
                else self._progress[voter].match_index
                for voter in configuration.voters
            ),
            reverse=True,
        )
        index = match_indexes[configuration.majority - 1]
        # A majority doesn't commit an entry of an earlier term: a later
        # leader could still replace it.
        if index > raft.commit_index and raft.log.term_at(index) == raft.term:
            raft.advance_commit_index(index)

    def _majority_acknowledged_boot_ms(self, now: Instant) -> int | None:
        """Return the latest send time that a majority has acknowledged."""
        raft = self._raft
        assert raft.configuration is not None
        acknowledged_times = [
            now.boot_ms
            if voter == raft.identity
            else self._progress[voter].acknowledged_boot_ms
            for voter in raft.configuration.voters
        ]
        known_times = sorted(
            time for time in acknowledged_times if time is not None
        )
        majority = raft.configuration.majority
        return known_times[-majority] if len(known_times) >= majority else None

    def _responsive_members(self, now: Instant) -> set[str]:
        timeout_ms = self._raft.settings.election_timeout_max_ms
        return {self._raft.identity}.union(
            identity
            for identity, progress in self._progress.items()
            if progress.acknowledged_boot_ms is not None
            and now.boot_ms < progress.acknowledged_boot_ms + timeout_ms
        )

    def _members_since_joining(self, configuration: Configuration) -> set[str]:
        """Return the members that were up after the learner was added."""
        since_boot_ms = max(
            (
                self._progress[learner.identity].tracked_boot_ms
                for learner in configuration.learners
            ),
            default=0,
        )
        return {self._raft.identity}.union(
            identity
            for identity, progress in self._progress.items()
            if (progress.acknowledged_boot_ms or 0) > since_boot_ms
        )

    def _dead_members(self, now: Instant) -> set[str]:
        """Return the members that are considered dead.

        They have not acknowledged the leader for `dead_voter_ms`, counted
        from its election or their joining at the earliest.
        """
        limit_ms = self._raft.settings.dead_voter_ms
        return {
            identity
            for identity, progress in self._progress.items()
            if now.boot_ms
            >= limit_ms
            + max(progress.tracked_boot_ms, progress.acknowledged_boot_ms or 0)
        }
