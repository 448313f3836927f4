"""Effects that the request state machines return."""

import dataclasses

from sardinespool.errors import SardinespoolError
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.requests import StoredResponse
from sardinespool.routing.router_events import SlotResult


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSlot:
    """Request a slot from the router."""

    number: int
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawSlot:
    """Withdraw the request for a slot."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Release the slot."""

    number: int
    use: SlotResult
    latency_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an endpoint, once.

    The first byte may be sent only while the flow's `may_send_first_byte`
    returns True. The exchange ends at `deadline_unix_ms`.
    """

    number: int
    worker_id: str
    address: str
    connection_limit: int
    deadline_unix_ms: int
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelSend:
    """Cancel the exchange and ignore its result."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Send `BeginRequest` to the home group."""

    attempt: int
    home: str
    request: BeginRequest
    deadline_unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutcome:
    """Send `FinishRequest` or `AbandonRequest` to the home group."""

    home: str
    request: FinishRequest | AbandonRequest
    deadline_unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SetTimer:
    """Set the timer that sends `TimerExpired` at this time."""

    unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Forward the request, once, to another failure domain's entry."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyAnswered:
    """Reply with an endpoint's answer."""

    answer: StoredResponse
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyForwarded:
    """Reply with another entry's answer and its outcome."""

    answer: StoredResponse
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyNotRun:
    """Reply that the request was not run."""

    error: SardinespoolError
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyUnknown:
    """Reply that the request may have run."""

    error: SardinespoolError
    key: str


FlowReply = ReplyAnswered | ReplyForwarded | ReplyNotRun | ReplyUnknown

FlowEffect = (
    RequestSlot
    | WithdrawSlot
    | ReleaseSlot
    | Send
    | CancelSend
    | Begin
    | StoreOutcome
    | SetTimer
    | Forward
    | FlowReply
)
