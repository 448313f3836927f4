"""Replicated record of one non-idempotent request."""

from typing import Literal

from sardinespool.messages.base import Record
from sardinespool.messages.requests import StoredAnswer

RETENTION_MS = 86_400_000
"""How long a record is kept from the last claim of its key."""

OUTCOME_WAIT_MS = 60_000
"""Longest time from the send deadline to a stored outcome."""


class RequestRecord(Record, frozen=True, kw_only=True, omit_defaults=True):
    """State of one key.

    `begun`: `attempt_id` may have sent the request. `abandoned`: it gave the
    claim back, so another attempt may run. `finished`: `answer` holds the
    answer. `unknown`: the outcome was lost.
    """

    key: str
    body_digest: str
    entry_id: str
    attempt_id: str
    begun_unix_ms: int
    send_deadline_unix_ms: int
    state: Literal["begun", "abandoned", "finished", "unknown"] = "begun"
    answer: StoredAnswer | None = None
