"""HTTP handlers: decoded requests and response statuses."""

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
from sardinespool.messages.manifest import ManifestCopy
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.worker_reports import WorkerLeaves
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import CountWaiting
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WaitingCount
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.observability.metrics import Metrics
from sardinespool.platform.caller_handler import CallerHandler
from sardinespool.platform.caller_handler import CallerMetrics
from sardinespool.platform.control_handler import ControlHandler
from sardinespool.programs.controller.timely_orders import WaitingCaller
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import ReceivedRequest

JOB = b'{"task_spec":"t","steps":[{"count":1}]}'
REQUEST_HEADERS = (
    ("Host", "Nony24.example:80"),
    ("X-Sardinespool-Request-Deadline", "400"),
)


class FakeGroup:
    """Fake control group that records calls and returns a fixed reply."""

    def __init__(self, reply: Any) -> None:
        self.reply = reply
        self.calls: list[tuple[Any, int]] = []

    async def call(self, request: Any, timeout_ms: int) -> Any:
        self.calls.append((request, timeout_ms))
        if isinstance(self.reply, SardinespoolError):
            raise self.reply
        return self.reply

    async def send_order(self, order: Any, caller: WaitingCaller) -> Any:
        return await self.call(order, 0)


def call_front(
    group: FakeGroup, method: str, target: str, body: bytes = b""
) -> HttpResponse:
    handler = CallerHandler(
        group.call, CallerMetrics(Metrics("front", "front-1"))
    )
    request = HttpRequest(method, target, REQUEST_HEADERS, body)
    return asyncio.run(handler(ReceivedRequest(request)))


def call_core(
    group: FakeGroup, method: str, target: str, body: bytes = b""
) -> HttpResponse:
    handler = ControlHandler(
        group.call, group.send_order, lambda: "10.0.0.4:8080"
    )
    request = HttpRequest(method, target, REQUEST_HEADERS, body)
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
def test_caller_requests_are_decoded(
    method: str, target: str, body: bytes, message: type
) -> None:
    """Guards against requests that are decoded into the wrong message."""
    group = FakeGroup(WorkflowStatus(job_id="j1", state="running"))
    response = call_front(group, method, target, body)
    ((request, timeout_ms),) = group.calls
    assert isinstance(request, message)
    assert (request.host, request.path) == ("nony24.example", target)
    assert timeout_ms == 380
    assert response.status == 200
    assert json.loads(response.body) == {"state": "running"}


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
def test_caller_errors_have_a_status(
    error: SardinespoolError, status: int
) -> None:
    """Guards against status 503 for a job that may have been stored."""
    response = call_front(FakeGroup(error), "POST", "/a/j1", JOB)
    assert response.status == status
    assert (response.header("Retry-After") is not None) == (status == 503)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"steps":[]}',
        b'{"task_spec":"t","steps":[{"count":1,"cpu":1e30}]}',
        b'{"task_spec":"t","steps":[{"count":1,"cpu":99999999999999999999}]}',
    ],
)
def test_invalid_jobs_get_a_typed_error(body: bytes) -> None:
    """Guards against invalid jobs that are passed to the group."""
    group = FakeGroup(None)
    response = call_front(group, "POST", "/a/j1", body)
    assert response.status == 400
    assert json.loads(response.body)["error"] == "invalid-job"
    assert group.calls == []


def test_count_of_waiting_jobs() -> None:
    """Guards against a count under another field name."""
    response = call_front(FakeGroup(WaitingCount(waiting=12)), "GET", "/a/")
    assert json.loads(response.body) == {"waiting": 12}


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
def test_requests_without_a_body(target: str, message: object) -> None:
    """Guards against a mix-up of the start and the end of an evacuation."""
    group = FakeGroup(Accepted())
    assert call_core(group, "POST", target).status == 200
    assert group.calls[0][0] == message


@pytest.mark.parametrize(
    ("body", "status", "incarnation"),
    [
        (b"", 200, None),
        (b'{"born":1784325149258}', 200, 1784325149258),
        (b'{"state":"ready"}', 200, None),
        (b'{"born":"yesterday"}', 400, None),
        (b"\xff\xfe", 400, None),
    ],
)
def test_leave_names_the_process_if_its_body_does(
    body: bytes, status: int, incarnation: int | None
) -> None:
    """Guards against a leave that is taken for one of the next process."""
    group = FakeGroup(Accepted())
    response = call_core(group, "POST", "/api/instances/i-1/leave", body)
    assert response.status == status
    assert [request for request, _ in group.calls] == (
        [WorkerLeaves(worker_id="i-1", incarnation=incarnation)]
        if status == 200
        else []
    )


def test_manifest_is_returned_byte_for_byte() -> None:
    """Guards against a manifest that is re-encoded."""
    source = b'{"version": 7,\n "routes":[]}'
    group = FakeGroup(ManifestCopy(version=7, source=source))
    response = call_core(group, "GET", "/api/configuration/read")
    assert (response.status, response.body) == (200, source)


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (InvalidManifestError("x"), 400),
        (NotReadyError("x"), 503),
        (GroupUnavailableError("x", sent=True), 504),
    ],
    ids=lambda value: getattr(value, "code", value),
)
def test_operator_errors_have_a_status(
    error: SardinespoolError, status: int
) -> None:
    """Guards against a permanent error for a request that may be retried."""
    target = "/api/evacuation/norte/start"
    assert call_core(FakeGroup(error), "POST", target).status == status


def test_unknown_paths_and_invalid_heartbeats() -> None:
    """Guards against passing bad paths or heartbeats on to the group."""
    group = FakeGroup(Accepted())
    assert call_core(group, "GET", "/nothing").status == 404
    heartbeat_path = "/api/instances/i-1/heartbeat"
    assert call_core(group, "POST", heartbeat_path, b"\xff").status == 400
    assert group.calls == []


@pytest.mark.parametrize(
    ("target", "fields"),
    [
        ("/api/instances/i-1/heartbeat", {"born": 10**30}),
        ("/api/instances/i-1/heartbeat", {"born": -1}),
        ("/api/instances/i-1/heartbeat", {"clock_ms": 10**30}),
        ("/api/instances/i-1/heartbeat", {"sequence": 10**30}),
        ("/api/instances/i-1/heartbeat", {"capacity": {"cpu": 10**30}}),
        ("/api/instances/i-1/leave", {"born": 10**30}),
        ("/api/configuration/replace", {"version": 10**30}),
    ],
    ids=lambda value: str(value)[:40],
)
def test_numbers_that_no_command_can_hold_are_refused(
    target: str, fields: dict[str, Any]
) -> None:
    """Guards against a message that ends the leader's process."""
    body: dict[str, Any] = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 1, "requested_memory_mb": 1},
        "clock_ms": 1,
        "sequence": 1,
        "version": 1,
        "routes": [],
        "services": [],
    }
    group = FakeGroup(Accepted())
    encoded = json.dumps(body).encode()
    assert call_core(group, "POST", target, encoded).status == 200
    body["capacity"].update(fields.pop("capacity", {}))
    encoded = json.dumps(body | fields).encode()
    assert call_core(group, "POST", target, encoded).status == 400
    assert len(group.calls) == 1
