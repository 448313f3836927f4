"""Membership changes as functions of configurations."""

import pytest

from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import Learner
from sardinespool.replication.membership import next_change
from sardinespool.replication.membership import with_learner
from sardinespool.replication.membership import without_dead_voter

THREE = ("a#1", "b#1", "c#1")
TWO = ("a#1", "b#1")


def group(
    voters: tuple[str, ...], *learners: tuple[str, int]
) -> Configuration:
    return Configuration(
        THREE, voters, tuple(Learner(*item) for item in learners)
    )


@pytest.mark.parametrize(
    ("before", "match", "responsive", "silent", "after"),
    [
        # Without a learner, nothing is due.
        (group(THREE), 9, "a#1 b#1", "c#1", None),
        # Behind the log at its admission.
        (group(THREE, ("c#2", 9)), 8, "a#1 b#1 c#2", "c#1", None),
        # The old identity goes first, then the new one votes.
        (
            group(THREE, ("c#2", 9)),
            9,
            "a#1 b#1 c#2",
            "c#1",
            group(TWO, ("c#2", 9)),
        ),
        (
            group(TWO, ("c#2", 9)),
            9,
            "a#1 b#1 c#2",
            "",
            group(("a#1", "b#1", "c#2")),
        ),
        # No majority of the old voters answers.
        (group(THREE, ("c#2", 9)), 9, "a#1 c#2", "b#1 c#1", None),
        (group(TWO, ("b#2", 9)), 9, "a#1 b#2", "b#1", None),
        # A new leader does not know yet whether the old identity is gone.
        (group(THREE, ("c#2", 9)), 9, "a#1 b#1 c#2", "", None),
        # The old identity is back.
        (group(THREE, ("c#2", 9)), 9, "a#1 c#1 c#2", "", group(THREE)),
        # The learner is gone again.
        (group(TWO, ("c#2", 9)), 9, "a#1 b#1", "c#2", None),
    ],
)
def test_next_change(
    before: Configuration,
    match: int,
    responsive: str,
    silent: str,
    after: Configuration | None,
) -> None:
    """Guards against a voter that weakens a quorum."""
    change = next_change(
        before,
        lambda identity: match,
        set(responsive.split()),
        set(silent.split()),
    )
    assert change == after


@pytest.mark.parametrize(
    ("before", "identity", "silent", "after"),
    [
        (group(THREE), "c#2", "c#1", group(THREE, ("c#2", 7))),
        # The old identity still answers.
        (group(THREE), "c#2", "", None),
        # One change at a time.
        (group(THREE, ("c#2", 7)), "b#2", "b#1 c#1", None),
        # The learner lost its disk as well.
        (group(THREE, ("c#2", 7)), "c#3", "c#1", group(THREE)),
        # Members, and a second process with the leader's name.
        (group(THREE), "c#1", "", None),
        (group(THREE), "a#2", "", None),
    ],
)
def test_admission(
    before: Configuration,
    identity: str,
    silent: str,
    after: Configuration | None,
) -> None:
    """Guards against two changes at once and a copied name."""
    assert (
        with_learner(before, "a#1", identity, 7, set(silent.split())) == after
    )


@pytest.mark.parametrize(
    ("voters", "responsive", "dead", "after"),
    [
        # A successor votes already: the silent voter goes.
        ("a b c d", "a b d", "c", "a b d"),
        # Without a successor, three are kept to bear a further loss.
        ("a b c", "a b", "c", None),
        # Nobody is dead.
        ("a b c d", "a b c d", "", None),
        # The others that respond are no majority.
        ("a b c d e f", "a b c", "d e f", None),
        # One at a time.
        ("a b c d e", "a b c", "d e", "a b c e"),
    ],
)
def test_dead_voter_is_removed(
    voters: str, responsive: str, dead: str, after: str | None
) -> None:
    """Guards against a lost machine that counts as a voter for ever."""
    change = without_dead_voter(
        group(tuple(voters.split())),
        set(responsive.split()),
        set(dead.split()),
    )
    assert (change and change.voters) == (after and tuple(after.split()))
