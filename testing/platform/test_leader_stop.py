"""Tests of callers' requests while the leader of the group stops."""

import asyncio
import contextlib

import pytest

from sardinespool.messages import codec
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.observability.metrics import Metrics
from sardinespool.platform.caller_handler import CallerHandler
from sardinespool.platform.caller_handler import CallerMetrics
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.group_client import GroupClient
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_server import ReceivedRequest
from testing.entry.scripted_server import run_async
from testing.transport.test_frames import cluster_settings
from testing.transport.test_frames import free_address

GROUP = "control"


class Member:
    """Group member that answers calls, or holds them until it stops."""

    def __init__(self, answers: bool) -> None:
        self._answers = answers
        self.bodies: list[bytes] = []
        self.arrived = asyncio.Event()

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        self.bodies.append(body)
        self.arrived.set()
        if not self._answers:
            await asyncio.Event().wait()
        return codec.encode(WorkflowStatus(job_id="", state="running"))

    def handle_replication_message(
        self, group: str, sender: str, body: bytes
    ) -> None:
        """Ignore the message."""


@pytest.mark.parametrize(
    ("first_runs", "second_runs", "timeout_ms", "status", "calls"),
    [
        (True, True, 60_000, 200, [1, 1]),
        (False, True, 60_000, 200, [0, 1]),
        (True, False, 200, 504, [1, 0]),
    ],
    ids=["taken-over", "gone", "cut-without-successor"],
)
@run_async
async def test_call_to_a_stopping_leader_is_answered(
    first_runs: bool,
    second_runs: bool,
    timeout_ms: int,
    status: int,
    calls: list[int],
) -> None:
    """Guards against a request that is lost with the leader's connection.

    The same bytes go to the next leader, once; what may have taken effect
    is never answered as "not run".
    """
    addresses = sorted(free_address() for _ in range(2))
    members = [Member(answers=False), Member(answers=True)]
    servers = [FrameServer("secret", member, None) for member in members]
    for server, address, runs in zip(
        servers, addresses, (first_runs, second_runs), strict=True
    ):
        if runs:
            server.start_listening(address)
    connector = Connector(cluster_settings(), "front", "front-1")
    client = GroupClient(
        GROUP, {each: each for each in addresses}, connector, True
    )

    async def call(request: Request, limit_ms: int) -> Reply:
        return await client.call(
            request, system_clock.now().unix_ms + limit_ms
        )

    handler = CallerHandler(call, CallerMetrics(Metrics("front", "front-1")))
    request = HttpRequest(
        "DELETE",
        "/q/1",
        (("X-Sardinespool-Request-Deadline", str(timeout_ms)),),
        b"",
    )
    response_task = asyncio.create_task(handler(ReceivedRequest(request)))
    if first_runs:
        await members[0].arrived.wait()
        servers[0].close()
    response = await response_task
    assert response.status == status
    assert [len(member.bodies) for member in members] == calls
    assert len({body for member in members for body in member.bodies}) <= 1
    await connector.close()
    with contextlib.suppress(OSError):
        servers[1].close()
