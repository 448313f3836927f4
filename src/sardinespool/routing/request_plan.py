"""One caller's request, as the entry understood it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlan:
    """What a request's flow decides on.

    `own_key` is empty if the caller sent no key. `forwarded` requests came
    from an entry of another failure domain and go no further.
    """

    request_id: str
    service: str
    user: str
    deadline_unix_ms: int
    idempotent: bool
    body_digest: str
    own_key: str = ""
    forwarded: bool = False
