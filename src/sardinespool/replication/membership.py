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
    unresponsive: set[str],
) -> Configuration | None:
    """Return a configuration with `identity` as learner, if allowed now.

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
    unresponsive : set of str
        Members that have not acknowledged the leader recently.

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
    old_identity = configuration.find_voter(name)
    if old_identity is not None and old_identity not in unresponsive:
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
    unresponsive: set[str],
) -> Configuration | None:
    """Return the next step of promoting a learner to a voter, if due.

    `responsive` members have acknowledged the leader within the timeout;
    `unresponsive` ones have not. Under a new leader, a member may be in
    neither set.

    The old identity of the same name is removed only if the responsive
    voters are a majority of the current voters. Otherwise the smaller
    configuration could commit what the current one can't.
    """
    for learner in configuration.learners:
        identity = learner.identity
        old_identity = configuration.find_voter(member_name(identity))
        if old_identity is not None and old_identity in responsive:
            return remove_learner(configuration, identity)
        if (
            identity not in responsive
            or match_index_of(identity) < learner.catch_up_index
        ):
            return None
        if old_identity is None:
            return Configuration(
                configuration.initial_members,
                tuple(sorted((*configuration.voters, identity))),
            )
        if old_identity not in unresponsive:
            return None
        remaining = responsive.intersection(configuration.voters)
        if len(remaining) < configuration.majority:
            return None
        return Configuration(
            configuration.initial_members,
            tuple(
                voter
                for voter in configuration.voters
                if voter != old_identity
            ),
            configuration.learners,
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
