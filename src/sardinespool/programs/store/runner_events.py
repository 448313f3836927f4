"""Messages to the task that owns a group."""

import asyncio
import dataclasses

from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import SyncDomain
from sardinespool.replication.messages import PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class CallReceived:
    """A request of another process; `reply` takes its reply or error."""

    request: Request
    reply: asyncio.Future[Reply]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReceived:
    """A replication message of another member."""

    sender: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SyncRequested:
    """The domain link asks what to report to the global group.

    `request` takes the report, or None while this member does not lead.
    """

    request: asyncio.Future[SyncDomain | None]


@dataclasses.dataclass(frozen=True, slots=True)
class SyncReceived:
    """Answer of the global group to the last report."""

    reply: DomainSync


@dataclasses.dataclass(frozen=True, slots=True)
class TransferRequested:
    """The process is stopping; another member shall lead."""


@dataclasses.dataclass(frozen=True, slots=True)
class Woken:
    """The leader's own commands may have become due."""


RunnerEvent = (
    CallReceived
    | PeerReceived
    | SyncRequested
    | SyncReceived
    | TransferRequested
    | Woken
)
