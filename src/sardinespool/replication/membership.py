"""Single-server membership changes, as functions of configurations."""

from collections.abc import Callable

from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import Learner
from sardinespool.replication.identity import member_name
from sardinespool.replication.settings import VOTERS_MIN


def add_learner(
    configuration: Configuration,
    leader: str,
    identity: str,
    catch_up_index: int,
) -> Configuration | None:
    """Return a configuration with `identity` as learner, if allowed now.

    A learner changes no quorum, so it is added at once, also beside a voter
    of the same name: that one may have lost its disk, or the request may be
    an old one.

    Parameters
    ----------
    configuration : Configuration
        Current configuration.
    leader : str
        Identity of the leader that proposes the change.
    identity : str
        Identity of the member that sent a join request.
    catch_up_index : int
        Last index of the leader's log.

    Returns
    -------
    Configuration or None
        None if no change is allowed now. If a learner of the same name
        exists, the result removes it; the new member is added when it sends
        its next join request.
    """
    name = member_name(identity)
    if identity in configuration.members or name == member_name(leader):
        return None
    for learner in configuration.learners:
        if member_name(learner.identity) == name:
            return remove_learner(configuration, learner.identity)
        return None
    return Configuration(
        configuration.initial_members,
        configuration.voters,
        (Learner(identity, catch_up_index),),
    )


def next_membership_change(
    configuration: Configuration,
    match_index_of: Callable[[str], int],
    responsive: set[str],
    present: set[str],
) -> Configuration | None:
    """Return the next step of promoting a learner to a voter, if due.

    A learner that answers proves that the voter of the same name is gone
    for good: one process at a time uses a name, and its identity was lost
    with its disk. So one step replaces the voter by the learner. All quorums
    that can still form without the lost identity share a member with each
    quorum of the result, and the learner has the entries for which the lost
    identity may have been needed. No moment depends on two of three disks.

    Parameters
    ----------
    configuration : Configuration
        Current configuration.
    match_index_of : callable
        Returns the last index that a learner's log is known to match.
    responsive : set of str
        Members that have acknowledged the leader within the timeout. Under a
        new leader, a member that is up may not be in it yet.
    present : set of str
        Members that have acknowledged a message that was sent since the
        leader tracks the learners, and the leader.
    """
    for learner in configuration.learners:
        identity = learner.identity
        old_identity = configuration.find_voter(member_name(identity))
        if old_identity is not None and old_identity in present:
            return remove_learner(configuration, identity)
        if (
            identity not in responsive
            or match_index_of(identity) < learner.catch_up_index
        ):
            return None
        remaining = responsive.intersection(configuration.voters)
        if (
            old_identity is not None
            and len(remaining) < configuration.majority
        ):
            return None
        return Configuration(
            configuration.initial_members,
            tuple(
                sorted(
                    {*configuration.voters, identity} - {old_identity or ""}
                )
            ),
        )
    return None


def remove_dead_voter(
    configuration: Configuration, responsive: set[str], dead: set[str]
) -> Configuration | None:
    """Return the configuration without one of the dead voters.

    An odd number of voters is never reduced: the majority stays the same, so
    the smaller group tolerates no more failures, and the disk of the dead
    voter no longer counts if others are lost.

    Parameters
    ----------
    configuration : Configuration
        Current configuration.
    responsive : set of str
        Members that have acknowledged the leader recently.
    dead : set of str
        Members that have been silent for `dead_voter_ms` or longer.

    Returns
    -------
    Configuration or None
        None unless the voters are even in number, and the responsive ones
        are a majority and number at least `VOTERS_MIN`, so that the group
        tolerates a further failure.
    """
    if len(configuration.voters) % 2:
        return None
    others = responsive.intersection(configuration.voters)
    if len(others) < max(configuration.majority, VOTERS_MIN):
        return None
    for voter in configuration.voters:
        if voter in dead:
            return Configuration(
                configuration.initial_members,
                tuple(
                    other for other in configuration.voters if other != voter
                ),
                configuration.learners,
            )
    return None


def remove_dead_learner(
    configuration: Configuration, dead: set[str]
) -> Configuration | None:
    """Return the configuration without one of the dead learners, if any.

    Only one member joins at a time, so a dead learner would block all other
    joins. If it returns, it joins again.
    """
    for learner in configuration.learners:
        if learner.identity in dead:
            return remove_learner(configuration, learner.identity)
    return None


def remove_learner(
    configuration: Configuration, identity: str
) -> Configuration:
    """Return the configuration without this learner."""
    return Configuration(
        configuration.initial_members,
        configuration.voters,
        tuple(
            learner
            for learner in configuration.learners
            if learner.identity != identity
        ),
    )
