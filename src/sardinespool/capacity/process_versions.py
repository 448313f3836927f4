"""Configuration versions that entries and schedulers follow."""

from sardinespool.messages.configuration import ProcessVersion

_KEPT_MS = 60_000
# A replaced host's process has another name; its old one is dropped.


class ProcessVersions:
    """Version last reported by each process; volatile."""

    def __init__(self) -> None:
        self._versions: dict[str, ProcessVersion] = {}

    def clear(self) -> None:
        """Forget every process."""
        self._versions = {}

    def note(
        self, name: str, program: str, version: int, now_unix_ms: int
    ) -> None:
        """Remember a report."""
        self._versions[name] = ProcessVersion(
            name=name,
            program=program,
            version=version,
            reported_unix_ms=now_unix_ms,
        )

    def remove(self, name: str) -> None:
        """Forget a process that stops."""
        self._versions.pop(name, None)

    def current(self, now_unix_ms: int) -> tuple[ProcessVersion, ...]:
        """Return the recent reports by process name."""
        self._versions = {
            name: version
            for name, version in self._versions.items()
            if version.reported_unix_ms + _KEPT_MS > now_unix_ms
        }
        return tuple(self._versions[name] for name in sorted(self._versions))
