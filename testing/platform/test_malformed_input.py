"""Every reader refuses input that is malformed in any way.

The rows of input are those that another writer may leave: nested deeply,
with numbers too large, or with bytes that are no text.
"""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from sardinespool.errors import SardinespoolError
from sardinespool.messages import codec
from sardinespool.messages.dump import StateDump
from sardinespool.observability.state_dump import dump_json
from sardinespool.platform.job_codec import decode_job
from sardinespool.platform.manifest_codec import decode_manifest
from sardinespool.platform.worker_codec import decode_heartbeat
from sardinespool.platform.worker_codec import decode_leave
from sardinespool.platform.worker_codec import decode_order_response
from sardinespool.platform.worker_codec import decode_renew_lease_response
from sardinespool.programs.entry.operator_bodies import ApprovalBody
from sardinespool.programs.entry.operator_bodies import read_body
from sardinespool.replication.messages import decode_peer_message
from sardinespool.transport.http_messages import HttpRequest

DEPTH = 100_000
DEEP_JSON = b"[" * DEPTH + b"]" * DEPTH
DEEP_MSGPACK = b"\x91" * DEPTH + b"\x00"


def in_json(known_fields: bytes, value: bytes) -> bytes:
    """Return an object with an unknown field, which readers skip."""
    return b"{" + known_fields + b'"unknown":' + value + b"}"


def in_msgpack(tag: str) -> bytes:
    """Return a message with an unknown field that is nested deeply."""
    encode = msgspec.msgpack.encode
    return b"\x82" + encode("type") + encode(tag) + encode("x") + DEEP_MSGPACK


def read_operator_body(body: bytes) -> Any:
    return read_body(HttpRequest("POST", "/", (), body), ApprovalBody)


HEARTBEAT = (
    b'"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",'
    b'"capacity":{"cpu":1,"requested_memory_mb":1},"clock_ms":1,"sequence":1,'
)
MANIFEST = b'"version":1,"routes":[],"services":[],'
JSON_READERS: dict[str, tuple[Callable[[bytes], Any], bytes]] = {
    "heartbeat": (lambda body: decode_heartbeat("w", body), HEARTBEAT),
    "leave": (lambda body: decode_leave("w", body), b""),
    "renewal": (decode_renew_lease_response, b'"clock_ms":1,'),
    "manifest": (decode_manifest, MANIFEST),
    "job": (decode_job, b'"task_spec":"t","steps":[],'),
    "operator": (read_operator_body, b'"digest":"d",'),
}


@pytest.mark.parametrize("reader", JSON_READERS)
@pytest.mark.parametrize(
    "value",
    [DEEP_JSON, b"1e999", b"NaN", b"9" * 5_000, b'"\xff"', b'"\\ud800"'],
    ids=["deep", "float", "nan", "digits", "bytes", "surrogate"],
)
def test_malformed_json_gets_a_typed_error(reader: str, value: bytes) -> None:
    """Guards against an error that ends or stalls the reader's task.

    Values of unknown fields that are well-formed are skipped.
    """
    decode, known_fields = JSON_READERS[reader]
    body = in_json(known_fields, value)
    decode(in_json(known_fields, b"1"))
    try:
        decode(body)
    except SardinespoolError as error:
        assert error.http_status == 400
    else:
        assert value != DEEP_JSON


@pytest.mark.parametrize("value", [DEEP_JSON, b"\xff", b"9" * 5_000])
def test_malformed_answer_to_an_order_has_no_content(value: bytes) -> None:
    """Guards against an order that stays in flight after its answer.

    The status alone then tells whether the order was carried out.
    """
    assert decode_order_response(in_json(b"", value)) == (None, None)


@pytest.mark.parametrize(
    ("decode", "tag"),
    [
        (codec.decode_request, "ReadMembers"),
        (codec.decode_reply, "Accepted"),
        (decode_peer_message, "VoteRequest"),
    ],
    ids=["request", "reply", "replication"],
)
def test_deeply_nested_messages_of_members_get_a_typed_error(
    decode: Callable[[bytes], Any], tag: str
) -> None:
    """Guards against a member that ends at a message of another one."""
    for data in (in_msgpack(tag), DEEP_MSGPACK):
        with pytest.raises(SardinespoolError):
            decode(data)


def test_deeply_nested_state_is_dumped_as_text() -> None:
    """Guards against a state dump that fails at one value."""
    assert b"[[[" in dump_json(StateDump(json=DEEP_JSON))
