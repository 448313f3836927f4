"""Encoding and decoding of messages between processes."""

import msgspec
import pytest

from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages import codec
from sardinespool.messages.base import Message
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import Refused
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import StoredResponse
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import TaskReport
from sardinespool.messages.tasks import WorkerList

HEARTBEAT = Heartbeat(
    worker_id="w1",
    incarnation=3,
    failure_domain="centro",
    tasks=(TaskReport(task_id="j/0", attempt=2, state="running"),),
)
ANSWER = StoredResponse(status=200, headers=(("A", "b"),), body=b"\x00\xff")


@pytest.mark.parametrize(
    "message",
    [
        HEARTBEAT,
        BeginReply(state="finished", answer=ANSWER),
        Refused(code="x", text="y", details={"version": 3}),
        WorkerList(workers=()),
    ],
)
def test_message_encoding_round_trip(message: Message) -> None:
    """Guards against a message that is missing from its union."""
    data = codec.encode(message)
    decode = (
        codec.decode_request
        if isinstance(message, Heartbeat)
        else codec.decode_reply
    )
    assert decode(data) == message


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", msgspec.msgpack.encode({"type": "Nothing"})]
)
def test_malformed_message_raises_invalid_message_error(data: bytes) -> None:
    """Guards against an untyped exception for bytes of a faulty peer."""
    for decode in (
        codec.decode_request,
        codec.decode_reply,
        codec.decode_command,
    ):
        with pytest.raises(InvalidMessageError):
            decode(data)


def test_unknown_field_is_ignored() -> None:
    """Guards against a rolling upgrade that breaks older processes."""
    fields = msgspec.to_builtins(Command(proposed_unix_ms=1, body=FORM_GROUP))
    fields["later_field"] = 1
    assert codec.decode_command(msgspec.msgpack.encode(fields)) == Command(
        proposed_unix_ms=1, body=FORM_GROUP
    )


FORM_GROUP = codec.CommandBody.__args__[0](group_incarnation="a")
