"""Group membership, as stored in the log and in snapshots."""

import msgspec
import xxhash

from sardinespool.replication.identity import member_name


class Learner(msgspec.Struct, frozen=True):
    """A non-voting member that receives the log.

    It may be promoted to a voter once its log reaches `catch_up_index`, the
    leader's last index when the learner was added.
    """

    identity: str
    catch_up_index: int


class Configuration(msgspec.Struct, frozen=True):
    """Members of a group; takes effect as soon as it is appended.

    `initial_members` are the identities that formed the group. They never
    change and distinguish two groups of the same name.
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
        """Number of voters in a quorum."""
        return len(self.voters) // 2 + 1

    def find_voter(self, name: str) -> str | None:
        """Return the identity of the voter with this name, if any."""
        for voter in self.voters:
            if member_name(voter) == name:
                return voter
        return None


def formation_id(initial_members: tuple[str, ...]) -> str:
    """Return a hash of the initial members that identifies the group."""
    return xxhash.xxh64_hexdigest("\n".join(initial_members).encode())


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration as the payload of an entry."""
    return msgspec.msgpack.encode(configuration)


def decode_configuration(payload: bytes) -> Configuration:
    """Decode the payload of a configuration entry."""
    return msgspec.msgpack.decode(payload, type=Configuration)
