"""Answers of HTTP handlers."""

import msgspec

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.transport.http_messages import Headers
from sardinespool.transport.http_messages import HttpAnswer

_JSON = ("Content-Type", "application/json")
_ENCODER = msgspec.json.Encoder()
RETRY_AFTER_S = 1
"""When to come back; an election takes 1.5 s at most."""


def json_answer(status: int, body: object) -> HttpAnswer:
    """Return an answer with a JSON body."""
    return HttpAnswer(status, (_JSON,), _ENCODER.encode(body))


def error_answer(error: SardinespoolError) -> HttpAnswer:
    """Return the answer that reports an error.

    503 says that nothing has run or was stored, and when to come back; 504
    says that nobody knows.
    """
    status = error.http_status
    if isinstance(error, ProposalLostError) or (
        isinstance(error, GroupUnavailableError) and error.details.get("sent")
    ):
        status = 504
    headers: Headers = (_JSON,)
    if status in (429, 503):
        headers += (("Retry-After", str(RETRY_AFTER_S)),)
    body = {"error": error.code, "text": error.text}
    return HttpAnswer(status, headers, _ENCODER.encode(body))
