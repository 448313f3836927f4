"""The start permit that the global group gives a failure domain."""

from sardinespool.clock import CLOCK_ERROR_MS


class StartPermit:
    """Deadline of the newest permit; volatile, on the leader only.

    Attributes
    ----------
    deadline_unix_ms : int
        0 when no task may start.
    """

    def __init__(self) -> None:
        self.deadline_unix_ms = 0
        self._version = 0

    def update(self, version: int, deadline_unix_ms: int) -> None:
        """Take the permit of a reply of the global group.

        A reply of an earlier version, or one of the same version that was
        overtaken, does not extend the permit. A refusal holds at once.
        """
        if version < self._version:
            return
        if version > self._version or deadline_unix_ms == 0:
            self._version = version
            self.deadline_unix_ms = deadline_unix_ms
        else:
            self.deadline_unix_ms = max(
                self.deadline_unix_ms, deadline_unix_ms
            )

    def start_deadline_unix_ms(self, now_unix_ms: int) -> int:
        """Return the deadline for starts placed now, 0 if none may start."""
        deadline_unix_ms = self.deadline_unix_ms - CLOCK_ERROR_MS
        return deadline_unix_ms if deadline_unix_ms > now_unix_ms else 0
