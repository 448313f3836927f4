"""Authentication of requests by their bearer tokens."""

import hashlib
import hmac
from collections.abc import Sequence

from sardinespool.errors.transport import AuthenticationError
from sardinespool.errors.transport import PermissionDeniedError
from sardinespool.settings.model import Credential
from sardinespool.transport.http_messages import HttpRequest

_SCHEME = "bearer "


class Credentials:
    """Authenticates requests against the credentials of the settings.

    Every token is compared with all credentials, as SHA-256 digests of equal
    length, so that the response time reveals nothing about the tokens.
    """

    def __init__(self, credentials: Sequence[Credential]) -> None:
        self._credentials = [
            (_digest(credential.token), credential)
            for credential in credentials
        ]

    def require(self, request: HttpRequest, *roles: str) -> Credential:
        """Return the credential of a request if it has one of the roles.

        Raises
        ------
        AuthenticationError
            The token is missing or unknown.
        PermissionDeniedError
            The credential has none of the roles.
        """
        header = request.header("Authorization") or ""
        found: Credential | None = None
        if header[: len(_SCHEME)].lower() == _SCHEME:
            digest = _digest(header[len(_SCHEME) :].strip())
            for known, credential in self._credentials:
                if hmac.compare_digest(known, digest):
                    found = credential
        if found is None:
            raise AuthenticationError(
                "The bearer token is missing or unknown."
            )
        if not set(roles) & set(found.roles):
            raise PermissionDeniedError(
                "The credential does not allow this operation.",
                name=found.name,
                allowed_roles=list(roles),
            )
        return found


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
