"""State that an entry keeps for one incarnation of an endpoint."""

import math

from sardinespool.clock import Instant
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import SlotGrant
from sardinespool.routing.latency import DecayedMean
from sardinespool.routing.latency import TailLatency

SLOW_START_MS = 5_000
_SLOW_START_INITIAL_SHARE = 0.1
REFUSAL_BACKOFF_MS = 1_000
"""Pause after a refusal or a failed connection attempt.

It covers four synchronisations, so that a leaving endpoint is marked as
leaving in the table before the entry would try it again.
"""


class EndpointState:
    """Slots, outstanding requests and recent health of an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint as announced by the domain group.
    entry_count : int
        Number of entries that share the endpoint.
    slow_start_boot_ms : int or None
        Start time of the slow start; None for an endpoint that existed
        before this entry started.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        entry_count: int,
        slow_start_boot_ms: int | None,
    ) -> None:
        self.grant: SlotGrant | None = None
        self.update_announcement(endpoint, entry_count)
        self.outstanding = 0
        self.peak_outstanding = 0
        # Reported in the state dump only; load balancing does not use it.
        self.latency = DecayedMean()
        self.tail = TailLatency()
        self.consecutive_failures = 0
        self.ejected_until_boot_ms = 0
        self.consecutive_ejections = 0
        self.last_ejected_boot_ms = 0
        self.refused_until_boot_ms = 0
        self.refused_until_next_view = False
        self.slow_start_boot_ms = slow_start_boot_ms

    def update_announcement(
        self, endpoint: Endpoint, entry_count: int
    ) -> None:
        """Apply a newer announcement of the same incarnation."""
        self.endpoint = endpoint
        self.floor_slots = endpoint.slots // entry_count
        self.connection_limit = endpoint.connections // entry_count
        self.set_grant(self.grant)

    def set_grant(self, grant: SlotGrant | None) -> None:
        """Replace the slot grant; None removes it."""
        self.grant = grant
        granted = 0 if grant is None else grant.slots
        self._max_outstanding = min(
            self.floor_slots + granted, self.connection_limit
        )

    def usable_slots(self, now: Instant) -> int:
        """Return the floor plus the grant, unless the grant has expired."""
        slots = self.floor_slots
        if self.grant is not None and (
            now.unix_ms < self.grant.deadline_unix_ms
        ):
            slots += self.grant.slots
        return min(slots, self.connection_limit)

    def ramped_slots(self, now: Instant) -> int:
        """Return the usable slots, scaled down during a slow start."""
        slots = self.usable_slots(now)
        if self.slow_start_boot_ms is None or slots <= 1:
            return slots
        elapsed_ms = now.boot_ms - self.slow_start_boot_ms
        if elapsed_ms >= SLOW_START_MS:
            self.slow_start_boot_ms = None
            return slots
        share = max(_SLOW_START_INITIAL_SHARE, elapsed_ms / SLOW_START_MS)
        return max(1, math.floor(slots * share))

    def is_usable(self, now: Instant) -> bool:
        """Return whether new requests may be sent if a slot is free."""
        return (
            not self.endpoint.leaving
            and not self.refused_until_next_view
            and now.boot_ms >= self.refused_until_boot_ms
        )

    def is_ejected(self, now: Instant) -> bool:
        """Return whether the endpoint is ejected as an outlier."""
        return now.boot_ms < self.ejected_until_boot_ms

    def has_free_slot(self, now: Instant) -> bool:
        """Return whether one more request may be sent now."""
        # Under load this runs for many full endpoints per request. The
        # upper bound rejects those without checking any deadline.
        return (
            self.outstanding < self._max_outstanding
            and self.is_usable(now)
            and not self.is_ejected(now)
            and self.outstanding < self.ramped_slots(now)
        )

    def acquire_slot(self) -> None:
        """Add one outstanding request."""
        self.outstanding += 1
        self.peak_outstanding = max(self.peak_outstanding, self.outstanding)

    def release_slot(self) -> None:
        """Remove one outstanding request."""
        self.outstanding -= 1

    def pop_peak_outstanding(self) -> int:
        """Return the peak of outstanding requests and reset it."""
        peak = self.peak_outstanding
        self.peak_outstanding = self.outstanding
        return peak
