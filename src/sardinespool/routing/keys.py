"""Idempotency keys and the failure domain that stores each record."""

import dataclasses
import random
from collections.abc import Sequence

import xxhash

from sardinespool.requests.keys import FOREIGN_INCARNATION
from sardinespool.requests.keys import parse_key

_RANDOM_BITS = 128
_MAX_KEY_LENGTH = 200


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHome:
    """A key, its home domain and the group incarnation that it names.

    `group_incarnation` is empty for a caller's key, and for a generated key
    if the incarnation of its home was unknown.
    """

    key: str
    failure_domain: str
    group_incarnation: str


def generate_key(
    failure_domain: str,
    group_incarnation: str,
    unix_ms: int,
    generator: random.Random,
) -> KeyHome:
    """Return a new key that includes the name of its home.

    Parameters
    ----------
    failure_domain : str
        Failure domain that stores the record.
    group_incarnation : str
        Incarnation of the home group; empty if the home is in another
        failure domain, whose incarnation the entry does not know.
    unix_ms : int
        Wall clock at generation, in milliseconds.
    generator : random.Random
        Random number generator; 128 bits make a collision negligible.
    """
    incarnation = group_incarnation or FOREIGN_INCARNATION
    key = f"{failure_domain}.{incarnation}.{unix_ms}.{_random_part(generator)}"
    return KeyHome(key, failure_domain, group_incarnation)


def locate_key(key: str, failure_domains: Sequence[str]) -> KeyHome:
    """Return the home of a key that came with a request.

    The record of a key in the generated format is stored in the failure
    domain that the key names, if that is known. Any other record is stored
    in the first domain in rendezvous order.
    """
    parsed = parse_key(key)
    if parsed is not None and parsed.failure_domain in failure_domains:
        incarnation = parsed.group_incarnation
        if incarnation == FOREIGN_INCARNATION:
            incarnation = ""
        return KeyHome(key, parsed.failure_domain, incarnation)
    return KeyHome(key, rendezvous_order(key, failure_domains)[0], "")


def rendezvous_order(key: str, names: Sequence[str]) -> list[str]:
    """Return `names` by descending xxh64 weight for `key`.

    Rendezvous hashing: the result does not depend on the order of `names`,
    and adding or removing a name changes the first place only for the keys
    of that name.
    """
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh64_intdigest(f"{key}\0{name}".encode()),
            name,
        ),
        reverse=True,
    )


def is_valid_key(key: str) -> bool:
    """Return whether a key is 1 to 200 printable ASCII, without spaces."""
    return 0 < len(key) <= _MAX_KEY_LENGTH and all(
        "!" <= character <= "~" for character in key
    )


def _random_part(generator: random.Random) -> str:
    digits = _RANDOM_BITS // 4
    return f"{generator.getrandbits(_RANDOM_BITS):0{digits}x}"
