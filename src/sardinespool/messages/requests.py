"""Messages about request records at the home group of a key."""

from typing import Literal

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class StoredResponse(Record, frozen=True, kw_only=True):
    """Complete response of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class BeginRequest(Message, frozen=True, kw_only=True):
    """Claim the right to run a key's request; answered by `BeginReply`.

    `attempt_id` is unique for each caller's request at each entry. Resending
    the same `attempt_id` yields the same reply. For a generated key,
    `group_incarnation` is the group incarnation that the key contains; it is
    empty for a caller's own key.
    """

    key: str
    body_digest: str
    entry_id: str
    attempt_id: str
    send_deadline_unix_ms: int
    group_incarnation: str = ""


class BeginReply(Message, frozen=True, kw_only=True):
    """Whether this attempt may send the request.

    `granted`: send it once, before the send deadline. `running`: another
    attempt holds the key. `finished`: `answer` holds the stored response.
    `unknown`: the outcome was lost.
    """

    state: Literal["granted", "running", "finished", "unknown"]
    answer: StoredResponse | None = None


class FinishRequest(Message, frozen=True, kw_only=True):
    """Store the outcome of a granted attempt; answered by `Accepted`.

    `answer` is None when the outcome is unknown.
    """

    key: str
    attempt_id: str
    answer: StoredResponse | None


class AbandonRequest(Message, frozen=True, kw_only=True):
    """Release a claim before sending a byte; answered by `Accepted`."""

    key: str
    attempt_id: str
