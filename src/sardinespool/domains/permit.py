"""Start permit that the global group grants to a failure domain."""

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.clock import Instant

START_PERMIT_MS = 2_500
"""Validity of a permit.

After a domain is taken out of service, it limits how long the domain can
start tasks while it can't reach the global group.
"""


def start_permit_deadline_unix_ms(in_service: bool, now: Instant) -> int:
    """Return the deadline of a permit that is granted now, or 0 for none."""
    return now.unix_ms + START_PERMIT_MS if in_service else 0


class StartPermit:
    """Deadline of the latest permit; volatile, on the leader only.

    Attributes
    ----------
    deadline_unix_ms : int
        Deadline of the permit; 0 if no task may start.
    """

    def __init__(self) -> None:
        self.deadline_unix_ms = 0
        self._version = 0

    def update(self, version: int, deadline_unix_ms: int) -> None:
        """Apply the permit in a reply of the global group.

        A reply with an earlier configuration version, or a delayed reply with
        the same version, does not extend the permit. A reply without a permit
        ends it at once.
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
        """Return the start deadline for tasks placed now, or 0 for none."""
        deadline_unix_ms = self.deadline_unix_ms - CLOCK_ERROR_MS
        return deadline_unix_ms if deadline_unix_ms > now_unix_ms else 0
