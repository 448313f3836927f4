"""Replicated record of a non-idempotent request."""

from typing import Literal

from sardinespool.messages.base import Record
from sardinespool.messages.requests import StoredResponse

RETENTION_MS = 86_400_000
"""Time for which a record is kept after the last claim of its key."""

OUTCOME_WAIT_MS = 60_000
"""Time after the send deadline from which a missing outcome is unknown."""


class RequestRecord(Record, frozen=True, kw_only=True, omit_defaults=True):
    """State of one idempotency key.

    `begun`: the attempt `attempt_id` may have sent the request. `abandoned`:
    the attempt sent nothing and released its claim, so another attempt may
    run. `finished`: `answer` holds the response. `unknown`: the outcome was
    lost.
    """

    key: str
    body_digest: str
    entry_id: str
    attempt_id: str
    begun_unix_ms: int
    send_deadline_unix_ms: int
    state: Literal["begun", "abandoned", "finished", "unknown"] = "begun"
    answer: StoredResponse | None = None
