"""Input events of the request state machines."""

import dataclasses

from sardinespool.errors import SardinespoolError
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import StoredResponse
from sardinespool.routing.router_events import SlotResult


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The request arrived.

    `has_endpoint` is whether the entry's failure domain can serve it.
    """

    has_endpoint: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGiven:
    """The router assigned the slot that was requested as `number`."""

    number: int
    worker_id: str
    address: str
    connection_limit: int
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotDenied:
    """The router refused the slot that was requested as `number`."""

    number: int
    error: SardinespoolError


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete answer arrived.

    `not_run` is whether the answer says that the request was not run.
    """

    answer: StoredResponse
    not_run: bool = False

    @property
    def slot_use(self) -> SlotResult:
        """How the answer counts towards the endpoint's health.

        502, 503 and 504 count as failures of the endpoint; a 500 may be
        caused by the request.
        """
        if self.not_run:
            return SlotResult.REFUSED
        if self.answer.status in (502, 503, 504):
            return SlotResult.FAILED
        return SlotResult.ANSWERED


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The exchange failed before its first byte was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Bytes may have been sent, but no complete answer arrived."""

    reason: str


SendResult = Answered | NotSent | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class SendEnded:
    """The exchange on slot `number` ended."""

    number: int
    result: SendResult


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardEnded:
    """The exchange with an entry of another failure domain ended."""

    result: SendResult


@dataclasses.dataclass(frozen=True, slots=True)
class BeginAnswered:
    """The home group replied to the begin of `attempt`."""

    attempt: int
    reply: BeginReply


@dataclasses.dataclass(frozen=True, slots=True)
class BeginFailed:
    """The begin of `attempt` was refused or got no reply."""

    attempt: int
    error: SardinespoolError


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeStored:
    """The home group stored a finish or an abandonment."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeNotStored:
    """The home group did not confirm a finish or an abandonment."""

    error: SardinespoolError


@dataclasses.dataclass(frozen=True, slots=True)
class TimerExpired:
    """The timer of a `SetTimer` effect expired."""


FlowEvent = (
    Started
    | SlotGiven
    | SlotDenied
    | SendEnded
    | ForwardEnded
    | BeginAnswered
    | BeginFailed
    | OutcomeStored
    | OutcomeNotStored
    | TimerExpired
)
