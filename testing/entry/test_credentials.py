"""Credentials of the settings, which are the only copy."""

import pytest

from sardinespool.errors.transport import AuthenticationError
from sardinespool.errors.transport import PermissionDeniedError
from sardinespool.programs.entry.credentials import Credentials
from sardinespool.transport.http_messages import HttpRequest
from testing.entry.harness import CREDENTIALS


def request_with(token: str) -> HttpRequest:
    headers = (("Authorization", f"Bearer {token}"),) if token else ()
    return HttpRequest("GET", "/", headers)


@pytest.mark.parametrize("withdrawn", [item.name for item in CREDENTIALS])
def test_withdrawn_credential_is_refused_after_a_restart(
    withdrawn: str,
) -> None:
    """Guards against a withdrawn key that a restarted process accepts."""
    left = [item for item in CREDENTIALS if item.name != withdrawn]
    restarted = Credentials(left)
    for item in CREDENTIALS:
        request = request_with(item.token)
        if item.name == withdrawn:
            with pytest.raises(AuthenticationError):
                restarted.require(request, *item.roles)
        else:
            assert restarted.require(request, *item.roles) is item


@pytest.mark.parametrize(
    ("token", "error"),
    [
        ("", AuthenticationError),
        ("unheard-of", AuthenticationError),
        ("caller", PermissionDeniedError),
    ],
)
def test_request_without_the_role_is_refused(
    token: str, error: type[Exception]
) -> None:
    """Guards against a key that opens more than its roles."""
    with pytest.raises(error):
        Credentials(CREDENTIALS).require(request_with(token), "operator")
