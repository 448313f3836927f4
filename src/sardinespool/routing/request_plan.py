"""Parsed parameters of a caller's request."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlan:
    """Parameters of a request that its state machine depends on.

    `caller_key` is the caller's idempotency key, or empty if it sent none. A
    `forwarded` request came from an entry of another failure domain and is
    not forwarded again.
    """

    request_id: str
    service: str
    user: str
    deadline_unix_ms: int
    idempotent: bool
    body_digest: str
    caller_key: str = ""
    forwarded: bool = False
