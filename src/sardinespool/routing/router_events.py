"""Events and effects of the router."""

import dataclasses
import enum

from sardinespool.errors import SardinespoolError
from sardinespool.messages.capacity import EntryView
from sardinespool.routing.fair_queue import QueuedRequest


class SlotResult(enum.Enum):
    """How the request on a slot ended, for the endpoint's health.

    `UNREACHABLE`: no byte could be sent. `FAILED`: bytes were sent, but no
    valid answer arrived. `UNUSED`: the result says nothing about the
    endpoint.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    UNUSED = "unused"


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequested:
    """A request asks for a slot."""

    waiting: QueuedRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SlotWithdrawn:
    """A request no longer needs the slot that it asked for."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReleased:
    """A request releases its slot."""

    ticket: str
    use: SlotResult
    latency_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ViewReceived:
    """The domain group replied to a synchronisation."""

    view: EntryView


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer; sent every 50 ms while requests are queued."""


RouterEvent = (
    SlotRequested | SlotWithdrawn | SlotReleased | ViewReceived | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAssigned:
    """The request got a slot on this endpoint."""

    ticket: str
    worker_id: str
    address: str
    connection_limit: int
    expected_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefused:
    """The request was refused a slot."""

    ticket: str
    error: SardinespoolError


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """Connections to any other address can be closed."""

    addresses: frozenset[str]


RouterEffect = SlotAssigned | SlotRefused | EndpointsChanged
