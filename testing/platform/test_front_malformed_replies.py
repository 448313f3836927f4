"""Front process whose leader sends replies that can't be read."""

import asyncio
import pathlib

import pytest

from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.workflows import WorkflowStatus
from testing.entry.scripted_server import run_async
from testing.platform.front_subprocess import running_front

PROBES = 3
"""Malformed replies to probes, at least as many as are sent until the front
is no longer ready."""


async def answer(request: Request) -> Reply:
    return WorkflowStatus(job_id="j", state="running")


@pytest.mark.parametrize("replies", [1, PROBES])
@run_async
async def test_front_goes_on_after_malformed_replies(
    tmp_path: pathlib.Path, replies: int
) -> None:
    """Guards against a front that ends at a reply of the leader.

    A call whose reply can't be read may have taken effect, so it is sent
    again and never answered as refused.
    """
    async with running_front(tmp_path, 5.0, answer) as front:
        front.leader.malformed_replies = replies
        reader, writer = await front.connect()
        while front.leader.malformed_replies:
            await asyncio.sleep(0.01)
            assert front.process.returncode is None
        writer.write(b"GET /q/j HTTP/1.1\r\nHost: h\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.split()[1] == b"200"
        assert front.process.returncode is None
        writer.close()
