"""Events that a group runner handles."""

import asyncio
import dataclasses

from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import SyncDomain
from sardinespool.replication.messages import PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class CallReceived:
    """A request from another process; `reply` gets the reply or error."""

    request: Request
    reply: asyncio.Future[Reply]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A replication message from another member."""

    sender: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SyncRequested:
    """The next sync request to the global group is needed.

    `request` gets the sync request, or None if this member does not lead.
    """

    request: asyncio.Future[SyncDomain | None]


@dataclasses.dataclass(frozen=True, slots=True)
class SyncReceived:
    """Reply of the global group to the last sync request."""

    reply: DomainSync


@dataclasses.dataclass(frozen=True, slots=True)
class TransferRequested:
    """Leadership is to be transferred because the process stops."""


@dataclasses.dataclass(frozen=True, slots=True)
class WakeRequested:
    """Commands of the leader may be due; the service is ticked."""


RunnerEvent = (
    CallReceived
    | PeerMessageReceived
    | SyncRequested
    | SyncReceived
    | TransferRequested
    | WakeRequested
)
