"""Digest that an approval is bound to."""

import hashlib

import msgspec

from sardinespool.messages.configuration import Change

_ENCODER = msgspec.json.Encoder(order="deterministic")


def patch_digest(base_version: int, changes: tuple[Change, ...]) -> str:
    """Return the SHA-256 of the base version and the changes, in hex.

    Mappings are encoded with sorted keys, so that the digest does not depend
    on the order in which a client wrote them.
    """
    return hashlib.sha256(_ENCODER.encode([base_version, changes])).hexdigest()
