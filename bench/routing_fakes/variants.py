"""Alternative endpoint rules and ablations of the implemented one."""

import contextlib
import itertools
import random
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from unittest import mock

from sardinespool.clock import Instant
from sardinespool.routing import endpoint_choice
from sardinespool.routing import endpoint_state
from sardinespool.routing import outliers
from sardinespool.routing import retry_budget
from sardinespool.routing import router
from sardinespool.routing.endpoint_state import EndpointState
from sardinespool.routing.fair_queue import FairQueue

Pick = Callable[[list[EndpointState], Instant, random.Random], EndpointState]
Endpoints = Sequence[EndpointState]


def _choose_among_free(pick: Pick) -> Callable[..., EndpointState | None]:
    """Return a rule that applies `pick` to the endpoints with free slots."""

    def choose(
        endpoints: Endpoints,
        excluded: Collection[str],
        now: Instant,
        rng: random.Random,
    ) -> EndpointState | None:
        free = [state for state in endpoints if state.has_free_slot(now)]
        others = [
            state for state in free if state.endpoint.worker_id not in excluded
        ]
        free = others or free
        return pick(free, now, rng) if free else None

    return choose


def _random_endpoint(
    free: list[EndpointState], now: Instant, rng: random.Random
) -> EndpointState:
    return rng.choice(free)


def _least_outstanding(
    free: list[EndpointState], now: Instant, rng: random.Random
) -> EndpointState:
    fewest_outstanding = min(state.outstanding for state in free)
    return rng.choice(
        [state for state in free if state.outstanding == fewest_outstanding]
    )


def _best_of_all(
    free: list[EndpointState], now: Instant, rng: random.Random
) -> EndpointState:
    return min(
        free, key=lambda state: endpoint_choice._relative_load(state, now)
    )


def _share_times_latency(
    state: EndpointState, now: Instant
) -> tuple[float, float]:
    share = (state.outstanding + 1) / state.ramped_slots(now)
    return (share * (state.tail.value or 1.0), share)


def _share_then_latency(
    state: EndpointState, now: Instant
) -> tuple[float, float]:
    share = (state.outstanding + 1) / state.ramped_slots(now)
    return (share, state.tail.value or 0.0)


def _round_robin() -> Pick:
    numbers = itertools.count()

    def pick(
        free: list[EndpointState], now: Instant, rng: random.Random
    ) -> EndpointState:
        return free[next(numbers) % len(free)]

    return pick


def _patches(name: str) -> list[tuple[object, str, Any]]:
    choose = "choose_endpoint"
    match name:
        case "random":
            return [(router, choose, _choose_among_free(_random_endpoint))]
        case "round robin":
            return [(router, choose, _choose_among_free(_round_robin()))]
        case "least outstanding":
            return [(router, choose, _choose_among_free(_least_outstanding))]
        case "best of all, not two":
            return [(router, choose, _choose_among_free(_best_of_all))]
        case "ties by latency":
            return [(endpoint_choice, "_relative_load", _share_then_latency)]
        case "share times latency":
            return [(endpoint_choice, "_relative_load", _share_times_latency)]
        case "without ejection":
            return [(outliers, "may_eject", lambda peers, now: False)]
        case "ejection without cap":
            return [(outliers, "may_eject", lambda peers, now: True)]
        case "without slow start":
            return [(endpoint_state, "SLOW_START_MS", 0)]
        case "without retries":
            return [(retry_budget.RetryBudget, "take", lambda self: False)]
        case "unlimited retries":
            return [(retry_budget.RetryBudget, "take", lambda self: True)]
        case "queue held by a waiting retry":
            return [(FairQueue, "first_new_request", lambda self: None)]
        case "without admission check":
            return [(router, "check_admission", lambda *_: None)]
        case "without deadlines in the queue":
            return [
                (router, "check_admission", lambda *_: None),
                (router.Router, "_queue_refusal", lambda *_: None),
            ]
    return []


@contextlib.contextmanager
def apply_variant(name: str) -> Iterator[None]:
    """Patch the routing for a variant; ``built`` changes nothing."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in _patches(name):
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield
