"""Log lines on congested queues, whose waiting jobs start newest first."""

from collections.abc import Collection
from collections.abc import Mapping

from sardinespool.clock import Instant
from sardinespool.observability.logs import get_logger

CALM_MS = 1_000
"""Time without congestion after which it counts as over; a queue near the
limit changes from pass to pass."""

_LOG = get_logger("dispatch")


class CongestionLog:
    """Writes one line at the start and one at the end of a congestion.

    Attributes
    ----------
    queues : dict of str to int
        Names of the congested queues, each with the time at which its
        congestion counts as over, in milliseconds of the boot clock.
    """

    def __init__(self) -> None:
        self.queues: dict[str, int] = {}

    def update(
        self,
        congested: Collection[str],
        waiting_jobs: Mapping[str, int],
        now: Instant,
    ) -> None:
        """Apply the congested queues of a planning pass.

        Parameters
        ----------
        congested : collection of str
            Names of the queues that are congested in this pass.
        waiting_jobs : mapping of str to int
            Number of jobs that have not begun, by queue.
        now : Instant
            Time of the pass.
        """
        for name in congested:
            if name not in self.queues:
                _LOG.info(
                    "queue congested",
                    queue=name,
                    waiting_jobs=waiting_jobs.get(name, 0),
                )
            self.queues[name] = now.boot_ms + CALM_MS
        for name, end_boot_ms in list(self.queues.items()):
            if now.boot_ms >= end_boot_ms:
                del self.queues[name]
                _LOG.info(
                    "queue no longer congested",
                    queue=name,
                    waiting_jobs=waiting_jobs.get(name, 0),
                )


class UnloggedCongestion(CongestionLog):
    """Stands for the log in a pass whose plan is not carried out."""

    def update(
        self,
        congested: Collection[str],
        waiting_jobs: Mapping[str, int],
        now: Instant,
    ) -> None:
        """Do nothing."""
