"""Synchronous client of the entries' operator interface."""

import urllib.parse
from typing import Any

import msgspec
import tornado.httpclient

from sardinespool.errors import error_from_code
from sardinespool.errors import SardinespoolError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import TransportError
from sardinespool.settings.model import OperatorSettings

CONNECT_TIMEOUT_S = 2.0
# An entry looks for the leader of a group for several seconds before it
# answers that the group is unavailable.
REQUEST_TIMEOUT_S = 15.0
# Another entry may have what these say is missing at this one.
RETRIED_CODES = ("not-ready", "group-unavailable", "not-leader")


class EntryUnreachableError(TransportError):
    """No entry of the settings answered."""


class OperatorClient:
    """Sends requests to the first entry that answers.

    Every request may be sent more than once, so all of them must be safe to
    resend.
    """

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        self._http = tornado.httpclient.HTTPClient()

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def get(self, path: str, **query: str) -> Any:
        """Return the decoded JSON of a GET."""
        given = {key: value for key, value in query.items() if value}
        if given:
            path += "?" + urllib.parse.urlencode(given)
        return self._request("GET", path, None)

    def post(self, path: str, body: Any = None) -> Any:
        """Return the decoded JSON of a POST."""
        return self._request("POST", path, msgspec.json.encode(body or {}))

    def _request(self, method: str, path: str, body: bytes | None) -> Any:
        refusal: SardinespoolError | None = None
        failures: dict[str, str] = {}
        for entry in self._settings.entries:
            try:
                return self._request_one(entry, method, path, body)
            except (tornado.httpclient.HTTPError, OSError) as error:
                failures[entry] = str(error)
            except SardinespoolError as error:
                if error.code not in RETRIED_CODES:
                    raise
                refusal = error
        if refusal is not None:
            raise refusal
        raise EntryUnreachableError("No entry answered.", failures=failures)

    def _request_one(
        self, entry: str, method: str, path: str, body: bytes | None
    ) -> Any:
        authority = self._settings.tls_authority_file
        scheme = "https" if authority else "http"
        request = tornado.httpclient.HTTPRequest(
            f"{scheme}://{entry}/v1/operator/{path}",
            method=method,
            headers={
                "Authorization": f"Bearer {self._settings.token}",
                "Content-Type": "application/json",
            },
            body=body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            follow_redirects=False,
            ca_certs=authority or None,
        )
        response = self._http.fetch(request, raise_error=False)
        if response.code == 599:
            # tornado's code for a connection that failed or timed out.
            response.rethrow()
        if response.code != 200:
            raise _refusal(entry, response.code, response.body)
        try:
            return msgspec.json.decode(response.body)
        except msgspec.MsgspecError as error:
            raise InvalidMessageError(
                f"{entry} answered no JSON", entry=entry
            ) from error


class _Refusal(msgspec.Struct, frozen=True, kw_only=True):
    code: str
    text: str = ""
    details: dict[str, Any] = {}


def _refusal(entry: str, status: int, body: bytes) -> SardinespoolError:
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except msgspec.MsgspecError:
        return InvalidMessageError(
            f"{entry} answered status {status} without a typed error",
            entry=entry,
            status=status,
        )
    details = {
        key: value for key, value in refusal.details.items() if key != "text"
    }
    error = error_from_code(refusal.code, refusal.text, details)
    # A newer system may use a code that this program does not know.
    error.details.setdefault("code", refusal.code)
    return error
