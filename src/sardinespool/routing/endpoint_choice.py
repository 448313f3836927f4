"""Load balancing: choice of the endpoint for one request."""

import random
from collections.abc import Collection
from collections.abc import Sequence

from sardinespool.clock import Instant
from sardinespool.routing.endpoint_state import EndpointState

_SAMPLE_SIZE = 6


def choose_endpoint(
    endpoints: Sequence[EndpointState],
    excluded: Collection[str],
    now: Instant,
    generator: random.Random,
) -> EndpointState | None:
    """Return the endpoint to send to, or None if no slot is free.

    Power of two choices: of two random endpoints with a free slot, the one
    with fewer outstanding requests relative to its slots is chosen. Taking
    the best of all endpoints instead would make the entries of a domain send
    to the same endpoint at once. Recent latency is not considered: as a
    tie-break it has no measurable effect with slow endpoints or noise
    (docs/policy.md).

    Parameters
    ----------
    endpoints : Sequence[EndpointState]
        Endpoints of the service.
    excluded : Collection[str]
        Workers that the request was already sent to. They are chosen only
        if the service has no other usable endpoint.
    now : Instant
        Current time.
    generator : random.Random
        Random number generator, seeded for reproducible choices.
    """
    if excluded:
        untried = [
            state
            for state in endpoints
            if state.endpoint.worker_id not in excluded
            and state.is_usable(now)
            and not state.is_ejected(now)
            and state.usable_slots(now) > 0
        ]
        endpoints = untried or endpoints
    # A small sample usually contains two endpoints with a free slot; all
    # endpoints are checked only if it does not.
    if len(endpoints) > _SAMPLE_SIZE:
        sampled = generator.sample(endpoints, _SAMPLE_SIZE)
        free = [state for state in sampled if state.has_free_slot(now)]
        if len(free) >= 2:
            return min(
                free[0], free[1], key=lambda each: _relative_load(each, now)
            )
    free = [state for state in endpoints if state.has_free_slot(now)]
    if not free:
        return None
    if len(free) == 1:
        return free[0]
    first, second = generator.sample(free, 2)
    return min(first, second, key=lambda each: _relative_load(each, now))


def _relative_load(state: EndpointState, now: Instant) -> float:
    return (state.outstanding + 1) / state.ramped_slots(now)
