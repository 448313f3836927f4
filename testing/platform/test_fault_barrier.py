"""Listeners go on after an input that no code expects.

Each case sends one odd input and then a good one to the same listener. The
listener answers both and logs the first once.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest

from sardinespool.errors.replication import ProposalLostError
from sardinespool.groups.refusal import error_from_refusal
from sardinespool.messages import codec
from sardinespool.messages.commands import Refused
from sardinespool.messages.manifest import MemberList
from sardinespool.messages.manifest import ReadMembers
from sardinespool.messages.tasks import Accepted
from sardinespool.observability.logs import PrefixLogger
from sardinespool.observability.metrics import Metrics
from sardinespool.platform.caller_handler import CallerHandler
from sardinespool.platform.caller_handler import CallerMetrics
from sardinespool.platform.control_handler import ControlHandler
from sardinespool.platform.fault_barrier import FaultBarrier
from sardinespool.programs.controller.timely_orders import TimelyOrders
from sardinespool.programs.store.group_endpoint import GroupEndpoint
from sardinespool.programs.store.store_metrics import StoreMetrics
from sardinespool.replication.messages import encode_peer_message
from sardinespool.replication.messages import Header
from sardinespool.replication.messages import TimeoutNow
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.frames import encode_frame
from sardinespool.transport.frames import Frame
from sardinespool.transport.frames import FrameKind
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ServerLimits
from sardinespool.transport.peer_link import hello_frame
from testing.entry.scripted_server import run_async
from testing.platform.test_malformed_input import DEEP_JSON
from testing.platform.test_malformed_input import HEARTBEAT
from testing.platform.test_malformed_input import in_json
from testing.platform.test_malformed_input import in_msgpack
from testing.platform.test_malformed_input import MANIFEST
from testing.transport.test_frames import cluster_settings
from testing.transport.test_frames import free_address

GROUP = "control"
JOB = b'"task_spec":"t","steps":[{"count":1}],'
TIMEOUT_MS = 60_000
HEADER = Header(GROUP, "b#1", "a#1", 1, "")

LogLines = list[tuple[str, dict[str, Any]]]


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> LogLines:
    """Record the events that any component logs."""
    lines: LogLines = []
    for level in ("info", "warning", "error"):
        monkeypatch.setattr(
            PrefixLogger,
            level,
            lambda self, text, /, **fields: lines.append((text, fields)),
        )
    return lines


class FakeGroup:
    """Control group whose first call may raise."""

    def __init__(self, raises: bool) -> None:
        self._raises = raises

    async def call(self, request: Any, timeout_ms: int) -> Any:
        if self._raises:
            self._raises = False
            raise ZeroDivisionError
        return Accepted()


def make_front(group: FakeGroup) -> Any:
    metrics = CallerMetrics(Metrics("front", "front-1"))
    return CallerHandler(group.call, metrics)


def make_core(group: FakeGroup) -> Any:
    return ControlHandler(
        group.call, TimelyOrders(group.call, system_clock.now).send, lambda: ""
    )


async def post(
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    path: str,
    body: bytes,
) -> tuple[int, Any]:
    """Send a request; return the status and the decoded body."""
    reader, writer = streams
    writer.write(
        b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        % (path.encode(), len(body))
    )
    writer.write(body)
    async with asyncio.timeout(TIMEOUT_MS / 1000):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split()[0])
        answer = await reader.readexactly(length)
    return int(head.split()[1]), json.loads(answer)


@pytest.mark.parametrize(
    ("make_handler", "path", "fields"),
    [
        (make_front, "/q/j1", JOB),
        (make_core, "/api/instances/w/heartbeat", HEARTBEAT),
        (make_core, "/api/instances/w/leave", b'"born":1,'),
        (make_core, "/api/configuration/replace", MANIFEST),
    ],
    ids=["job", "heartbeat", "leave", "manifest"],
)
@pytest.mark.parametrize("fault", [False, True], ids=["input", "code"])
@run_async
async def test_http_listener_answers_after_odd_input(
    make_handler: Callable[[FakeGroup], Any],
    path: str,
    fields: bytes,
    fault: bool,
    log_lines: LogLines,
) -> None:
    """Guards against a connection that gets no answer, and later ones too.

    The caller of a request that raised is told that it may have taken
    effect.
    """
    address = free_address()
    listener = HttpListener(
        address,
        FaultBarrier(make_handler(FakeGroup(fault)), PrefixLogger("test")),
        ServerLimits(1_000_000),
    )
    listener.start()
    host, _, port = address.rpartition(":")
    streams = await asyncio.open_connection(host, int(port))
    good = in_json(fields, b"1")
    odd = good if fault else in_json(fields, DEEP_JSON)
    status, body = await post(streams, path, odd)
    assert status == (504 if fault else 400)
    assert body["error"]
    assert len(log_lines) == 1
    status, _ = await post(streams, path, good)
    assert status == 200
    assert len(log_lines) == 1
    streams[1].close()
    await listener.stop()


class FakeRunner:
    """Runner of a group that answers calls and counts messages."""

    def __init__(self, raises: bool) -> None:
        self._raises = raises
        self.serving = True
        self.delivered = asyncio.Event()

    async def call(self, request: Any) -> Any:
        if self._raises:
            self._raises = False
            raise ZeroDivisionError
        return MemberList(members=(), manifest_version=1)

    def deliver(self, sender: str, message: Any) -> None:
        self.delivered.set()


@pytest.mark.parametrize("odd_input", ["call", "replication", "code"])
@run_async
async def test_group_listener_answers_after_odd_input(
    odd_input: str, log_lines: LogLines
) -> None:
    """Guards against members that lose their connection to each other."""
    address = free_address()
    runner = FakeRunner(raises=odd_input == "code")
    endpoint = GroupEndpoint(
        {GROUP: runner},  # type: ignore[dict-item]
        StoreMetrics(Metrics("store", "a")),
        asyncio.Event(),
    )
    server = FrameServer("secret", endpoint, None)
    server.start_listening(address)
    connector = Connector(cluster_settings(), "front", "f")

    async def call(body: bytes) -> Any:
        return codec.decode_reply(
            await connector.call(address, GROUP, body, 0, TIMEOUT_MS)
        )

    good = codec.encode(ReadMembers())
    if odd_input == "replication":
        connector.send_replication_message(
            address, GROUP, "b", in_msgpack("VoteRequest")
        )
    else:
        odd = good if odd_input == "code" else in_msgpack("ReadMembers")
        refused = await call(odd)
        assert isinstance(refused, Refused)
        may_have_run = isinstance(
            error_from_refusal(refused), ProposalLostError
        )
        assert may_have_run == (odd_input == "code")
    assert isinstance(await call(good), MemberList)
    connector.send_replication_message(
        address, GROUP, "b", encode_peer_message(TimeoutNow(header=HEADER))
    )
    async with asyncio.timeout(TIMEOUT_MS / 1000):
        await runner.delivered.wait()
    assert len(log_lines) == 1
    await connector.close()
    server.close()


class RaisingHandler:
    """Raises for each replication message."""

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        return codec.encode(Accepted())

    def handle_replication_message(
        self, group: str, sender: str, body: bytes
    ) -> None:
        raise ZeroDivisionError


@run_async
async def test_connection_is_closed_if_its_frames_are_no_longer_read() -> None:
    """Guards against a peer that goes on sending to a task that has ended."""
    address = free_address()
    server = FrameServer("secret", RaisingHandler(), None)
    server.start_listening(address)
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for frame in (
        hello_frame("test/a", "secret"),
        Frame(kind=FrameKind.PEER, group=GROUP, sender="b"),
    ):
        data = encode_frame(frame)
        writer.write(len(data).to_bytes(4, "big") + data)
    async with asyncio.timeout(TIMEOUT_MS / 1000):
        assert await reader.read() == b""
    writer.close()
    server.close()
