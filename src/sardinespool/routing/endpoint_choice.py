"""Choice of the endpoint for one request."""

import random
from collections.abc import Collection
from collections.abc import Sequence

from sardinespool.clock import Instant
from sardinespool.routing.endpoint_state import EndpointState

_DRAWS = 6


def choose_endpoint(
    endpoints: Sequence[EndpointState],
    excluded: Collection[str],
    now: Instant,
    generator: random.Random,
) -> EndpointState | None:
    """Return the endpoint to send to, None if no slot is free.

    Two endpoints with a free slot are drawn at random. The one with fewer
    outstanding requests relative to its slots wins. Two choices instead of
    the best of all keep the entries of a domain from sending to the same
    endpoint at once. Recent latency has no part in it: as a tie-break it made
    no measurable difference with slow endpoints or noise (docs/policy.md).

    Parameters
    ----------
    endpoints : Sequence[EndpointState]
        Endpoints of the service.
    excluded : Collection[str]
        Workers that failed this request. They are chosen only if the service
        has no other usable endpoint.
    now : Instant
        Present time.
    generator : random.Random
        Seeded source of the draws.
    """
    if excluded:
        others = [
            state
            for state in endpoints
            if state.endpoint.worker_id not in excluded
            and state.is_usable(now)
            and not state.is_set_aside(now)
            and state.usable_slots(now) > 0
        ]
        endpoints = others or endpoints
    # Looking at every endpoint for each request is needed only when few of
    # them have a free slot.
    if len(endpoints) > _DRAWS:
        drawn = generator.sample(endpoints, _DRAWS)
        free = [state for state in drawn if state.has_free_slot(now)]
        if len(free) >= 2:
            return min(free[0], free[1], key=lambda each: _cost(each, now))
    free = [state for state in endpoints if state.has_free_slot(now)]
    if not free:
        return None
    if len(free) == 1:
        return free[0]
    first, second = generator.sample(free, 2)
    return min(first, second, key=lambda each: _cost(each, now))


def _cost(state: EndpointState, now: Instant) -> float:
    return (state.outstanding + 1) / state.ramped_slots(now)
