"""Keys of workspaces, as they appear on the wire.

A key leaves this module as its SHA-256 digest only.
"""

import hashlib
import re

from sardinespool.messages.workflows import UNREADABLE_KEY
from sardinespool.transport.http_messages import HttpRequest

_KEY = re.compile("[!-~]{1,256}")
"""Characters that a header carries unchanged. The keys in the platform's
manifests have 20; the limit bounds the cost of a header."""
_AUTHORIZATION = re.compile(
    f"bearer +({_KEY.pattern}) *", re.ASCII | re.IGNORECASE
)


def digest_of_key(key: str) -> bytes | None:
    """Return the digest of a key, None if no request can carry it."""
    if _KEY.fullmatch(key) is None:
        return None
    return hashlib.sha256(key.encode()).digest()


def read_key_digest(request: HttpRequest) -> bytes:
    """Return the digest of the key that a request carries.

    Returns b"" if it carries none, and `UNREADABLE_KEY` if the header occurs
    twice, names another scheme, or holds no key or one that is too long.
    """
    values = [
        value
        for name, value in request.headers
        if name.lower() == "authorization"
    ]
    if not values:
        return b""
    match = _AUTHORIZATION.fullmatch(values[0])
    if match is None or len(values) > 1:
        return UNREADABLE_KEY
    return hashlib.sha256(match.group(1).encode()).digest()
