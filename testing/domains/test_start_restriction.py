"""Tests of the service state of a failure domain."""

from typing import Any

import pytest

from sardinespool.domains.start_restriction import is_in_service
from sardinespool.messages.configuration import Configuration


@pytest.mark.parametrize(
    ("values", "in_service"),
    [
        ({}, True),
        ({"failure_domains/sur": {"state": "out-of-service"}}, True),
        ({"failure_domains/centro": {"state": "in-service"}}, True),
        ({"failure_domains/centro": {"state": "out-of-service"}}, False),
    ],
)
def test_service_state_of_a_configuration(
    values: dict[str, Any], in_service: bool
) -> None:
    """Guards against starts in a domain that is out of service (R4)."""
    configuration = Configuration(version=1, values=values)
    assert is_in_service(configuration, "centro") == in_service
