"""Digest that identifies the content of a patch in an approval."""

import hashlib

import msgspec

from sardinespool.messages.configuration import Change

_CANONICAL_ENCODER = msgspec.json.Encoder(order="deterministic")


def patch_digest(base_version: int, changes: tuple[Change, ...]) -> str:
    """Return the SHA-256 of the base version and the changes, in hex.

    Mappings are encoded with sorted keys, so the digest does not depend on
    the key order of the client's request.
    """
    return hashlib.sha256(
        _CANONICAL_ENCODER.encode([base_version, changes])
    ).hexdigest()
