"""Synchronous client of the operator API of entries."""

import urllib.parse
from typing import Any

import msgspec
import tornado.httpclient

from sardinespool.errors import error_from_code
from sardinespool.errors import SardinespoolError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import TransportError
from sardinespool.messages.decoding import decode
from sardinespool.settings.model import OperatorSettings

CONNECT_TIMEOUT_S = 2.0
# An entry searches for the leader of a group for several seconds before it
# replies that the group is unavailable.
REQUEST_TIMEOUT_S = 15.0
# With these error codes, the request may succeed at another entry.
RETRIED_ERROR_CODES = ("not-ready", "group-unavailable", "not-leader")


class EntryUnreachableError(TransportError):
    """None of the entries in the settings could be reached."""


class OperatorClient:
    """Sends each request to the first entry that can handle it.

    A request may be sent to several entries, so every request must be
    idempotent.

    Parameters
    ----------
    settings : OperatorSettings
        Entries and credentials.
    """

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings
        self._http = tornado.httpclient.HTTPClient()

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def get(self, path: str, **query: str) -> Any:
        """Send a GET and return the decoded JSON response."""
        nonempty_query = {key: value for key, value in query.items() if value}
        if nonempty_query:
            path += "?" + urllib.parse.urlencode(nonempty_query)
        return self._request("GET", path, None)

    def post(self, path: str, body: Any = None) -> Any:
        """Send a POST and return the decoded JSON response."""
        return self._request("POST", path, msgspec.json.encode(body or {}))

    def _request(self, method: str, path: str, body: bytes | None) -> Any:
        refusal: SardinespoolError | None = None
        failures: dict[str, str] = {}
        for entry in self._settings.entries:
            try:
                return self._request_entry(entry, method, path, body)
            except (tornado.httpclient.HTTPError, OSError) as error:
                failures[entry] = str(error)
            except SardinespoolError as error:
                if error.code not in RETRIED_ERROR_CODES:
                    raise
                refusal = error
        if refusal is not None:
            raise refusal
        raise EntryUnreachableError(
            "No entry could be reached.", failures=failures
        )

    def _request_entry(
        self, entry: str, method: str, path: str, body: bytes | None
    ) -> Any:
        authority_file = self._settings.tls_authority_file
        scheme = "https" if authority_file else "http"
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
            ca_certs=authority_file or None,
        )
        response = self._http.fetch(request, raise_error=False)
        if response.code == 599:
            # Tornado reports a failed or timed-out connection as 599.
            response.rethrow()
        if response.code != 200:
            raise _error_from_response(entry, response.code, response.body)
        try:
            return decode(msgspec.json.Decoder(), response.body)
        except InvalidMessageError as error:
            raise InvalidMessageError(
                f"{entry} did not return valid JSON", entry=entry
            ) from error


class _ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    code: str
    text: str = ""
    details: dict[str, Any] = {}


def _error_from_response(
    entry: str, status: int, body: bytes
) -> SardinespoolError:
    try:
        refusal = decode(msgspec.json.Decoder(_ErrorBody), body)
    except InvalidMessageError:
        return InvalidMessageError(
            f"{entry} returned status {status} without an error code",
            entry=entry,
            status=status,
        )
    details = {
        key: value for key, value in refusal.details.items() if key != "text"
    }
    error = error_from_code(refusal.code, refusal.text, details)
    # A newer server may use a code that this program does not know.
    error.details.setdefault("code", refusal.code)
    return error
