"""Requests that carry a key which is withdrawn while they are on their way.

Each path from the caller to the leader ends at one check, which judges the
key by the manifest in force when the leader handles the request.
"""

import asyncio
import contextlib
import pathlib
import socket
import struct
from collections.abc import AsyncIterator
from collections.abc import Iterator
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


@contextlib.contextmanager
def running_leader(runner: Runner) -> Iterator[str]:
    """Serve the control group; yield the address."""
    address = free_address()
    endpoint = GroupEndpoint(
        {CONTROL_GROUP: runner},  # type: ignore[dict-item]
        StoreMetrics(Metrics("store", "a")),
        asyncio.Event(),
    )
    server = FrameServer("secret", endpoint, None)
    server.start_listening(address)
    yield address
    server.close()


@contextlib.asynccontextmanager
async def running_front(leader: str) -> AsyncIterator[str]:
    """Serve callers; yield the address."""
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
    yield address
    await listener.stop()
    await connector.close()


def send_unread(address: str, data: bytes) -> socket.socket:
    """Leave bytes in the socket buffer of a process that doesn't read."""
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    connection.sendall(data)
    connection.setblocking(False)
    return connection


def post_unread(address: str, key: bytes) -> socket.socket:
    return send_unread(address, POST % (key, len(JOB), JOB))


async def read_status(connection: socket.socket) -> int:
    reader, writer = await asyncio.open_connection(sock=connection)
    status = int((await reader.readuntil(b"\r\n\r\n")).split()[1])
    writer.close()
    return status


@run_async
async def test_request_that_waits_in_the_socket_of_a_front() -> None:
    """Guards against a key that is judged by the time of its arrival."""
    control = Control(FIRST)
    with running_leader(Runner(control)) as leader:
        async with running_front(leader) as front:
            connections = [
                post_unread(front, key) for key in (b"ana1", b"ana2")
            ]
            control.call(SECOND)
            statuses = [await read_status(each) for each in connections]
    assert statuses == [401, 200]
    assert control.workspace("new") == "ana"


@run_async
async def test_request_that_waits_in_the_socket_of_the_leader() -> None:
    """Guards against a key that a thawed leader judges by an old manifest."""
    control = Control(FIRST)
    call = Frame(
        kind=FrameKind.CALL,
        call_id=1,
        group=CONTROL_GROUP,
        body=codec.encode(submit("/closed/new", "ana1")),
        deadline_unix_ms=2**41,
    )
    frames = map(encode_frame, (hello_frame("front/f", "secret"), call))
    data = b"".join(struct.pack(">I", len(each)) + each for each in frames)
    with running_leader(Runner(control)) as leader:
        connection = send_unread(leader, data)
        control.call(SECOND)
        reader, writer = await asyncio.open_connection(sock=connection)
        (length,) = struct.unpack(">I", await reader.readexactly(4))
        frame = decode_frame(await reader.readexactly(length))
        writer.close()
    reply = codec.decode_reply(frame.body)
    assert isinstance(reply, Refused)
    assert reply.code == UnknownWorkspaceKeyError.code
    assert control.workspace("new") is None


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
    with running_leader(Runner(control, fault)) as leader:
        async with running_front(leader) as front:
            assert await read_status(post_unread(front, b"ana1")) == status
    assert control.workspace("new") == stored


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
    member._runner = runner  # type: ignore[assignment]
    with running_leader(Runner(control)) as leader:
        runner.status = SimpleNamespace(leader=leader)
        with pytest.raises(error) as raised:
            await member.call(submit("/closed/new", "ana1"), TIMEOUT_MS)
        await member.stop()
    if error is GroupUnavailableError:
        assert raised.value.details["sent"]
    assert control.workspace("new") is None
