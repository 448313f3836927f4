"""What a leader knows about one other member."""

import collections
import dataclasses

from sardinespool.replication.snapshot_transfer import SnapshotSender


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication state of one member.

    Attributes
    ----------
    match_index : int
        The member's log is known to equal the leader's up to here.
    next_index : int
        First entry of the next append.
    probing : bool
        Whether the member's position is unknown; then one append at a time
        is in flight. Otherwise appends are sent without waiting.
    probe_in_flight : bool
        Whether that append waits for its answer.
    in_flight : collections.deque of int
        Last index of each append that waits for its answer.
    acknowledged_boot_ms : int or None
        Latest send time, on the leader's clock, that the member has
        acknowledged in this term.
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    probe_in_flight: bool = False
    in_flight: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    acknowledged_boot_ms: int | None = None
    transfer: SnapshotSender | None = None

    def acknowledge(self, sent_boot_ms: int) -> None:
        """Record that a message sent at that time was received."""
        if (
            self.acknowledged_boot_ms is None
            or sent_boot_ms > self.acknowledged_boot_ms
        ):
            self.acknowledged_boot_ms = sent_boot_ms

    def advance(self, match_index: int) -> None:
        """Record a successful append or snapshot."""
        self.match_index = max(self.match_index, match_index)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        if self.probing:
            self.probing = False
            self.probe_in_flight = False
            self.in_flight.clear()
            self.next_index = self.match_index + 1
        else:
            self.next_index = max(self.next_index, self.match_index + 1)

    def back_off(self, next_index: int) -> None:
        """Probe from an earlier position after a refused append."""
        self.next_index = max(next_index, self.match_index + 1)
        self.probing = True
        self.probe_in_flight = False
        self.in_flight.clear()
