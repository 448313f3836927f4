"""Members that take the heartbeats of workers."""

import collections

import pytest

from sardinespool.programs.controller.heartbeat_targets import (
    CONNECTIONS_PER_WORKER,
)
from sardinespool.programs.controller.heartbeat_targets import heartbeat_target
from sardinespool.programs.controller.heartbeat_targets import (
    spreads_heartbeats,
)

MEMBERS = ("a", "b", "c", "d", "e", "f")


@pytest.mark.parametrize(
    ("own", "leader", "members", "spread", "expected"),
    [
        ("a", "a", MEMBERS, False, {"a"}),
        ("b", "a", MEMBERS, False, {"a"}),
        ("b", "", MEMBERS, True, {""}),
        ("b", "a", MEMBERS, True, {"b"}),
        ("a", "a", MEMBERS, True, {"b", "c", "d", "e", "f"}),
        ("a", "a", ("a",), True, {"a"}),
    ],
)
def test_heartbeat_target(
    own: str,
    leader: str,
    members: tuple[str, ...],
    spread: bool,
    expected: set,
) -> None:
    """Guards against a leader that keeps all heartbeats of a large fleet."""
    targets = {
        heartbeat_target(own, leader, members, f"w{number}", 7, spread)
        for number in range(100)
    }
    assert targets == expected


def test_a_dead_member_is_not_named_for_ever() -> None:
    """Guards against a worker that is sent to the same dead member again."""
    targets = {
        heartbeat_target("a", "a", MEMBERS, "w", sequence, True)
        for sequence in range(2)
    }
    assert len(targets) == 2


def test_the_leader_stays_within_its_descriptors() -> None:
    """Guards against descriptors that run out with 1,500 workers."""
    workers, descriptors = 1_500, 4_096
    assert spreads_heartbeats(workers, descriptors)
    counts = collections.Counter(
        heartbeat_target("a", "a", MEMBERS, f"w{number}", 1, True)
        for number in range(workers)
    )
    calls = (CONNECTIONS_PER_WORKER - 1) * workers
    assert calls + counts["a"] < 0.75 * descriptors
    assert max(counts.values()) < 0.1 * descriptors
    assert not spreads_heartbeats(680, descriptors)
