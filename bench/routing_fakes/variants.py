"""Other choices of endpoints, and the built rule without one part."""

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


def _chooser(pick: Pick) -> Callable[..., EndpointState | None]:
    """Return a choice among all endpoints with a free slot."""

    def choose(
        endpoints: Endpoints,
        excluded: Collection[str],
        now: Instant,
        generator: random.Random,
    ) -> EndpointState | None:
        free = [each for each in endpoints if each.has_free_slot(now)]
        others = [
            each for each in free if each.endpoint.worker_id not in excluded
        ]
        free = others or free
        return pick(free, now, generator) if free else None

    return choose


def _random(
    free: list[EndpointState], now: Instant, generator: random.Random
) -> EndpointState:
    return generator.choice(free)


def _least(
    free: list[EndpointState], now: Instant, generator: random.Random
) -> EndpointState:
    fewest = min(each.outstanding for each in free)
    return generator.choice([f for f in free if f.outstanding == fewest])


def _best_of_all(
    free: list[EndpointState], now: Instant, generator: random.Random
) -> EndpointState:
    return min(free, key=lambda each: endpoint_choice._cost(each, now))


def _product(state: EndpointState, now: Instant) -> tuple[float, float]:
    share = (state.outstanding + 1) / state.ramped_slots(now)
    return (share * (state.tail.value or 1.0), share)


def _ties(state: EndpointState, now: Instant) -> tuple[float, float]:
    share = (state.outstanding + 1) / state.ramped_slots(now)
    return (share, state.tail.value or 0.0)


def _round_robin() -> Pick:
    numbers = itertools.count()

    def pick(
        free: list[EndpointState], now: Instant, generator: random.Random
    ) -> EndpointState:
        return free[next(numbers) % len(free)]

    return pick


def _patches(name: str) -> list[tuple[object, str, Any]]:
    choose = "choose_endpoint"
    match name:
        case "random":
            return [(router, choose, _chooser(_random))]
        case "round robin":
            return [(router, choose, _chooser(_round_robin()))]
        case "least outstanding":
            return [(router, choose, _chooser(_least))]
        case "best of all, not two":
            return [(router, choose, _chooser(_best_of_all))]
        case "ties by latency":
            return [(endpoint_choice, "_cost", _ties)]
        case "share times latency":
            return [(endpoint_choice, "_cost", _product)]
        case "without ejection":
            return [(outliers, "may_set_aside", lambda peers, now: False)]
        case "ejection without cap":
            return [(outliers, "may_set_aside", lambda peers, now: True)]
        case "without slow start":
            return [(endpoint_state, "SLOW_START_MS", 0)]
        case "without retries":
            return [(retry_budget.RetryBudget, "take", lambda self: False)]
        case "unlimited retries":
            return [(retry_budget.RetryBudget, "take", lambda self: True)]
        case "queue held by a waiting retry":
            return [(FairQueue, "first_untried", lambda self: None)]
        case "without admission check":
            return [(router, "check_reachable", lambda *_: None)]
        case "without deadlines in the queue":
            return [
                (router, "check_reachable", lambda *_: None),
                (router.Router, "_overdue_error", lambda *_: None),
            ]
    return []


@contextlib.contextmanager
def applied(name: str) -> Iterator[None]:
    """Replace parts of the routing in this process; ``built`` is none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in _patches(name):
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield
