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
from sardinespool.messages.worker_reports import PutWorker

HEARTBEAT = Heartbeat(
    worker_id="w1",
    incarnation=3,
    failure_domain="centro",
    tasks=(TaskReport(task_id="j/0", attempt=2, state="running"),),
)
ANSWER = StoredResponse(status=200, headers=(("A", "b"),), body=b"\x00\xff")

WORKER_WITHOUT_RACK = (
    "83a474797065a7436f6d6d616e64b070726f706f7365645f756e69785f6d73cd03e8"
    "a4626f647982a474797065a9507574576f726b6572ab6465736372697074696f6e8b"
    "a9776f726b65725f6964a3692d31a46c69666511a761646472657373ab31302e302e"
    "302e313a3830a4706f6f6ca170ae6661696c7572655f646f6d61696ea56e6f727465"
    "a4686f7374a16da66c6162656c7392a161a472312d33b570726f636573736f72735f"
    "6d696c6c69636f726573cd0fa0a96d656d6f72795f6d62cd1f40ac616363656c6572"
    "61746f727300a8647261696e696e67c2"
)


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


def test_worker_recorded_without_a_rack_is_read() -> None:
    """Guards against a store of an earlier build that a new one can't read."""
    command = codec.decode_command(bytes.fromhex(WORKER_WITHOUT_RACK))
    assert isinstance(command.body, PutWorker)
    description = command.body.description
    assert (description.worker_id, description.incarnation) == ("i-1", 17)
    assert (description.labels, description.rack) == (("a", "r1-3"), "")
    assert codec.decode_command(codec.encode(command)) == command
