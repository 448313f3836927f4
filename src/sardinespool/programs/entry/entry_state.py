"""Readiness of the entry."""

import dataclasses


@dataclasses.dataclass(slots=True)
class EntryState:
    """Lifecycle state of the process.

    `synced` is set by the first synchronisation, before which the entry has
    no approved configuration. `stopping` is set by the first stop signal.
    """

    synced: bool = False
    stopping: bool = False

    @property
    def ready(self) -> bool:
        """Whether requests of callers are accepted."""
        return self.synced and not self.stopping

    @property
    def reason(self) -> str:
        """Why the entry is not ready, empty if it is."""
        if self.stopping:
            return "the entry is stopping"
        if not self.synced:
            return "the entry has not synchronised since its start"
        return ""
