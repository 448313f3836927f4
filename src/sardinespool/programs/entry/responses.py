"""HTTP answers that the entry itself creates."""

from typing import Any
from typing import Literal

import msgspec

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import ReplicationError
from sardinespool.errors.requests import OutcomeUnknownError
from sardinespool.errors.transport import CallTimeoutError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.transport.http_messages import Headers
from sardinespool.transport.http_messages import HttpResponse

Outcome = Literal["answered", "not-run", "unknown"]

OUTCOME_HEADER = "Sardinespool-Outcome"
_OUTCOMES: dict[str, Outcome] = {
    "answered": "answered",
    "not-run": "not-run",
}
_JSON_CONTENT_TYPE = ("Content-Type", "application/json")


def json_response(value: Any, status: int = 200) -> HttpResponse:
    """Return an answer with a struct or plain values as JSON."""
    return HttpResponse(
        status,
        (_JSON_CONTENT_TYPE, (OUTCOME_HEADER, "answered")),
        msgspec.json.encode(value),
    )


def error_response(
    error: SardinespoolError,
    outcome: Outcome,
    headers: Headers = (),
) -> HttpResponse:
    """Return an answer with a typed error as JSON.

    Parameters
    ----------
    error : SardinespoolError
        Provides the status and the code, text and details of the body.
    outcome : str
        Whether the request was run.
    headers : Headers
        Additional headers.
    """
    body = msgspec.json.encode(
        {"code": error.code, "text": error.text, "details": error.details},
        enc_hook=str,
    )
    return HttpResponse(
        error.http_status,
        (_JSON_CONTENT_TYPE, (OUTCOME_HEADER, outcome), *headers),
        body,
    )


def outcome_of_error(error: SardinespoolError) -> Outcome:
    """Return the outcome of a failed call to a group.

    Without a reply from the group the request may have taken effect. All of
    these requests are safe to resend.
    """
    match error:
        case (
            ReplicationError()
            | ConnectionLostError()
            | CallTimeoutError()
            | OutcomeUnknownError()
        ):
            return "unknown"
        case _:
            return "not-run"


def outcome_from_headers(headers: Headers) -> Outcome:
    """Return the outcome that another entry reported, or ``unknown``."""
    for name, value in headers:
        if name.lower() == OUTCOME_HEADER.lower():
            return _OUTCOMES.get(value.lower(), "unknown")
    return "unknown"
