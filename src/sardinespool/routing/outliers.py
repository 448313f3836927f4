"""Setting aside endpoints that behave far worse than their peers."""

import statistics
from collections.abc import Sequence

from sardinespool.clock import Instant
from sardinespool.routing.endpoint_state import EndpointState

FAILURES_IN_A_ROW = 5
_SET_ASIDE_FIRST_MS = 1_000
_SET_ASIDE_LONGEST_MS = 30_000
_FORGIVEN_AFTER_MS = 60_000
_TAIL_FACTOR = 3.0
_TAIL_MINIMUM_EXCESS_MS = 20.0
_LARGEST_SHARE = 3
"""At most one endpoint in three is set aside.

If more are slow or failing, the cause is likely the load or the service
itself, and fewer endpoints would make it worse.
"""


def may_set_aside(peers: Sequence[EndpointState], now: Instant) -> bool:
    """Tell whether the cap allows one more of `peers` to be set aside."""
    usable = [peer for peer in peers if peer.is_usable(now)]
    aside = sum(peer.is_set_aside(now) for peer in usable)
    return aside + 1 <= len(usable) // _LARGEST_SHARE


def set_aside(state: EndpointState, now: Instant) -> None:
    """Set an endpoint aside; each time in a row doubles the duration.

    When it returns it gets a slow start, and is judged by new samples.
    """
    quiet_ms = now.boot_ms - state.last_set_aside_boot_ms
    if state.times_set_aside and quiet_ms > _FORGIVEN_AFTER_MS:
        state.times_set_aside = 0
    duration_ms = min(
        _SET_ASIDE_LONGEST_MS, _SET_ASIDE_FIRST_MS << state.times_set_aside
    )
    # Beyond this exponent the duration stays at its upper bound.
    state.times_set_aside = min(16, state.times_set_aside + 1)
    state.last_set_aside_boot_ms = now.boot_ms
    state.set_aside_until_boot_ms = now.boot_ms + duration_ms
    state.slow_start_boot_ms = state.set_aside_until_boot_ms
    state.consecutive_failures = 0
    state.tail.clear()


def has_outlying_tail(
    state: EndpointState, peers: Sequence[EndpointState]
) -> bool:
    """Tell whether the tail latency is far above the peers' median.

    Far above means three times and at least 20 ms more; the absolute part
    keeps jitter of very fast endpoints from counting.
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
    typical_ms = statistics.median(others)
    return (
        tail_ms > _TAIL_FACTOR * typical_ms
        and tail_ms - typical_ms >= _TAIL_MINIMUM_EXCESS_MS
    )
