"""Requests that carry a key which is withdrawn while they are on their way.

Each path from the caller to the leader ends at one check, which judges the
key by the manifest in force when the leader handles the request.
"""

import asyncio
import pathlib
import socket
import struct
from types import SimpleNamespace

import pytest

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.replication import NotLeaderError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.tasks import UnknownWorkspaceKeyError
from sardinespool.messages import codec
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Refused
from sardinespool.observability.metrics import Metrics
from sardinespool.platform.caller_handler import CallerHandler
from sardinespool.platform.caller_handler import CallerMetrics
from sardinespool.programs.controller.control_member import ControlGroupMember
from sardinespool.programs.controller.settings import CONTROL_GROUP
from sardinespool.programs.controller.settings import (
    ControlGroupMemberSettings,
)
from sardinespool.programs.store.group_endpoint import GroupEndpoint
from sardinespool.programs.store.store_metrics import StoreMetrics
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.frames import decode_frame
from sardinespool.transport.frames import encode_frame
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.group_client import GroupClient
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ServerLimits
from sardinespool.transport.peer_link import hello_frame
from testing.controller.test_storage_failure import LapsingRunner
from testing.controller.test_storage_failure import UnreachableWorkers
from testing.entry.scripted_server import run_async
from testing.platform.test_handlers import JOB
from testing.transport.test_frames import cluster_settings
from testing.transport.test_frames import free_address
from testing.workflows.workspaces import Control
from testing.workflows.workspaces import make_manifest
from testing.workflows.workspaces import submit

FIRST = make_manifest(1, ana="ana1 ana2")
SECOND = make_manifest(2, ana="ana2")
TIMEOUT_MS = 60_000
POST = (
    b"POST /closed/new HTTP/1.1\r\nHost: h\r\n"
    b"Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
)


class Runner:
    """Runner of a group whose requests a `Control` handles.

    The first call may fail before or after it is handled.
    """

    def __init__(
        self, control: Control, fault: SardinespoolError | None = None
    ) -> None:
        self.serving = True
        self._control = control
        self._fault = fault

    async def call(self, request: Request) -> Reply:
        fault, self._fault = self._fault, None
        if fault is not None:
            if isinstance(fault, ProposalLostError):
                self._control.call(request)
                self._control.call(SECOND)
            raise fault
        return self._control.call(request)


def start_leader(runner: Runner) -> tuple[str, FrameServer]:
    """Serve the control group; return the address."""
    address = free_address()
    endpoint = GroupEndpoint(
        {CONTROL_GROUP: runner},  # type: ignore[dict-item]
        StoreMetrics(Metrics("store", "a")),
        asyncio.Event(),
    )
    server = FrameServer("secret", endpoint, None)
    server.start_listening(address)
    return address, server


def start_front(leader: str) -> tuple[str, HttpListener, Connector]:
    """Serve callers; return the address."""
    connector = Connector(cluster_settings(), "front", "front-1")
    client = GroupClient(CONTROL_GROUP, {leader: leader}, connector, True)

    async def call(request: Request, limit_ms: int) -> Reply:
        return await client.call(
            request, system_clock.now().unix_ms + TIMEOUT_MS
        )

    address = free_address()
    listener = HttpListener(
        address,
        CallerHandler(call, CallerMetrics(Metrics("front", "front-1"))),
        ServerLimits(1_000_000),
    )
    listener.start()
    return address, listener, connector


def send_unread(address: str, data: bytes) -> socket.socket:
    """Leave bytes in the socket buffer of a process that doesn't read."""
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    connection.sendall(data)
    connection.setblocking(False)
    return connection


async def post(address: str, key: bytes) -> int:
    connection = send_unread(address, POST % (key, len(JOB), JOB))
    return await read_status(connection)


async def read_status(connection: socket.socket) -> int:
    reader, writer = await asyncio.open_connection(sock=connection)
    status = int((await reader.readuntil(b"\r\n\r\n")).split()[1])
    writer.close()
    return status


@run_async
async def test_request_that_waits_in_the_socket_of_a_front() -> None:
    """Guards against a key that is judged by the time of its arrival."""
    control = Control(FIRST)
    leader, server = start_leader(Runner(control))
    front, listener, connector = start_front(leader)
    connections = [
        send_unread(front, POST % (key, len(JOB), JOB))
        for key in (b"ana1", b"ana2")
    ]
    control.call(SECOND)
    assert [await read_status(each) for each in connections] == [401, 200]
    assert control.workspace("new") == "ana"
    await listener.stop()
    await connector.close()
    server.close()


@run_async
async def test_request_that_waits_in_the_socket_of_the_leader() -> None:
    """Guards against a key that a thawed leader judges by an old manifest."""
    control = Control(FIRST)
    leader, server = start_leader(Runner(control))
    frames = (
        hello_frame("front/f", "secret"),
        Frame(
            kind=FrameKind.CALL,
            call_id=1,
            group=CONTROL_GROUP,
            body=codec.encode(submit("/closed/new", "ana1")),
            deadline_unix_ms=2**41,
        ),
    )
    connection = send_unread(
        leader,
        b"".join(
            struct.pack(">I", len(data)) + data
            for data in map(encode_frame, frames)
        ),
    )
    control.call(SECOND)
    reader, writer = await asyncio.open_connection(sock=connection)
    (length,) = struct.unpack(">I", await reader.readexactly(4))
    frame = decode_frame(await reader.readexactly(length))
    reply = codec.decode_reply(frame.body)
    assert isinstance(reply, Refused)
    assert reply.code == UnknownWorkspaceKeyError.code
    assert control.workspace("new") is None
    writer.close()
    server.close()


@pytest.mark.parametrize(
    ("fault", "status", "stored"),
    [
        # The first attempt had no effect, so 401 is true.
        (NotLeaderError("x"), 401, None),
        # The first attempt stored the job before the key was withdrawn.
        (ProposalLostError("x"), 504, "ana"),
    ],
    ids=["refused", "lost"],
)
@run_async
async def test_request_that_the_group_client_sends_again(
    fault: SardinespoolError, status: int, stored: str | None
) -> None:
    """Guards against a second attempt that is not checked.

    Guards also against 401, which says that nothing ran, for a stored job.
    """
    control = Control(FIRST)
    if status == 401:
        control.call(SECOND)
    leader, server = start_leader(Runner(control, fault))
    front, listener, connector = start_front(leader)
    assert await post(front, b"ana1") == status
    assert control.workspace("new") == stored
    await listener.stop()
    await connector.close()
    server.close()


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (NotLeaderError("x"), UnknownWorkspaceKeyError),
        (ProposalLostError("x"), GroupUnavailableError),
    ],
    ids=["refused", "lost"],
)
@run_async
async def test_request_that_a_member_forwards(
    fault: SardinespoolError,
    error: type[SardinespoolError],
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a check that only the first member makes."""
    control = Control(FIRST, SECOND)
    leader, server = start_leader(Runner(control))
    member = ControlGroupMember(
        ControlGroupMemberSettings(
            address=free_address(),
            peers=(),
            bootstrap=False,
            data_folder=tmp_path,
            cluster_token="secret",
        ),
        UnreachableWorkers(),
        Metrics("controller", "a"),
    )
    runner = LapsingRunner(fault)
    runner.status = SimpleNamespace(leader=leader)
    member._runner = runner  # type: ignore[assignment]
    with pytest.raises(error) as raised:
        await member.call(submit("/closed/new", "ana1"), TIMEOUT_MS)
    if error is GroupUnavailableError:
        assert raised.value.details["sent"]
    assert control.workspace("new") is None
    await member.stop()
    server.close()
