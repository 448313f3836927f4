"""Events of one request's flow."""

import dataclasses

from sardinespool.errors import SardinespoolError
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import StoredAnswer
from sardinespool.routing.router_events import SlotUse


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The request arrived.

    `has_endpoint` tells whether the own failure domain can serve it.
    """

    has_endpoint: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGiven:
    """The router gave the slot that was asked for as `number`."""

    number: int
    worker_id: str
    address: str
    connection_limit: int
    expected_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotDenied:
    """The router can't give the slot that was asked for as `number`."""

    number: int
    error: SardinespoolError


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer arrived.

    `not_run` tells that the other side said that it did not run the request.
    """

    answer: StoredAnswer
    not_run: bool = False

    @property
    def slot_use(self) -> SlotUse:
        """How the answer counts for the endpoint.

        502, 503 and 504 count as its failures; 500 may be the fault of the
        request.
        """
        if self.not_run:
            return SlotUse.REFUSED
        if self.answer.status in (502, 503, 504):
            return SlotUse.FAILED
        return SlotUse.ANSWERED


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The exchange failed before its first byte left."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Bytes may have left and no whole answer arrived."""

    reason: str


SendResult = Answered | NotSent | Lost


@dataclasses.dataclass(frozen=True, slots=True)
class SendEnded:
    """The exchange on the slot `number` ended."""

    number: int
    result: SendResult


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardEnded:
    """The exchange with an entry of another failure domain ended."""

    result: SendResult


@dataclasses.dataclass(frozen=True, slots=True)
class BeginAnswered:
    """The home group answered the begin of `attempt`."""

    attempt: int
    reply: BeginReply


@dataclasses.dataclass(frozen=True, slots=True)
class BeginFailed:
    """The begin of `attempt` was refused, or got no answer."""

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
class Woken:
    """The time of a `Wake` effect has come."""


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
    | Woken
)
