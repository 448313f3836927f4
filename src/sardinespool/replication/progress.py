"""Replication progress of one member, as tracked by the leader."""

import collections
import dataclasses

from sardinespool.replication.snapshot_transfer import OutgoingSnapshot


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of one member.

    Attributes
    ----------
    next_index : int
        Index of the next entry to send.
    tracked_boot_ms : int
        Time, on the leader's boot clock, since which the leader has tracked
        the member: its election, or the joining of the member.
    match_index : int
        Highest index up to which the member's log is known to match.
    probing : bool
        Whether the leader is still searching for the last matching index.
        One append at a time is then in flight; otherwise appends are
        pipelined.
    probe_in_flight : bool
        Whether the append of a probe awaits its reply.
    in_flight : collections.deque of (int, int)
        Last index and size in bytes of each pipelined append that awaits its
        reply.
    in_flight_bytes : int
        Size of these appends.
    acknowledged_boot_ms : int or None
        Latest send time, on the leader's clock, that the member has
        acknowledged in this term.
    outgoing_snapshot : OutgoingSnapshot or None
        Snapshot transfer to the member that is in progress.
    """

    next_index: int
    tracked_boot_ms: int
    match_index: int = 0
    probing: bool = True
    probe_in_flight: bool = False
    in_flight: collections.deque[tuple[int, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    in_flight_bytes: int = 0
    acknowledged_boot_ms: int | None = None
    outgoing_snapshot: OutgoingSnapshot | None = None

    def acknowledge(self, sent_boot_ms: int) -> None:
        """Record that a message sent at `sent_boot_ms` was received."""
        if (
            self.acknowledged_boot_ms is None
            or sent_boot_ms > self.acknowledged_boot_ms
        ):
            self.acknowledged_boot_ms = sent_boot_ms

    def advance(self, match_index: int) -> None:
        """Record a successful append or snapshot."""
        self.match_index = max(self.match_index, match_index)
        while self.in_flight and self.in_flight[0][0] <= self.match_index:
            self.in_flight_bytes -= self.in_flight.popleft()[1]
        if self.probing:
            self.probing = False
            self.probe_in_flight = False
            self.clear_in_flight()
            self.next_index = self.match_index + 1
        else:
            self.next_index = max(self.next_index, self.match_index + 1)

    def resume_probing(self, next_index: int) -> None:
        """Probe from `next_index` after a rejected append."""
        self.next_index = max(next_index, self.match_index + 1)
        self.probing = True
        self.probe_in_flight = False
        self.clear_in_flight()

    def add_in_flight(self, last_index: int, size_bytes: int) -> None:
        """Record a pipelined append that was sent."""
        self.next_index = last_index + 1
        self.in_flight.append((last_index, size_bytes))
        self.in_flight_bytes += size_bytes

    def clear_in_flight(self) -> None:
        """Forget the pipelined appends that await their replies."""
        self.in_flight.clear()
        self.in_flight_bytes = 0
