"""Configuration versions in use by entries and schedulers."""

from sardinespool.messages.configuration import ProcessVersion

_RETENTION_MS = 60_000
# The process on a replacement host has a new name; the old one expires.


class ProcessVersions:
    """Latest version reported by each process; volatile."""

    def __init__(self) -> None:
        self._versions: dict[str, ProcessVersion] = {}

    def clear(self) -> None:
        """Remove all processes."""
        self._versions = {}

    def record_report(
        self, name: str, program: str, version: int, now_unix_ms: int
    ) -> None:
        """Store the report of a process."""
        self._versions[name] = ProcessVersion(
            name=name,
            program=program,
            version=version,
            reported_unix_ms=now_unix_ms,
        )

    def remove(self, name: str) -> None:
        """Remove a process that stops."""
        self._versions.pop(name, None)

    def current(self, now_unix_ms: int) -> tuple[ProcessVersion, ...]:
        """Return the reports of the last minute, ordered by process name."""
        self._versions = {
            name: version
            for name, version in self._versions.items()
            if version.reported_unix_ms + _RETENTION_MS > now_unix_ms
        }
        return tuple(self._versions[name] for name in sorted(self._versions))
