"""Short and batch jobs beside each other while a failure domain is away."""

import dataclasses
import functools
import statistics

import pytest

from sardinespool.dispatch import estimates_schedule
from sardinespool.dispatch import job_paths
from testing.dispatch.mixed_load import MixedLoad
from testing.dispatch.mixed_load import MixedOutcome
from testing.dispatch.mixed_load import MixedReplay
from testing.dispatch.mixed_load import oracle_worth

SEEDS = (1, 2)
EVACUATED = (15_000, 200_000)
"""For the rest of the day, with the jobs that wait at its end."""
FULL = MixedLoad("full", demand=1.5, evacuated_ms=EVACUATED)
STRAGGLERS = MixedLoad(
    "stragglers", demand=1.5, stragglers=0.03, evacuated_ms=EVACUATED
)


HEAVY = MixedLoad("heavy", demand=2.0, evacuated_ms=EVACUATED)
USUAL = MixedLoad("usual", evacuated_ms=EVACUATED)
CALM = MixedLoad("calm", burst=1.0)


@functools.cache
def play(load: MixedLoad, admission: bool = False) -> tuple[MixedOutcome, ...]:
    """Replay a load with the policy of the code."""
    return tuple(MixedReplay(load, seed, admission).run() for seed in SEEDS)


def mean_worth(outcomes: tuple[MixedOutcome, ...]) -> float:
    return statistics.mean(item.worth for item in outcomes)


@pytest.mark.parametrize(
    ("load", "gain_min"), [(FULL, 0.03), (STRAGGLERS, 0.0)], ids=str
)
def test_learned_times_serve_more_than_declared_ones(
    monkeypatch: pytest.MonkeyPatch, load: MixedLoad, gain_min: float
) -> None:
    """Guards against an order by learned times that is worse than before."""
    chosen = play(load)
    for module in (estimates_schedule, job_paths):
        monkeypatch.setattr(module, "predict_paths", lambda *arguments: None)
    compared = tuple(MixedReplay(load, seed).run() for seed in SEEDS)
    assert mean_worth(chosen) - mean_worth(compared) >= gain_min
    # Serving batch jobs must not be at the cost of short ones.
    assert all(item.in_time["short"] >= 0.99 for item in chosen)


@pytest.mark.parametrize("odd_ms", [0, 365 * 86_400_000], ids=["none", "year"])
def test_odd_declared_times_cost_others_nothing(odd_ms: int) -> None:
    """Guards against callers that gain from a declared time of no meaning."""
    load = dataclasses.replace(FULL, odd_ms=odd_ms)
    others = sum(item.earned_by(False) for item in play(FULL))
    beside = sum(item.earned_by(False) for item in play(load))
    assert beside >= 0.95 * others


@pytest.mark.parametrize(
    ("load", "gain_min"),
    [(HEAVY, 0.03), (FULL, -0.02), (USUAL, -0.02), (CALM, 0.0)],
    ids=str,
)
def test_accepted_jobs_earn_something(
    load: MixedLoad, gain_min: float
) -> None:
    """Guards against accepted jobs that earn nothing, and wrong refusals.

    Those that earn nothing fall to a quarter. Where there is little overload,
    a refusal must cost next to nothing.
    """
    chosen, compared = play(load, True), play(load)
    worthless = sum(len(item.worthless) for item in chosen)
    before = sum(len(item.worthless) for item in compared)
    assert worthless <= before / 4
    assert mean_worth(chosen) - mean_worth(compared) >= gain_min


@pytest.mark.parametrize("load", [HEAVY, FULL, USUAL, CALM], ids=str)
def test_worth_is_near_that_of_an_oracle(load: MixedLoad) -> None:
    """Guards against refusals that cost more than a tenth of the worth."""
    oracle = statistics.mean(oracle_worth(load, seed) for seed in SEEDS)
    share = mean_worth(play(load, True)) / oracle
    assert share >= 0.9
