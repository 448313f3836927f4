"""Tests of idempotency keys and their home groups."""

import random

import pytest

from sardinespool.messages.requests import BeginRequest
from sardinespool.requests.keys import check_key
from sardinespool.routing import keys
from testing.routing.builders import DOMAINS
from testing.routing.builders import key_source
from testing.routing.builders import START


@pytest.mark.parametrize("incarnation", ["inc", ""])
@pytest.mark.parametrize("domain", DOMAINS)
def test_generated_key_locates_its_home(domain: str, incarnation: str) -> None:
    """Guards against a repeat that looks in a group without the record."""
    generator = random.Random(1)
    home = keys.generate_key(domain, incarnation, START.unix_ms, generator)
    assert keys.locate_key(home.key, DOMAINS) == home
    request = BeginRequest(
        key=home.key,
        body_digest="d",
        entry_id="e1",
        attempt_id="a",
        send_deadline_unix_ms=START.unix_ms + 1,
        group_incarnation=home.group_incarnation,
    )
    # The home group accepts it as a new key of its own.
    assert check_key(request, domain, "inc", START.unix_ms) is None


@pytest.mark.parametrize(
    "key", ["order-7", "elsewhere.inc.1700000000000.00ff", "a.b.c.d"]
)
def test_caller_key_home_ignores_domain_order(key: str) -> None:
    """Guards against entries that disagree if their settings are reordered."""
    homes = {
        keys.locate_key(key, order).failure_domain
        for order in (DOMAINS, DOMAINS[::-1], ("norte", "centro", "sur"))
    }
    assert len(homes) == 1
    assert keys.locate_key(key, DOMAINS).group_incarnation == ""


def test_removed_domain_moves_only_its_own_keys() -> None:
    """Guards against moving the home of keys of other failure domains."""
    for number in range(200):
        home, second, _ = keys.rendezvous_order(f"k{number}", DOMAINS)
        rest = [name for name in DOMAINS if name != "sur"]
        expected = second if home == "sur" else home
        assert keys.rendezvous_order(f"k{number}", rest)[0] == expected


def test_unreachable_own_group_is_tried_last() -> None:
    """Guards against each request waiting for an unreachable group."""
    source = key_source()
    assert source.homes("r")[0] == "centro"
    source.own_group_reachable = False
    assert source.homes("r")[-1] == "centro"
    assert sorted(source.homes("r")) == sorted(DOMAINS)
