"""How long a task waits for a worker near its data."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies

from sardinespool.dispatch.near_place import decide
from sardinespool.dispatch.near_place import expected_wait_ms
from sardinespool.dispatch.near_place import NearChoice
from sardinespool.dispatch.near_place import NearVerdict
from sardinespool.dispatch.near_place import REVIEW_MS
from sardinespool.dispatch.near_place import WAIT_MAX_MS


def make_choice(**changes: float) -> NearChoice:
    """Return a choice with a gain of 600 ms for which a task waits."""
    inputs: dict[str, float] = {
        "remote_factor": 2.0,
        "run_ms": 600.0,
        "waited_ms": 0.0,
        "expected_wait_ms": 100.0,
        "slack_ms": 5_000.0,
        **changes,
    }
    return NearChoice(**inputs)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("changes", "verdict"),
    [
        ({}, NearVerdict.WAIT),
        ({"slack_ms": -1.0}, NearVerdict.WAIT),
        ({"slack_ms": REVIEW_MS}, NearVerdict.WAIT),
        ({"slack_ms": REVIEW_MS - 1.0}, NearVerdict.OBJECTIVE),
        ({"slack_ms": 0.0}, NearVerdict.OBJECTIVE),
        ({"expected_wait_ms": 600.0}, NearVerdict.NO_GAIN),
        ({"waited_ms": 500.0}, NearVerdict.NO_GAIN),
        ({"waited_ms": 500.0, "is_contended": True}, NearVerdict.WAIT),
        ({"waited_ms": 1_100.0, "is_contended": True}, NearVerdict.NO_GAIN),
        ({"expected_wait_ms": math.inf}, NearVerdict.NO_WORKER),
        ({"run_ms": 9_000.0, "waited_ms": 1_750.0}, NearVerdict.WAIT),
        ({"run_ms": 9_000.0, "waited_ms": 1_751.0}, NearVerdict.LIMIT),
        ({"remote_factor": 1.0}, NearVerdict.NO_GAIN),
    ],
    ids=str,
)
def test_each_bound_ends_a_wait(
    changes: dict[str, float], verdict: NearVerdict
) -> None:
    """Guards against a wait beyond one of its bounds."""
    assert decide(make_choice(**changes)) is verdict


@pytest.mark.parametrize(
    ("demand", "wait_ms"),
    [(1.0, 10.0), (2.0, 10.0), (3.0, 50.0), (4.0, 50.0), (5.0, 610.0)],
)
def test_later_tasks_wait_for_later_slots(
    demand: float, wait_ms: float
) -> None:
    """Guards against many tasks that all wait for the first free worker."""
    freed = [(10.0, 2.0), (50.0, 4.0)]
    assert expected_wait_ms(freed, demand, 600.0) == wait_ms
    assert expected_wait_ms([], demand, 600.0) == math.inf


times_ms = strategies.floats(0.0, 8_000.0)


@given(
    factor=strategies.floats(1.0, 4.0),
    run_ms=strategies.floats(1.0, 5_000.0),
    later_ms=times_ms,
    objective_ms=strategies.floats(0.0, 20_000.0),
    forecasts_ms=strategies.lists(times_ms, min_size=1, max_size=30),
    reviews_ms=strategies.lists(
        strategies.floats(1.0, REVIEW_MS - 1.0), min_size=30, max_size=30
    ),
    contended=strategies.booleans(),
)
def test_no_wait_misses_an_objective_that_a_remote_start_meets(
    factor: float,
    run_ms: float,
    later_ms: float,
    objective_ms: float,
    forecasts_ms: list[float],
    reviews_ms: list[float],
    contended: bool,
) -> None:
    """Guards against waits that make a job late, whatever was forecast.

    No near worker ever becomes free, the worst case. Also bounds the cost of
    the wait by the gain, and its length.
    """
    remote_ms = factor * run_ms + later_ms
    waited_ms = 0.0
    for position in range(1_000):
        choice = NearChoice(
            remote_factor=factor,
            run_ms=run_ms,
            waited_ms=waited_ms,
            expected_wait_ms=forecasts_ms[position % len(forecasts_ms)],
            slack_ms=objective_ms - waited_ms - remote_ms,
            is_contended=contended,
        )
        if decide(choice) is not NearVerdict.WAIT:
            break
        waited_ms += reviews_ms[position % len(reviews_ms)]
    assert remote_ms > objective_ms or waited_ms + remote_ms <= objective_ms
    assert waited_ms <= max(0.0, choice.gain_ms) + REVIEW_MS
    assert waited_ms <= WAIT_MAX_MS
