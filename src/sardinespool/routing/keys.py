"""Idempotency keys and the home failure domain of each."""

import dataclasses
import random
from collections.abc import Sequence

import xxhash

from sardinespool.requests.keys import FOREIGN_INCARNATION
from sardinespool.requests.keys import parse_key

_RANDOM_BITS = 128
_KEY_LIMIT_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHome:
    """A key, its home domain and the group incarnation that it names.

    `group_incarnation` is empty for a caller's own key, and for a generated
    one whose home's incarnation was not known.
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
    """Return a new key that names its home.

    Parameters
    ----------
    failure_domain : str
        Home of the record.
    group_incarnation : str
        Incarnation of the home group. It is empty for a home in another
        domain than the entry's, whose incarnation the entry does not know.
    unix_ms : int
        Wall clock at generation, in milliseconds.
    generator : random.Random
        Source of the random part; 128 bits make a collision negligible.
    """
    incarnation = group_incarnation or FOREIGN_INCARNATION
    key = f"{failure_domain}.{incarnation}.{unix_ms}.{_random_part(generator)}"
    return KeyHome(key, failure_domain, group_incarnation)


def locate_key(key: str, failure_domains: Sequence[str]) -> KeyHome:
    """Return the home of a key that came with a request.

    A key in the generated format that names a known failure domain lives
    there. Any other key lives in the first domain in rendezvous order.
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

    The order does not depend on the order of `names`, and a name that is
    added or removed changes the first place of its own keys only.
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
    """Tell whether a caller may use this key: 1 to 200 printable ASCII."""
    return 0 < len(key) <= _KEY_LIMIT_CHARACTERS and all(
        "!" <= character <= "~" for character in key
    )


def _random_part(generator: random.Random) -> str:
    digits = _RANDOM_BITS // 4
    return f"{generator.getrandbits(_RANDOM_BITS):0{digits}x}"
