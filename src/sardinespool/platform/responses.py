"""HTTP responses of the request handlers."""

import msgspec

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.transport.http_messages import Headers
from sardinespool.transport.http_messages import HttpResponse

_JSON_CONTENT_TYPE = ("Content-Type", "application/json")
_ENCODER = msgspec.json.Encoder()
RETRY_AFTER_S = 1
"""Delay before a retry; a leader election takes 1.5 s at most."""


def json_response(status: int, body: object) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, (_JSON_CONTENT_TYPE,), _ENCODER.encode(body))


def error_response(error: SardinespoolError) -> HttpResponse:
    """Return the response that reports an error.

    Status 503 means that nothing was run or stored, and comes with a
    ``Retry-After`` header, whose time may be in the error's details. Status
    504 means that the outcome is unknown. Status 401 and 403 report a key of
    no workspace, and one of a workspace other than that of the job.
    """
    status = error.http_status
    if isinstance(error, ProposalLostError) or (
        isinstance(error, GroupUnavailableError) and error.details.get("sent")
    ):
        status = 504
    headers: Headers = (_JSON_CONTENT_TYPE,)
    if status == 401:
        headers += (("WWW-Authenticate", "Bearer"),)
    if status in (429, 503):
        retry_s = error.details.get("retry_after_s", RETRY_AFTER_S)
        headers += (("Retry-After", str(retry_s)),)
    body = {"error": error.code, "text": error.text}
    return HttpResponse(status, headers, _ENCODER.encode(body))
