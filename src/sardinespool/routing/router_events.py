"""Events and effects of the router."""

import dataclasses
import enum

from sardinespool.errors import SardinespoolError
from sardinespool.messages.capacity import EntryView
from sardinespool.routing.fair_queue import Waiting


class SlotUse(enum.Enum):
    """How a request on a slot ended, as far as the endpoint is concerned.

    `UNREACHABLE`: no byte could be sent. `FAILED`: bytes were sent and no
    proper answer came. `UNUSED`: the endpoint had no part in it.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    UNUSED = "unused"


@dataclasses.dataclass(frozen=True, slots=True)
class SlotWanted:
    """A request needs a slot."""

    waiting: Waiting


@dataclasses.dataclass(frozen=True, slots=True)
class SlotWithdrawn:
    """A request no longer needs the slot that it waits for."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturned:
    """A request no longer uses its slot."""

    ticket: str
    use: SlotUse
    latency_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ViewReceived:
    """The domain group answered a synchronisation."""

    view: EntryView


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent every 50 ms while requests wait."""


RouterEvent = SlotWanted | SlotWithdrawn | SlotReturned | ViewReceived | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAssigned:
    """The request may be sent to this endpoint."""

    ticket: str
    worker_id: str
    address: str
    connection_limit: int
    expected_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefused:
    """The request can't get a slot."""

    ticket: str
    error: SardinespoolError


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """Connections to other addresses are no longer needed."""

    addresses: frozenset[str]


RouterEffect = SlotAssigned | SlotRefused | EndpointsChanged
