"""Gradual task starts after a failure domain returns to service."""

from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.token_bucket import TokenBucket


class StartRamp:
    """Limits the rate of starts after a failure domain returns to service.

    All tasks of the domain are queued at that time. Starting them at once
    would load every host before the first usage report arrives. At the first
    update, a domain without active tasks is treated as one that returns.
    """

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._bucket = TokenBucket()
        self._ramp_start_unix_ms: int | None = None
        self._was_startable: bool | None = None

    def update(
        self,
        startable: bool,
        active_tasks: int,
        worker_count: int,
        unix_ms: int,
    ) -> None:
        """Update the ramp with the state of the domain at one pass."""
        returned = self._was_startable is False or (
            self._was_startable is None and active_tasks == 0
        )
        self._was_startable = startable
        if startable and returned:
            self._ramp_start_unix_ms = unix_ms
            self._bucket.refill(0.0, 0.0, unix_ms)
            self._bucket.empty()
        if self._ramp_start_unix_ms is None:
            return
        elapsed_ms = unix_ms - self._ramp_start_unix_ms
        if elapsed_ms >= self._settings.ramp_ms:
            self._ramp_start_unix_ms = None
            return
        final_rate = (
            self._settings.ramp_starts_per_worker_second * worker_count
        )
        # Starts at a tenth of the final rate, so that usage reports of the
        # first tasks are available to size the next ones.
        rate = final_rate * max(0.1, elapsed_ms / self._settings.ramp_ms)
        self._bucket.refill(rate, max(1.0, rate), unix_ms)

    def limit_starts(self, requested: int) -> int:
        """Return how many of the requested starts the ramp allows now."""
        if self._ramp_start_unix_ms is None or not self._settings.has("ramp"):
            return requested
        return min(requested, int(self._bucket.available()))

    def record_starts(self, count: int) -> None:
        """Subtract starts from the tokens of the ramp."""
        if self._ramp_start_unix_ms is not None:
            self._bucket.take(min(count, int(self._bucket.available())))
