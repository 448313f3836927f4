"""Front process as a subprocess, with a stand-in leader in the test."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import secrets
import sys
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import yaml

from sardinespool.messages import codec
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import MemberList
from sardinespool.messages.manifest import ReadMembers
from sardinespool.platform.settings import SETTINGS_VARIABLE
from sardinespool.programs.controller.settings import CONTROL_GROUP
from sardinespool.transport.frame_server import FrameServer

RUN_SCRIPT = pathlib.Path(__file__).parents[2] / "deploy" / "run.py"
CALLERS_PORT, READINESS_PORT, CONTROL_PORT, INTERNAL_PORT = (
    8080,
    8081,
    8082,
    7700,
)
POLL_INTERVAL_S = 0.01
MALFORMED_REPLY = (
    b"\x82\xa4type\xa8Accepted\xa1x" + b"\x91" * 100_000 + b"\x00"
)
"""Reply with an unknown field that is nested deeply."""

Answer = Callable[[Request], Awaitable[Reply]]


class Leader:
    """Stand-in for the leader of the control group.

    Attributes
    ----------
    malformed_replies : int
        Number of next calls that get a malformed reply.
    """

    def __init__(self, address: str, answer: Answer) -> None:
        self._address = address
        self._answer = answer
        self.received: list[Request] = []
        self.malformed_replies = 0
        self.deadlines_unix_ms: list[int] = []
        self.arrived = asyncio.Event()

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        request = codec.decode_request(body)
        if self.malformed_replies:
            self.malformed_replies -= 1
            return MALFORMED_REPLY
        if isinstance(request, ReadMembers):
            members = MemberList(members=(self._address,), manifest_version=1)
            return codec.encode(members)
        self.received.append(request)
        self.deadlines_unix_ms.append(deadline_unix_ms)
        self.arrived.set()
        return codec.encode(await self._answer(request))

    def handle_replication_message(
        self, group: str, sender: str, body: bytes
    ) -> None:
        """Ignore the message."""


@dataclasses.dataclass
class Front:
    """A running front process."""

    ip: str
    leader: Leader
    process: asyncio.subprocess.Process

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(self.ip, CALLERS_PORT)

    async def wait_for_readiness(self, status: int) -> None:
        """Poll the readiness probe until it answers with this status."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(
                    self.ip, READINESS_PORT
                )
                writer.write(b"GET /api/readiness HTTP/1.1\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if int(head.split()[1]) == status:
                    return
            await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def running_front(
    folder: pathlib.Path, grace_s: float, answer: Answer
) -> AsyncIterator[Front]:
    """Run a front that is ready; kill it at the end if it still runs."""
    # Fixed ports on a loopback address of its own, as the status port is
    # fixed.
    ip = f"127.{100 + secrets.randbelow(100)}.{secrets.randbelow(256)}.1"
    leader = Leader(f"{ip}:{INTERNAL_PORT}", answer)
    server = FrameServer(CONTROL_GROUP, leader, None)
    server.start_listening(f"{ip}:{INTERNAL_PORT}")
    path = folder / "settings.yaml"
    path.write_text(
        yaml.safe_dump(
            {
                "node": "front-1",
                "role": "front",
                "ip_address": ip,
                "zone": "norte",
                "listen": {
                    "front": f"{ip}:{CALLERS_PORT}",
                    "ready": f"{ip}:{READINESS_PORT}",
                },
                "internal_port_range": [INTERNAL_PORT, INTERNAL_PORT + 1],
                "seeds": [f"{ip}:{CONTROL_PORT}"],
                "bounds": {"grace_s": grace_s},
            }
        )
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(RUN_SCRIPT),
        "front",
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    front = Front(ip, leader, process)
    try:
        await front.wait_for_readiness(200)
        yield front
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        server.close()
