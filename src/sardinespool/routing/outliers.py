"""Outlier detection: temporary ejection of unhealthy endpoints."""

import statistics
from collections.abc import Sequence

from sardinespool.clock import Instant
from sardinespool.routing.endpoint_state import EndpointState

CONSECUTIVE_FAILURES_LIMIT = 5
_INITIAL_EJECTION_MS = 1_000
_MAX_EJECTION_MS = 30_000
_EJECTION_COUNT_RESET_MS = 60_000
_TAIL_FACTOR = 3.0
_MIN_TAIL_EXCESS_MS = 20.0
_MIN_PEERS_PER_EJECTION = 3
"""At most one endpoint in three is ejected.

If more are slow or failing, the cause is likely the load or the service
itself, and removing endpoints would make it worse.
"""


def may_eject(peers: Sequence[EndpointState], now: Instant) -> bool:
    """Return whether one more of `peers` may be ejected."""
    usable = [peer for peer in peers if peer.is_usable(now)]
    ejected = sum(peer.is_ejected(now) for peer in usable)
    return ejected + 1 <= len(usable) // _MIN_PEERS_PER_EJECTION


def eject(state: EndpointState, now: Instant) -> None:
    """Eject an endpoint; each consecutive ejection doubles the duration.

    Afterwards the endpoint gets a slow start and an empty latency window.
    """
    since_ejection_ms = now.boot_ms - state.last_ejected_boot_ms
    if (
        state.consecutive_ejections
        and since_ejection_ms > _EJECTION_COUNT_RESET_MS
    ):
        state.consecutive_ejections = 0
    duration_ms = min(
        _MAX_EJECTION_MS, _INITIAL_EJECTION_MS << state.consecutive_ejections
    )
    # Bounds the shift; the duration is already at its maximum by then.
    state.consecutive_ejections = min(16, state.consecutive_ejections + 1)
    state.last_ejected_boot_ms = now.boot_ms
    state.ejected_until_boot_ms = now.boot_ms + duration_ms
    state.slow_start_boot_ms = state.ejected_until_boot_ms
    state.consecutive_failures = 0
    state.tail.clear()


def has_outlying_tail(
    state: EndpointState, peers: Sequence[EndpointState]
) -> bool:
    """Return whether the tail latency is far above the peers' median.

    The threshold is three times the median and at least 20 ms above it; the
    absolute margin ignores the jitter of very fast endpoints.
    """
    tail_ms = state.tail.value
    if tail_ms is None:
        return False
    others = [
        peer.tail.value
        for peer in peers
        if peer is not state and peer.tail.value is not None
    ]
    if len(others) < 2:
        return False
    median_ms = statistics.median(others)
    return (
        tail_ms > _TAIL_FACTOR * median_ms
        and tail_ms - median_ms >= _MIN_TAIL_EXCESS_MS
    )
