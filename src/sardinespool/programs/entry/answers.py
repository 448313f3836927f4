"""Answers of the entry itself."""

from typing import Any
from typing import Literal

import msgspec

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import ReplicationError
from sardinespool.errors.requests import OutcomeUnknownError
from sardinespool.errors.transport import CallTimeoutError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.transport.http_messages import Headers
from sardinespool.transport.http_messages import HttpAnswer

Outcome = Literal["answered", "not-run", "unknown"]

OUTCOME_HEADER = "Sardinespool-Outcome"
_OUTCOMES: dict[str, Outcome] = {
    "answered": "answered",
    "not-run": "not-run",
}
_JSON = ("Content-Type", "application/json")


def json_answer(value: Any, status: int = 200) -> HttpAnswer:
    """Return JSON of a struct or of plain values."""
    return HttpAnswer(
        status,
        (_JSON, (OUTCOME_HEADER, "answered")),
        msgspec.json.encode(value),
    )


def error_answer(
    error: SardinespoolError,
    outcome: Outcome,
    headers: Headers = (),
) -> HttpAnswer:
    """Return the JSON of a typed error.

    Parameters
    ----------
    error : SardinespoolError
        Gives the status and the body's code, text and details.
    outcome : str
        Whether the request was run.
    headers : Headers
        Further headers.
    """
    body = msgspec.json.encode(
        {"code": error.code, "text": error.text, "details": error.details},
        enc_hook=str,
    )
    return HttpAnswer(
        error.http_status, (_JSON, (OUTCOME_HEADER, outcome), *headers), body
    )


def outcome_of(error: SardinespoolError) -> Outcome:
    """Return the outcome of a call to a group that failed.

    Without the group's answer the request may have taken effect. All of them
    are safe to resend.
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


def header_outcome(headers: Headers) -> Outcome:
    """Return the outcome that another entry told, ``unknown`` if none."""
    for name, value in headers:
        if name.lower() == OUTCOME_HEADER.lower():
            return _OUTCOMES.get(value.lower(), "unknown")
    return "unknown"
