"""Gradual starts on a domain that came back into service."""

from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.tokens import TokenBucket


class StartRamp:
    """Limits starts while a failure domain returns to service.

    All tasks of the domain are queued then; starting them at once would
    load every host before the first usage report arrives. A policy that was
    just created takes a domain without active tasks as one that returns.
    """

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._bucket = TokenBucket()
        self._began_unix_ms: int | None = None
        self._was_startable: bool | None = None

    def update(
        self,
        startable: bool,
        active_tasks: int,
        worker_count: int,
        unix_ms: int,
    ) -> None:
        """Take in the state of the domain at one pass."""
        returned = self._was_startable is False or (
            self._was_startable is None and active_tasks == 0
        )
        self._was_startable = startable
        if startable and returned:
            self._began_unix_ms = unix_ms
            self._bucket.refill(0.0, 0.0, unix_ms)
            self._bucket.empty()
        if self._began_unix_ms is None:
            return
        elapsed_ms = unix_ms - self._began_unix_ms
        if elapsed_ms >= self._settings.ramp_ms:
            self._began_unix_ms = None
            return
        final_rate = (
            self._settings.ramp_starts_per_worker_second * worker_count
        )
        # A tenth of the final rate at first, so that the first seconds bring
        # the usage reports that the next starts are sized by.
        rate = final_rate * max(0.1, elapsed_ms / self._settings.ramp_ms)
        self._bucket.refill(rate, max(1.0, rate), unix_ms)

    def allowance(self, wanted: int) -> int:
        """Return how many of `wanted` starts the ramp allows now."""
        if self._began_unix_ms is None or not self._settings.has("ramp"):
            return wanted
        return min(wanted, int(self._bucket.available()))

    def started(self, count: int) -> None:
        """Count starts against the ramp."""
        if self._began_unix_ms is not None:
            self._bucket.take(min(count, int(self._bucket.available())))
