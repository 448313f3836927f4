"""Identities of group members.

An identity is ``name#incarnation``. The incarnation is generated at random
when a data folder is created, so a member that lost its disk rejoins under a
new identity and can't vote twice under the old one.
"""


def make_identity(name: str, incarnation: str) -> str:
    """Return the identity of a member with this name and incarnation."""
    return f"{name}#{incarnation}"


def member_name(identity: str) -> str:
    """Return the configured member name of an identity."""
    return identity.partition("#")[0]
