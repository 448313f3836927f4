"""One-at-a-time membership changes, as functions of configurations."""

from collections.abc import Callable

from sardinespool.replication.configuration import Configuration
from sardinespool.replication.configuration import Learner
from sardinespool.replication.identity import name_of
from sardinespool.replication.settings import VOTERS_MIN


def with_learner(
    configuration: Configuration,
    leader: str,
    identity: str,
    catch_up_index: int,
    silent: set[str],
) -> Configuration | None:
    """Return the configuration that admits `identity`, if it may be.

    Parameters
    ----------
    leader : str
        Identity of the leader that decides.
    catch_up_index : int
        Last index of the leader's log.
    silent : set of str
        Members that have not acknowledged the leader for long.

    Returns
    -------
    Configuration or None
        None if nothing may change now. A learner of the same name is
        removed first, and the member is admitted when it asks again.
    """
    name = name_of(identity)
    if identity in configuration.members or name == name_of(leader):
        return None
    for learner in configuration.learners:
        if name_of(learner.identity) == name:
            return without_learner(configuration, learner.identity)
        return None
    old = configuration.voter_named(name)
    if old is not None and old not in silent:
        return None
    return Configuration(
        configuration.initial_members,
        configuration.voters,
        (Learner(identity, catch_up_index),),
    )


def next_change(
    configuration: Configuration,
    match_of: Callable[[str], int],
    responsive: set[str],
    silent: set[str],
) -> Configuration | None:
    """Return the next step of a learner's way to a voter, if it is due.

    `responsive` members have acknowledged the leader recently and `silent`
    ones have not for long; a member may be neither under a new leader.

    The old identity of the name is removed only if the other voters that
    respond are a majority of the present voters. Otherwise the removal
    could decide alone what the old configuration could not.
    """
    for learner in configuration.learners:
        identity = learner.identity
        old = configuration.voter_named(name_of(identity))
        if old is not None and old in responsive:
            return without_learner(configuration, identity)
        if (
            identity not in responsive
            or match_of(identity) < learner.catch_up_index
        ):
            return None
        if old is None:
            return Configuration(
                configuration.initial_members,
                tuple(sorted((*configuration.voters, identity))),
            )
        if old not in silent:
            return None
        remaining = responsive.intersection(configuration.voters)
        if len(remaining) < configuration.majority:
            return None
        return Configuration(
            configuration.initial_members,
            tuple(voter for voter in configuration.voters if voter != old),
            configuration.learners,
        )
    return None


def without_dead_voter(
    configuration: Configuration, responsive: set[str], dead: set[str]
) -> Configuration | None:
    """Return the configuration without one voter that is taken for dead.

    Parameters
    ----------
    responsive : set of str
        Members that have acknowledged the leader recently.
    dead : set of str
        Members that have been silent for long.

    Returns
    -------
    Configuration or None
        None unless the others that respond decide alone and are enough to
        bear a further loss.
    """
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


def without_learner(
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
