"""Whether the entry is ready."""

import dataclasses


@dataclasses.dataclass(slots=True)
class EntryState:
    """Life of the process.

    `synced` is set by the first synchronisation; without it the entry knows
    no approved configuration. `stopping` is set by the first signal.
    """

    synced: bool = False
    stopping: bool = False

    @property
    def ready(self) -> bool:
        """Whether callers' requests are accepted."""
        return self.synced and not self.stopping

    @property
    def reason(self) -> str:
        """Why the entry is not ready."""
        if self.stopping:
            return "the entry is stopping"
        if not self.synced:
            return "the entry has not synchronised since its start"
        return ""
