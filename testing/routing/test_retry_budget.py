"""Tests of the retry budget."""

import pytest
from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies

from sardinespool.routing.retry_budget import RetryBudget


@seed(11)
@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    strategies.lists(strategies.booleans(), max_size=400),
    strategies.sampled_from([0.0, 0.1, 0.25, 1.0]),
)
def test_budget_is_never_exceeded(steps: list[bool], share: float) -> None:
    """Guards against retries that multiply a failing service's load."""
    budget = RetryBudget(share)
    requests = 0
    retries = 0
    for is_request in steps:
        if is_request:
            budget.count_request()
            requests += 1
        else:
            retries += budget.take()
        assert retries <= 1 + share * requests + 1e-6


@pytest.mark.parametrize(("requests", "retries"), [(10, 2), (10_000, 10)])
def test_idle_time_accumulates_limited_tokens(
    requests: int, retries: int
) -> None:
    """Guards against a retry burst after a long time without failures."""
    budget = RetryBudget(0.1)
    for _ in range(requests):
        budget.count_request()
    assert sum(budget.take() for _ in range(50)) == retries
