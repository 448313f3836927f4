"""HTTP handlers at their edge: requests in, statuses out."""

import asyncio
import json
from typing import Any

import pytest

from sardinespool.errors import SardinespoolError
from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.tasks import JobGoneError
from sardinespool.errors.tasks import QueueNotFoundError
from sardinespool.errors.transport import NotReadyError
from sardinespool.messages.fleet import WorkerLeaves
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import CountWaiting
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WaitingCount
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.observability.metrics import Metrics
from sardinespool.platform.callers import CallerHandler
from sardinespool.platform.callers import CallerMetrics
from sardinespool.platform.control import ControlHandler
from sardinespool.transport.http_messages import HttpAnswer
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_server import ReceivedRequest

JOB = b'{"task_spec":"t","steps":[{"count":1}]}'
HEADERS = (
    ("Host", "Nony24.example:80"),
    ("X-Sardinespool-Request-Deadline", "400"),
)


class Group:
    """Stands in for the control group: notes calls, gives one reply."""

    def __init__(self, reply: Any) -> None:
        self.reply = reply
        self.calls: list[tuple[Any, int]] = []

    async def call(self, request: Any, timeout_ms: int) -> Any:
        self.calls.append((request, timeout_ms))
        if isinstance(self.reply, SardinespoolError):
            raise self.reply
        return self.reply


def ask_front(
    group: Group, method: str, target: str, body: bytes = b""
) -> HttpAnswer:
    handler = CallerHandler(
        group.call, CallerMetrics(Metrics("front", "front-1"))
    )
    request = HttpRequest(method, target, HEADERS, body)
    return asyncio.run(handler(ReceivedRequest(request)))


def ask_core(
    group: Group, method: str, target: str, body: bytes = b""
) -> HttpAnswer:
    handler = ControlHandler(group.call, lambda: "10.0.0.4:8080")
    request = HttpRequest(method, target, HEADERS, body)
    return asyncio.run(handler(ReceivedRequest(request)))


@pytest.mark.parametrize(
    ("method", "target", "body", "message"),
    [
        ("POST", "/a/j1", JOB, SubmitWorkflow),
        ("GET", "/a/j1", b"", ReadWorkflow),
        ("DELETE", "/a/j1", b"", CancelWorkflow),
        ("GET", "/a/", b"", CountWaiting),
    ],
)
def test_callers_requests(
    method: str, target: str, body: bytes, message: type
) -> None:
    """Guards against a request that becomes another one."""
    group = Group(WorkflowStatus(job_id="j1", state="running"))
    answer = ask_front(group, method, target, body)
    ((request, wait_ms),) = group.calls
    assert isinstance(request, message)
    assert (request.host, request.path) == ("nony24.example", target)
    assert wait_ms == 380
    assert answer.status == 200
    assert json.loads(answer.body) == {"state": "running"}


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (QueueNotFoundError("x"), 404),
        (JobGoneError("x"), 410),
        (NotReadyError("x"), 503),
        (GroupUnavailableError("x", sent=False), 503),
        (GroupUnavailableError("x", sent=True), 504),
        (ProposalLostError("x"), 504),
    ],
    ids=lambda value: getattr(value, "code", value),
)
def test_callers_refusals(error: SardinespoolError, status: int) -> None:
    """Guards against "not run" for a job that may have been stored."""
    answer = ask_front(Group(error), "POST", "/a/j1", JOB)
    assert answer.status == status
    assert (answer.header("Retry-After") is not None) == (status == 503)


@pytest.mark.parametrize("body", [b"", b"[]", b'{"steps":[]}'])
def test_bad_jobs_get_a_typed_error(body: bytes) -> None:
    """Guards against bad input that reaches the group."""
    group = Group(None)
    answer = ask_front(group, "POST", "/a/j1", body)
    assert answer.status == 400
    assert json.loads(answer.body)["error"] == "invalid-job"
    assert group.calls == []


def test_count_of_waiting_jobs() -> None:
    """Guards against a count in another field."""
    answer = ask_front(Group(WaitingCount(waiting=12)), "GET", "/a/")
    assert json.loads(answer.body) == {"waiting": 12}


@pytest.mark.parametrize(
    ("target", "message"),
    [
        (
            "/api/evacuation/norte/start",
            SetEvacuation(failure_domain="norte", evacuated=True),
        ),
        (
            "/api/evacuation/norte/finish",
            SetEvacuation(failure_domain="norte", evacuated=False),
        ),
        ("/api/instances/i-1/leave", WorkerLeaves(worker_id="i-1")),
    ],
)
def test_orders_without_a_body(target: str, message: object) -> None:
    """Guards against an evacuation that is ended instead of begun."""
    group = Group(Accepted())
    assert ask_core(group, "POST", target).status == 200
    assert group.calls[0][0] == message


def test_manifest_is_read_back_byte_by_byte() -> None:
    """Guards against a manifest that is encoded anew."""
    source = b'{"version": 7,\n "routes":[]}'
    group = Group(ManifestCopy(version=7, source=source))
    answer = ask_core(group, "GET", "/api/configuration/read")
    assert (answer.status, answer.body) == (200, source)


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (InvalidManifestError("x"), 400),
        (NotReadyError("x"), 503),
        (GroupUnavailableError("x", sent=True), 504),
    ],
    ids=lambda value: getattr(value, "code", value),
)
def test_operators_refusals(error: SardinespoolError, status: int) -> None:
    """Guards against a valid order that is refused for good."""
    target = "/api/evacuation/norte/start"
    assert ask_core(Group(error), "POST", target).status == status


def test_unknown_calls_and_foreign_heartbeats() -> None:
    """Guards against bytes of another writer that reach the group."""
    group = Group(Accepted())
    assert ask_core(group, "GET", "/nothing").status == 404
    beat = "/api/instances/i-1/heartbeat"
    assert ask_core(group, "POST", beat, b"\xff").status == 400
    assert group.calls == []
