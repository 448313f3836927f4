"""Manifests with workspaces, and a leader without network for them."""

import hashlib
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec

from sardinespool.clock import Instant
from sardinespool.dispatch.control_service import ControlService
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.errors import error_from_code
from sardinespool.errors import SardinespoolError
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import Refused
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.observability.metrics import Metrics
from testing.dispatch.support import QUEUE

JOB = WorkflowSpec(payload="text", steps=(StepSpec(count=1),))
NOW = Instant(1_000, 1_000_000)


def digest(key: str) -> bytes:
    """Return the digest of a key; no digest for no key."""
    return hashlib.sha256(key.encode()).digest() if key else b""


def make_queue(name: str, public: bool = False) -> QueueSpec:
    """Return a queue at the prefix of its name."""
    return msgspec.structs.replace(
        QUEUE, name=name, prefix=f"/{name}/", public=public
    )


def make_manifest(
    version: int,
    public: str = "open",
    queues: str = "closed open",
    **keys: str,
) -> PublishManifest:
    """Return a manifest; `keys` holds the keys of each workspace."""
    return PublishManifest(
        version=version,
        queues=tuple(
            make_queue(name, name in public.split()) for name in queues.split()
        ),
        pools=(PoolSpec(name=QUEUE.pool),),
        source=b"{}",
        workspaces=tuple(
            WorkspaceSpec(
                name=name,
                key_digests=tuple(digest(key) for key in text.split()),
            )
            for name, text in keys.items()
        ),
    )


def submit(path: str, key: str = "") -> SubmitWorkflow:
    """Return the submission of a job."""
    return SubmitWorkflow(
        host="h", path=path, spec=JOB, key_digest=digest(key)
    )


def code_of(call: Callable[[], object]) -> str:
    """Return "ok", or the code of the error that a call raises."""
    try:
        call()
    except SardinespoolError as error:
        return error.code
    return "ok"


class Control:
    """Leader whose proposals are applied at once, or when asked to."""

    def __init__(self, *manifests: PublishManifest) -> None:
        self.machine = ControlMachine()
        dispatcher = Dispatcher(
            self.machine,
            DispatchSettings(),
            lambda worker_id: None,
            DispatchMetrics(Metrics("controller", "a")),
        )
        status: Any = SimpleNamespace(term=1, voters=(), learners=())
        self.service = ControlService(self.machine, dispatcher, lambda: status)
        self.service.become_leader(NOW)
        for manifest in manifests:
            self.call(manifest)

    def check(self, request: Request) -> CommandBody:
        """Return the command that the leader proposes for a request."""
        outcome = self.service.handle(request, NOW)
        assert not isinstance(outcome, ImmediateReply)
        return outcome.body

    def apply(self, body: CommandBody) -> Reply:
        """Apply a command; raise the error that refuses it."""
        reply = self.machine.apply(
            Command(proposed_unix_ms=NOW.unix_ms, body=body), 1
        )
        if isinstance(reply, Refused):
            raise error_from_code(reply.code, reply.text, reply.details)
        self.service.on_applied(body, reply, NOW)
        return reply

    def call(self, request: Request) -> Reply:
        """Handle a request and apply its command."""
        outcome = self.service.handle(request, NOW)
        if isinstance(outcome, ImmediateReply):
            return outcome.reply
        return self.apply(outcome.body)

    def workspace(self, job_id: str) -> str | None:
        """Return the stored workspace of a job, None without a job."""
        workflow = self.machine.table.workflows.get(job_id)
        return None if workflow is None else workflow.workspace
