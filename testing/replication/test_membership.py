"""Tests of membership changes as functions of configurations."""

import pytest

from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import Learner
from sardinespool.replication.membership import add_learner
from sardinespool.replication.membership import next_membership_change
from sardinespool.replication.membership import remove_dead_voter

THREE_VOTERS = ("a#1", "b#1", "c#1")
TWO_VOTERS = ("a#1", "b#1")


def configuration_of(
    voters: tuple[str, ...], *learners: tuple[str, int]
) -> Configuration:
    return Configuration(
        THREE_VOTERS, voters, tuple(Learner(*item) for item in learners)
    )


@pytest.mark.parametrize(
    ("before", "match_index", "responsive", "present", "after"),
    [
        # Without a learner, no change is due.
        (configuration_of(THREE_VOTERS), 9, "a#1 b#1", "a#1 b#1", None),
        # The learner has not caught up yet.
        (
            configuration_of(THREE_VOTERS, ("c#2", 9)),
            8,
            "a#1 b#1 c#2",
            "a#1 b#1 c#2",
            None,
        ),
        # The learner takes the place of the lost identity in one step, also
        # if that one has acknowledged the leader shortly before.
        (
            configuration_of(THREE_VOTERS, ("c#2", 9)),
            9,
            "a#1 b#1 c#2",
            "a#1 b#1 c#2",
            configuration_of(("a#1", "b#1", "c#2")),
        ),
        (
            configuration_of(THREE_VOTERS, ("c#2", 9)),
            9,
            "a#1 b#1 c#1 c#2",
            "a#1 b#1 c#2",
            configuration_of(("a#1", "b#1", "c#2")),
        ),
        (
            configuration_of(TWO_VOTERS, ("c#2", 9)),
            9,
            "a#1 b#1 c#2",
            "a#1 b#1 c#2",
            configuration_of(("a#1", "b#1", "c#2")),
        ),
        # The responsive voters are not a majority of the current voters.
        (
            configuration_of(THREE_VOTERS, ("c#2", 9)),
            9,
            "a#1 c#2",
            "a#1 c#2",
            None,
        ),
        (
            configuration_of(TWO_VOTERS, ("b#2", 9)),
            9,
            "a#1 b#2",
            "a#1 b#2",
            None,
        ),
        # A new leader does not know yet whether the learner is up.
        (
            configuration_of(THREE_VOTERS, ("c#2", 9)),
            9,
            "a#1 b#1",
            "a#1 b#1",
            None,
        ),
        # The old identity is up, so the request of the learner was an old one.
        (
            configuration_of(THREE_VOTERS, ("c#2", 9)),
            9,
            "a#1 c#1",
            "a#1 c#1",
            configuration_of(THREE_VOTERS),
        ),
        # The leader itself has the name of the learner.
        (
            configuration_of(THREE_VOTERS, ("a#2", 9)),
            9,
            "a#1 b#1",
            "a#1",
            configuration_of(THREE_VOTERS),
        ),
        # The learner does not respond.
        (configuration_of(TWO_VOTERS, ("c#2", 9)), 9, "a#1 b#1", "a#1", None),
    ],
)
def test_next_change(
    before: Configuration,
    match_index: int,
    responsive: str,
    present: str,
    after: Configuration | None,
) -> None:
    """A replacement never leaves the group without a safe quorum."""
    change = next_membership_change(
        before,
        lambda identity: match_index,
        set(responsive.split()),
        set(present.split()),
    )
    assert change == after


@pytest.mark.parametrize(
    ("before", "identity", "after"),
    [
        # Whether the old identity is up shows only once the learner answers.
        (
            configuration_of(THREE_VOTERS),
            "c#2",
            configuration_of(THREE_VOTERS, ("c#2", 7)),
        ),
        # Another change is in progress.
        (configuration_of(THREE_VOTERS, ("c#2", 7)), "b#2", None),
        # The learner lost its disk too, so its identity is removed first.
        (
            configuration_of(THREE_VOTERS, ("c#2", 7)),
            "c#3",
            configuration_of(THREE_VOTERS),
        ),
        # An existing member, and a second process with the leader's name.
        (configuration_of(THREE_VOTERS), "c#1", None),
        (configuration_of(THREE_VOTERS), "a#2", None),
    ],
)
def test_add_learner(
    before: Configuration, identity: str, after: Configuration | None
) -> None:
    """Only one change is in progress, and duplicate names are rejected."""
    assert add_learner(before, "a#1", identity, 7) == after


@pytest.mark.parametrize(
    ("voters", "responsive", "dead", "after"),
    [
        # A replacement is already a voter: the dead voter is removed.
        ("a b c d", "a b d", "c", "a b d"),
        # Without a replacement, three voters stay to tolerate one failure.
        ("a b c", "a b", "c", None),
        # No voter is dead.
        ("a b c d", "a b c d", "", None),
        # The responsive voters are not a majority.
        ("a b c d e f", "a b c", "d e f", None),
        # Only one voter is removed at a time.
        ("a b c d e f", "a b c d", "e f", "a b c d f"),
        # Five voters need three as four do, and keep the disks of the dead.
        ("a b c d e", "a b c", "d e", None),
        ("a b c d e", "a b c d", "e", None),
    ],
)
def test_remove_dead_voter(
    voters: str, responsive: str, dead: str, after: str | None
) -> None:
    """A voter on a permanently lost host must not count in the quorum."""
    change = remove_dead_voter(
        configuration_of(tuple(voters.split())),
        set(responsive.split()),
        set(dead.split()),
    )
    assert (change and change.voters) == (after and tuple(after.split()))
