"""Collects what one event causes and orders it as effects."""

from sardinespool.replication.effects import Apply
from sardinespool.replication.effects import Effect
from sardinespool.replication.effects import InstallSnapshot
from sardinespool.replication.effects import LeadershipChanged
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.effects import ProposalAccepted
from sardinespool.replication.effects import ProposalRefused
from sardinespool.replication.effects import Send
from sardinespool.replication.entries import Entry
from sardinespool.replication.state import HardState
from sardinespool.replication.state import Snapshot


class Outbox:
    """Effects of the event being handled."""

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self.hard_state: HardState | None = None
        self.truncate_from: int | None = None
        self.entries: list[Entry] = []
        self.snapshot: Snapshot | None = None
        self.sends: list[Send] = []
        self.answers: list[ProposalAccepted | ProposalRefused] = []
        self.install: InstallSnapshot | None = None
        self.applied: tuple[Entry, ...] = ()
        self.leadership: LeadershipChanged | None = None

    def drain(self) -> list[Effect]:
        """Return the collected effects in order and forget them."""
        effects: list[Effect] = []
        if (
            self.hard_state is not None
            or self.truncate_from is not None
            or self.entries
        ):
            effects.append(
                Persist(
                    self.hard_state, tuple(self.entries), self.truncate_from
                )
            )
        if self.snapshot is not None:
            effects.append(PersistSnapshot(self.snapshot))
        effects.extend(self.sends)
        effects.extend(self.answers)
        if self.install is not None:
            effects.append(self.install)
        if self.applied:
            effects.append(Apply(self.applied))
        if self.leadership is not None:
            effects.append(self.leadership)
        self._clear()
        return effects
