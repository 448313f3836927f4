"""Effects of one request's flow."""

import dataclasses

from sardinespool.errors import SardinespoolError
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.requests import StoredAnswer
from sardinespool.routing.router_events import SlotUse


@dataclasses.dataclass(frozen=True, slots=True)
class WantSlot:
    """Ask the router for a slot."""

    number: int
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawSlot:
    """The slot is no longer wanted."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnSlot:
    """The slot is no longer used."""

    number: int
    use: SlotUse
    latency_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an endpoint, once.

    The first byte may leave only while `may_send_first_byte` of the flow
    holds. The exchange ends at `deadline_unix_ms`.
    """

    number: int
    worker_id: str
    address: str
    connection_limit: int
    deadline_unix_ms: int
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelSend:
    """Close the exchange; its result no longer matters."""

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
    """Send a finish or an abandonment to the home group."""

    home: str
    request: FinishRequest | AbandonRequest
    deadline_unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """Send `Woken` at this time."""

    unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send the request once to an entry of another failure domain."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyAnswered:
    """Give the caller an endpoint's answer."""

    answer: StoredAnswer
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyForwarded:
    """Give the caller the answer of another entry, with its outcome."""

    answer: StoredAnswer
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyNotRun:
    """Tell the caller that the request was not run."""

    error: SardinespoolError
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyUnknown:
    """Tell the caller that the request may have run."""

    error: SardinespoolError
    key: str


FlowReply = ReplyAnswered | ReplyForwarded | ReplyNotRun | ReplyUnknown

FlowEffect = (
    WantSlot
    | WithdrawSlot
    | ReturnSlot
    | Send
    | CancelSend
    | Begin
    | StoreOutcome
    | Wake
    | Forward
    | FlowReply
)
