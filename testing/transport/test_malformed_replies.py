"""Calls to a group whose replies can't be read."""

import pytest

from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.messages import codec
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import ReadConfiguration
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector
from sardinespool.transport.frame_server import FrameServer
from sardinespool.transport.group_client import GroupClient
from testing.entry.scripted_server import run_async
from testing.transport.test_frames import cluster_settings
from testing.transport.test_frames import free_address

DEEP = b"\x82\xa4type\xa8Accepted\xa1x" + b"\x91" * 100_000 + b"\x00"


class MalformedReplyHandler:
    """Sends malformed replies, then good ones."""

    def __init__(self, reply: bytes, count: int) -> None:
        self._replies = [reply] * count

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        if self._replies:
            return self._replies.pop()
        return codec.encode(Configuration())

    def handle_replication_message(
        self, group: str, sender: str, body: bytes
    ) -> None:
        """Ignore the message."""


@pytest.mark.parametrize("reply", [DEEP, b"", b"\xff\xff", b"\x80"])
@pytest.mark.parametrize("count", [1, 1_000_000], ids=["once", "always"])
@run_async
async def test_malformed_reply_leaves_the_outcome_unknown(
    reply: bytes, count: int
) -> None:
    """Guards against a caller that is told that a stored job was refused."""
    address = free_address()
    server = FrameServer("secret", MalformedReplyHandler(reply, count), None)
    server.start_listening(address)
    connector = Connector(cluster_settings(), "front", "f")
    client = GroupClient("g", {"a": address}, connector)
    limit_ms = 60_000 if count == 1 else 300
    deadline_unix_ms = system_clock.now().unix_ms + limit_ms
    if count == 1:
        answer = await client.call(ReadConfiguration(), deadline_unix_ms)
        assert isinstance(answer, Configuration)
    else:
        with pytest.raises(GroupUnavailableError) as raised:
            await client.call(ReadConfiguration(), deadline_unix_ms)
        assert raised.value.details["sent"]
    await connector.close()
    server.close()
