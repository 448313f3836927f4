"""Work that a batch leaves to the next one; heartbeats come in between."""

import collections
from collections.abc import Sequence

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.programs.store.runner_events import CallReceived
from sardinespool.programs.store.runner_events import PeerMessageReceived
from sardinespool.programs.store.runner_events import RunnerEvent
from sardinespool.replication.entries import Entry

SLICE_MS = 50
"""Time after which the remaining calls and entries of a batch are left to the
next one. Many large commands then do not cost the leader its lease."""


class Backlog:
    """Committed entries that are not applied, and events that wait.

    Attributes
    ----------
    entries : collections.deque of Entry
        Committed entries that are not applied yet.
    """

    def __init__(self) -> None:
        self.entries: collections.deque[Entry] = collections.deque()
        self._events: list[RunnerEvent] = []
        self._slice_end_boot_ms = 0

    def __bool__(self) -> bool:
        return bool(self.entries or self._events)

    def begin_slice(self, now: Instant) -> None:
        """Begin the work of a batch."""
        self._slice_end_boot_ms = now.boot_ms + SLICE_MS

    def is_slice_over(self, now_boot_ms: int) -> bool:
        """Return whether the rest is to be left to the next batch."""
        return now_boot_ms > self._slice_end_boot_ms

    def defer(self, events: Sequence[RunnerEvent]) -> None:
        """Leave events to the next batch; peer messages were handled."""
        self._events = [
            event
            for event in events
            if not isinstance(event, PeerMessageReceived)
        ]

    def take_events(self) -> list[RunnerEvent]:
        """Return the events that were left, for this batch."""
        events, self._events = self._events, []
        return events

    def refuse_calls(self, error: SardinespoolError) -> None:
        """Fail the calls that wait, as the member stops."""
        for event in self.take_events():
            if isinstance(event, CallReceived) and not event.reply.done():
                event.reply.set_exception(error)
