"""What an entry knows about one incarnation of one endpoint."""

import math

from sardinespool.clock import Instant
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import SlotGrant
from sardinespool.routing.latency import DecayedMean
from sardinespool.routing.latency import RecentTail

SLOW_START_MS = 5_000
_SLOW_START_FIRST_SHARE = 0.1
REFUSAL_PAUSE_MS = 1_000
"""Pause after a refusal, or after a connection could not be opened.

Four synchronisations pass in it, so that an endpoint that is leaving is
marked in the table before the entry would try it again.
"""


class EndpointState:
    """Slots, requests in progress and recent behaviour of an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        Announcement.
    entry_count : int
        Number of entries that share the endpoint.
    slow_start_boot_ms : int or None
        Start of the slow start; None for an endpoint that was there before
        this entry.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        entry_count: int,
        slow_start_boot_ms: int | None,
    ) -> None:
        self.grant: SlotGrant | None = None
        self.announce(endpoint, entry_count)
        self.outstanding = 0
        self.peak_outstanding = 0
        # Shown in the dump; the choice of the endpoint does not use it.
        self.latency = DecayedMean()
        self.tail = RecentTail()
        self.consecutive_failures = 0
        self.set_aside_until_boot_ms = 0
        self.times_set_aside = 0
        self.last_set_aside_boot_ms = 0
        self.refused_until_boot_ms = 0
        self.refused_until_next_view = False
        self.slow_start_boot_ms = slow_start_boot_ms

    def announce(self, endpoint: Endpoint, entry_count: int) -> None:
        """Follow the present announcement of the same incarnation."""
        self.endpoint = endpoint
        self.floor_slots = endpoint.slots // entry_count
        self.connection_limit = endpoint.connections // entry_count
        self.give(self.grant)

    def give(self, grant: SlotGrant | None) -> None:
        """Replace the grant."""
        self.grant = grant
        granted = 0 if grant is None else grant.slots
        self._most_slots = min(
            self.floor_slots + granted, self.connection_limit
        )

    def usable_slots(self, now: Instant) -> int:
        """Return the floor plus the grant if its deadline is ahead."""
        slots = self.floor_slots
        if self.grant is not None and (
            now.unix_ms < self.grant.deadline_unix_ms
        ):
            slots += self.grant.slots
        return min(slots, self.connection_limit)

    def ramped_slots(self, now: Instant) -> int:
        """Return the usable slots, reduced during a slow start."""
        slots = self.usable_slots(now)
        if self.slow_start_boot_ms is None or slots <= 1:
            return slots
        elapsed_ms = now.boot_ms - self.slow_start_boot_ms
        if elapsed_ms >= SLOW_START_MS:
            self.slow_start_boot_ms = None
            return slots
        share = max(_SLOW_START_FIRST_SHARE, elapsed_ms / SLOW_START_MS)
        return max(1, math.floor(slots * share))

    def is_usable(self, now: Instant) -> bool:
        """Tell whether new requests may go here, slots permitting."""
        return (
            not self.endpoint.leaving
            and not self.refused_until_next_view
            and now.boot_ms >= self.refused_until_boot_ms
        )

    def is_set_aside(self, now: Instant) -> bool:
        """Tell whether the endpoint is set aside as an outlier."""
        return now.boot_ms < self.set_aside_until_boot_ms

    def has_free_slot(self, now: Instant) -> bool:
        """Tell whether one more request may be sent now."""
        # Under load most endpoints are full, and this is asked of many of
        # them for each request; the bound needs no look at deadlines.
        return (
            self.outstanding < self._most_slots
            and self.is_usable(now)
            and not self.is_set_aside(now)
            and self.outstanding < self.ramped_slots(now)
        )

    def take_slot(self) -> None:
        """Count one more request in progress."""
        self.outstanding += 1
        self.peak_outstanding = max(self.peak_outstanding, self.outstanding)

    def return_slot(self) -> None:
        """Count one request less in progress."""
        self.outstanding -= 1

    def take_peak(self) -> int:
        """Return the largest use since the last call and restart it."""
        peak = self.peak_outstanding
        self.peak_outstanding = self.outstanding
        return peak
