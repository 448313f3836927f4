"""Metrics and log lines of the guard of a process's listeners."""

import asyncio
import dataclasses

from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import Metrics
from sardinespool.transport import system_clock
from sardinespool.transport.guard_settings import Refusal
from sardinespool.transport.listener_guard import ListenerGuard

LOG_INTERVAL_MS = 1_000
UPDATE_INTERVAL_S = 0.5

_LOG = get_logger("guard")


@dataclasses.dataclass(slots=True)
class RefusalLog:
    """Decides which refusals get a log line: the first, then one a second.

    Attributes
    ----------
    omitted : int
        Refusals since the last line.
    next_boot_ms : int
        Time from which on the next refusal gets a line.
    """

    omitted: int = 0
    next_boot_ms: int = 0

    def take(self, now_boot_ms: int) -> int | None:
        """Return the refusals since the last line; None for no line now."""
        if now_boot_ms < self.next_boot_ms:
            self.omitted += 1
            return None
        omitted, self.omitted = self.omitted, 0
        self.next_boot_ms = now_boot_ms + LOG_INTERVAL_MS
        return omitted


class GuardMetrics:
    """Reports what the guard of a process refuses and holds.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._refusals = metrics.counter(
            "refused_connections_total",
            "Connections refused or given up, by reason.",
        )
        self._held_bytes = metrics.gauge(
            "held_bytes", "Bytes held for requests and answers."
        )
        self._connections = metrics.gauge(
            "accepted_connections", "Connections that are open."
        )
        self._log = RefusalLog()

    def report(self, refusal: Refusal) -> None:
        """Count a refusal, and log it at most once a second."""
        listener = refusal.connection_class.name.lower()
        self._refusals.inc(reason=refusal.reason, listener=listener)
        omitted = self._log.take(system_clock.now().boot_ms)
        if omitted is not None:
            _LOG.warning(
                "connection refused",
                reason=refusal.reason,
                listener=listener,
                address=refusal.address,
                state=refusal.state.name.lower(),
                received_bytes=refusal.received_bytes,
                omitted=omitted,
            )

    async def update(self, guard: ListenerGuard) -> None:
        """Renew the gauges until cancelled."""
        while True:
            self._held_bytes.set(guard.held_bytes)
            self._connections.set(guard.connections)
            await asyncio.sleep(UPDATE_INTERVAL_S)
