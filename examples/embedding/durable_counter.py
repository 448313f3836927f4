"""Durable counter on top of the replicated log of sardinespool.

Run it with ``python examples/embedding/durable_counter.py FOLDER``; each run
increments the counter stored in the folder and prints its value.

A group of one member needs no network. A larger group must also send the
messages of `Send` effects to its peers and pass the messages that it receives
to the replica as `PeerMessageReceived` events.
"""

import pathlib
import sys
import time

from sardinespool.embedding import Apply
from sardinespool.embedding import EntryKind
from sardinespool.embedding import GroupStore
from sardinespool.embedding import Instant
from sardinespool.embedding import Persist
from sardinespool.embedding import PersistSnapshot
from sardinespool.embedding import Propose
from sardinespool.embedding import Replica
from sardinespool.embedding import ReplicaSettings
from sardinespool.embedding import Tick

TICK_INTERVAL_MS = 50


class DurableCounter:
    """Counter replicated by a group of one member.

    `value` is the state after all applied entries.
    """

    def __init__(self, folder: pathlib.Path, now: Instant) -> None:
        self.value = 0
        self._now = now
        self._store = GroupStore(folder)
        settings = ReplicaSettings(group="counter", name="a", bootstrap=True)
        self._replica = Replica(settings, self._store.load(), 1, now)
        while not self._replica.is_leader(self._now):
            self._now = self._now.after(TICK_INTERVAL_MS)
            self._handle_event(Tick())

    def add(self, amount: int) -> None:
        """Add to the counter; it is synced to disk when this returns."""
        self._handle_event(Propose((str(amount).encode(),)))

    def close(self) -> None:
        """Close the files of the group."""
        self._store.close()

    def _handle_event(self, event: Tick | Propose) -> None:
        effects = self._replica.handle(event, self._now)
        self._store.persist(
            [
                effect
                for effect in effects
                if isinstance(effect, Persist | PersistSnapshot)
            ]
        )
        for effect in effects:
            if isinstance(effect, Apply):
                for entry in effect.entries:
                    if entry.kind is EntryKind.COMMAND:
                        self.value += int(entry.payload)


def main() -> None:
    """Increment the counter in the folder given as the first argument."""
    now_ms = time.time_ns() // 1_000_000
    counter = DurableCounter(
        pathlib.Path(sys.argv[1]), Instant(now_ms, now_ms)
    )
    counter.add(1)
    counter.close()
    print(counter.value)


if __name__ == "__main__":
    main()
