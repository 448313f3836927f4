"""Members of a group, as stored in the log and in snapshots."""

import msgspec
import xxhash

from sardinespool.replication.identity import name_of


class Learner(msgspec.Struct, frozen=True):
    """A member that receives the log and doesn't vote.

    It may be promoted once its log reaches `catch_up_index`, the leader's
    last index at the admission.
    """

    identity: str
    catch_up_index: int


class Configuration(msgspec.Struct, frozen=True):
    """Members of a group; in force from the moment it is in the log.

    `initial_members` are the identities that formed the group and never
    change; they tell two groups of the same name apart.
    """

    initial_members: tuple[str, ...]
    voters: tuple[str, ...]
    learners: tuple[Learner, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """Identities of voters and learners."""
        return self.voters + tuple(item.identity for item in self.learners)

    @property
    def majority(self) -> int:
        """Number of voters that decide."""
        return len(self.voters) // 2 + 1

    def voter_named(self, name: str) -> str | None:
        """Return the identity of the voter of this name."""
        for voter in self.voters:
            if name_of(voter) == name:
                return voter
        return None


def formation_of(initial_members: tuple[str, ...]) -> str:
    """Return a short identifier of a group's formation."""
    return xxhash.xxh64_hexdigest("\n".join(initial_members).encode())


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode for the payload of an entry."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(payload: bytes) -> Configuration:
    """Decode the payload of a configuration entry."""
    return msgspec.msgpack.decode(payload, type=Configuration)
