"""MessagePack codecs for requests, replies and commands."""

import msgspec

from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.base import Message
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import Refused
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import ConfigurationStatus
from sardinespool.messages.configuration import ConfigurationStatusReply
from sardinespool.messages.configuration import ListPatches
from sardinespool.messages.configuration import ListVersions
from sardinespool.messages.configuration import PatchList
from sardinespool.messages.configuration import PatchReceipt
from sardinespool.messages.configuration import ReadConfiguration
from sardinespool.messages.configuration import RejectPatch
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.messages.configuration import VersionList
from sardinespool.messages.decoding import decode
from sardinespool.messages.dump import DumpState
from sardinespool.messages.dump import StateDump
from sardinespool.messages.explain import ExplainPlacement
from sardinespool.messages.explain import PlacementExplanation
from sardinespool.messages.jobs import CancelJob
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import JobList
from sardinespool.messages.jobs import JobReceipt
from sardinespool.messages.jobs import ListJobs
from sardinespool.messages.jobs import SubmitJob
from sardinespool.messages.jobs import SyncDomain
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.manifest import MemberList
from sardinespool.messages.manifest import OrderTicket
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import ReadManifest
from sardinespool.messages.manifest import ReadMembers
from sardinespool.messages.manifest import ReadOrderTicket
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import FailTasks
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import ListTasks
from sardinespool.messages.tasks import ListWorkers
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import PlaceTasksReply
from sardinespool.messages.tasks import ReleaseJob
from sardinespool.messages.tasks import RestrictStarts
from sardinespool.messages.tasks import SchedulerSync
from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import TaskList
from sardinespool.messages.tasks import ThrottleTasks
from sardinespool.messages.tasks import WorkerList
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerLeaves
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import CountWaiting
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.messages.workflows import RunsRecorded
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WaitingCount
from sardinespool.messages.workflows import WorkflowStatus

Request = (
    SubmitPatch
    | ApprovePatch
    | RejectPatch
    | ListPatches
    | ReadConfiguration
    | ListVersions
    | ConfigurationStatus
    | SubmitJob
    | CancelJob
    | ListJobs
    | SyncDomain
    | EntrySync
    | Heartbeat
    | SchedulerSync
    | PlaceTasks
    | EvictTasks
    | ThrottleTasks
    | FailTasks
    | ReleaseJob
    | ListTasks
    | ListWorkers
    | RestrictStarts
    | BeginRequest
    | FinishRequest
    | AbandonRequest
    | DumpState
    | ExplainPlacement
    | SubmitWorkflow
    | ReadWorkflow
    | CancelWorkflow
    | CountWaiting
    | PublishManifest
    | ReadManifest
    | ReadOrderTicket
    | SetEvacuation
    | ReadMembers
    | ReportWorker
    | WorkerLeaves
)

Reply = (
    Refused
    | PatchReceipt
    | PatchList
    | Configuration
    | VersionList
    | ConfigurationStatusReply
    | JobReceipt
    | JobList
    | DomainSync
    | EntryView
    | HeartbeatReply
    | SchedulingView
    | PlaceTasksReply
    | TaskList
    | WorkerList
    | BeginReply
    | Accepted
    | StateDump
    | PlacementExplanation
    | WorkflowStatus
    | WaitingCount
    | RunsRecorded
    | ManifestCopy
    | OrderTicket
    | MemberList
)

_MESSAGE_ENCODER = msgspec.msgpack.Encoder()
_REQUEST_DECODER: msgspec.msgpack.Decoder[Request] = msgspec.msgpack.Decoder(
    Request
)
_REPLY_DECODER: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)
_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)

__all__ = [
    "Command",
    "CommandBody",
    "Reply",
    "Request",
    "decode_command",
    "decode_reply",
    "decode_request",
    "encode",
    "encode_state",
]


def encode(message: Message) -> bytes:
    """Encode a message with its tag.

    Raises
    ------
    InvalidMessageError
        An integer has more than 64 bits.
    """
    try:
        return _MESSAGE_ENCODER.encode(message)
    except OverflowError as error:
        raise InvalidMessageError(
            f"The message can't be encoded: {error}",
            message=type(message).__name__,
        ) from error


def decode_request(data: bytes) -> Request:
    """Decode a request; raise `InvalidMessageError` if it is malformed."""
    return decode(_REQUEST_DECODER, data)


def decode_reply(data: bytes) -> Reply:
    """Decode a reply; raise `InvalidMessageError` if it is malformed."""
    return decode(_REPLY_DECODER, data)


def decode_command(data: bytes) -> Command:
    """Decode a command; raise `InvalidMessageError` if it is malformed."""
    return decode(_COMMAND_DECODER, data)


def encode_state(state: msgspec.Struct) -> bytes:
    """Encode the state of a machine for a snapshot."""
    return _MESSAGE_ENCODER.encode(state)
