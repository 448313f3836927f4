"""Identities of group members.

An identity is ``name#incarnation``. The incarnation is drawn when a data
folder is created, so a member whose disk was lost returns as another one.
"""


def make_identity(name: str, incarnation: str) -> str:
    """Return the identity of a member's data folder."""
    return f"{name}#{incarnation}"


def name_of(identity: str) -> str:
    """Return the configured name in an identity."""
    return identity.partition("#")[0]
