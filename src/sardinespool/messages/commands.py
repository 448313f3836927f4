"""Replicated commands and refusals.

A command carries a request that changes state, or one of the internal
commands below, which a group's leader proposes on its own.
"""

from typing import Any

from sardinespool.messages.base import Message
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import RejectPatch
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.messages.jobs import CancelJob
from sardinespool.messages.jobs import JobChange
from sardinespool.messages.jobs import ReleaseId
from sardinespool.messages.jobs import SubmitJob
from sardinespool.messages.jobs import SyncDomain
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import FailTasks
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import ReleaseJob
from sardinespool.messages.tasks import RestrictStarts
from sardinespool.messages.tasks import ThrottleTasks
from sardinespool.messages.worker_reports import DropWorker
from sardinespool.messages.worker_reports import PutWorker
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import EndWorkflow
from sardinespool.messages.workflows import RecordRuns


class FormGroup(Message, frozen=True, kw_only=True):
    """First command of a group; sets its incarnation.

    `reformed` is set if an earlier incarnation lost all its disks.
    """

    group_incarnation: str
    reformed: bool = False


class ConfirmGroup(Message, frozen=True, kw_only=True):
    """Record the global group's reply on whether the group was re-formed."""

    reformed: bool


class AdoptConfiguration(Message, frozen=True, kw_only=True):
    """Activate a configuration version in a failure domain."""

    configuration: Configuration


class AcceptJobs(Message, frozen=True, kw_only=True):
    """Apply job changes of the global group, in sequence."""

    changes: tuple[JobChange, ...]


class JobsRecorded(Message, frozen=True, kw_only=True):
    """Record that the global group stored finished and released jobs."""

    finished_jobs: tuple[str, ...] = ()
    released_jobs: tuple[ReleaseId, ...] = ()


class RecordWorker(Message, frozen=True, kw_only=True):
    """Register a worker or its new incarnation, address or resources.

    The heartbeat also reports state transitions of the worker's tasks.
    """

    heartbeat: Heartbeat


class WorkerLost(Message, frozen=True, kw_only=True):
    """Record that the lease of a worker's incarnation expired."""

    worker_id: str
    incarnation: int


class DenyTasks(Message, frozen=True, kw_only=True):
    """Requeue attempts that the worker does not hold and can't start."""

    worker_id: str
    incarnation: int
    attempts: tuple[tuple[str, int], ...]


class ExpireRecords(Message, frozen=True, kw_only=True):
    """Remove request, worker and job records whose retention has ended."""

    before_unix_ms: int


CommandBody = (
    FormGroup
    | ConfirmGroup
    | SubmitPatch
    | ApprovePatch
    | RejectPatch
    | SubmitJob
    | CancelJob
    | SyncDomain
    | AdoptConfiguration
    | AcceptJobs
    | JobsRecorded
    | RecordWorker
    | WorkerLost
    | DenyTasks
    | ExpireRecords
    | PlaceTasks
    | EvictTasks
    | ThrottleTasks
    | FailTasks
    | ReleaseJob
    | RestrictStarts
    | BeginRequest
    | FinishRequest
    | AbandonRequest
    | AcceptWorkflow
    | EndWorkflow
    | RecordRuns
    | PublishManifest
    | SetEvacuation
    | PutWorker
    | DropWorker
    | RecordEstimates
)


class Command(Message, frozen=True, kw_only=True):
    """One entry of a group's replicated log.

    `proposed_unix_ms` is the leader's wall clock at the proposal and the only
    clock that state machines use.
    """

    proposed_unix_ms: int
    body: CommandBody


class Refused(Message, frozen=True, kw_only=True):
    """Reply that refuses a request; `code` is that of an error class."""

    code: str
    text: str
    details: dict[str, Any] = {}
