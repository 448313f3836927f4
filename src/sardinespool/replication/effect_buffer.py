"""Buffer for the effects of one event."""

from sardinespool.replication.effects import Apply
from sardinespool.replication.effects import Effect
from sardinespool.replication.effects import InstallSnapshot
from sardinespool.replication.effects import LeadershipChanged
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.effects import ProposalAccepted
from sardinespool.replication.effects import ProposalRejected
from sardinespool.replication.effects import Send
from sardinespool.replication.entries import Entry
from sardinespool.replication.state import HardState
from sardinespool.replication.state import Snapshot


class EffectBuffer:
    """Collects the effects of the event that is being handled."""

    def __init__(self) -> None:
        self._reset()

    def _reset(self) -> None:
        self.hard_state: HardState | None = None
        self.truncate_from: int | None = None
        self.entries: list[Entry] = []
        self.snapshot: Snapshot | None = None
        self.sends: list[Send] = []
        self.proposal_results: list[ProposalAccepted | ProposalRejected] = []
        self.install_snapshot: InstallSnapshot | None = None
        self.committed_entries: tuple[Entry, ...] = ()
        self.leadership_change: LeadershipChanged | None = None

    def drain(self) -> list[Effect]:
        """Return the collected effects in execution order and reset."""
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
        effects.extend(self.proposal_results)
        if self.install_snapshot is not None:
            effects.append(self.install_snapshot)
        if self.committed_entries:
            effects.append(Apply(self.committed_entries))
        if self.leadership_change is not None:
            effects.append(self.leadership_change)
        self._reset()
        return effects
