"""Claims of idempotency keys and stored outcomes."""

from typing import Any

import pytest

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.messages.commands import Refused
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.requests import StoredResponse
from sardinespool.messages.tasks import Accepted
from sardinespool.requests.keys import check_key
from sardinespool.requests.table import RequestTable

ANSWER = StoredResponse(status=200, headers=(), body=b"seat 4")
DAY_MS = 86_400_000
RANDOM = "0123456789abcdef"


def _begin_request(
    attempt_id: str, key: str = "k", **values: Any
) -> BeginRequest:
    defaults: dict[str, Any] = {
        "body_digest": "d",
        "entry_id": "e",
        "send_deadline_unix_ms": 1_000,
    }
    return BeginRequest(key=key, attempt_id=attempt_id, **(defaults | values))


def _claim(
    table: RequestTable, request: BeginRequest, now_unix_ms: int
) -> str:
    reply = table.recorded_reply(request, now_unix_ms)
    if reply is None:
        reply = table.begin(request, now_unix_ms)
    return reply.code if isinstance(reply, Refused) else reply.state


FINISH = FinishRequest(key="k", attempt_id="a", answer=ANSWER)
OUTCOME_LOST = FinishRequest(key="k", attempt_id="a", answer=None)
OTHER_ATTEMPT_LOST = FinishRequest(key="k", attempt_id="b", answer=None)
ABANDON = AbandonRequest(key="k", attempt_id="a")
ABANDON_OTHER_ATTEMPT = AbandonRequest(key="k", attempt_id="b")


@pytest.mark.parametrize(
    ("requests", "same_attempt", "other_attempt"),
    [
        ([], "granted", "running"),
        ([FINISH], "finished", "finished"),
        ([FINISH, FINISH], "finished", "finished"),
        ([FINISH, OUTCOME_LOST], "finished", "finished"),
        ([FINISH, ABANDON], "finished", "finished"),
        ([OUTCOME_LOST], "unknown", "unknown"),
        ([OUTCOME_LOST, ABANDON], "unknown", "unknown"),
        ([OUTCOME_LOST, FINISH], "finished", "finished"),
        ([OTHER_ATTEMPT_LOST], "granted", "running"),
        ([ABANDON_OTHER_ATTEMPT], "granted", "running"),
        ([ABANDON], "running", "granted"),
        ([ABANDON, FINISH], "running", "granted"),
    ],
)
def test_key_is_held_by_one_attempt(
    requests: list[Any], same_attempt: str, other_attempt: str
) -> None:
    """Guards against two executions of one key and lost responses (R7)."""
    table = RequestTable()
    assert _claim(table, _begin_request("a"), 0) == "granted"
    for request in requests:
        if isinstance(request, FinishRequest):
            table.finish(request)
        else:
            table.abandon(request)
    assert _claim(table, _begin_request("a"), 1) == same_attempt
    assert _claim(table, _begin_request("b"), 1) == other_attempt
    assert (
        _claim(table, _begin_request("c", body_digest="x"), 1) == "key-reused"
    )


@pytest.mark.parametrize(
    ("now_unix_ms", "state"), [(61_000, "running"), (61_001, "unknown")]
)
def test_claim_without_outcome_becomes_unknown(
    now_unix_ms: int, state: str
) -> None:
    """Guards against retries that wait for a crashed entry forever."""
    table = RequestTable()
    _claim(table, _begin_request("a"), 0)
    assert _claim(table, _begin_request("b"), now_unix_ms) == state
    assert table.finish(FINISH) == Accepted()
    assert _claim(table, _begin_request("b"), now_unix_ms) == "finished"


def test_claim_is_refused_after_deadline_or_with_full_table() -> None:
    """Guards against a claim that can't be used, and unbounded memory."""
    table = RequestTable(records_limit=1)
    assert _claim(table, _begin_request("a"), 1_001) == "deadline-unreachable"
    assert _claim(table, _begin_request("a"), 1_000) == "granted"
    assert (
        _claim(table, _begin_request("a", key="l"), 1) == "request-table-full"
    )
    assert _claim(table, _begin_request("a"), 1) == "granted"
    finish_reply = table.finish(
        FinishRequest(key="l", attempt_id="a", answer=None)
    )
    assert isinstance(finish_reply, Refused)


def test_records_expire_regardless_of_claim_order() -> None:
    """Guards against replicas that remove different records."""
    table = RequestTable()
    for key, begun_unix_ms in (("late", 300), ("early", 0), ("again", 0)):
        _claim(table, _begin_request("a", key=key), begun_unix_ms)
    table.abandon(AbandonRequest(key="again", attempt_id="a"))
    _claim(table, _begin_request("b", key="again"), 400)
    table.expire(DAY_MS + 2 * CLOCK_ERROR_MS)
    assert sorted(table.records) == ["again", "late"]
    table.expire(DAY_MS + 2 * CLOCK_ERROR_MS + 400)
    assert table.records == {}


NOW_UNIX_MS = 10 * DAY_MS


@pytest.mark.parametrize(
    ("key", "incarnation", "outcome"),
    [
        ("booking-17", "", None),
        ("my.own.key.1", "", None),
        (f"sur.g1.{NOW_UNIX_MS}.{RANDOM}", "", None),
        (f"centro.g1.{NOW_UNIX_MS}.{RANDOM}", "g1", None),
        (f"centro.0.{NOW_UNIX_MS}.{RANDOM}", "", None),
        (f"centro.g0.{NOW_UNIX_MS}.{RANDOM}", "g0", "unknown"),
        (f"centro.g1.{NOW_UNIX_MS - DAY_MS}.{RANDOM}", "g1", "key-expired"),
        (f"centro.0.{NOW_UNIX_MS - DAY_MS}.{RANDOM}", "", "key-expired"),
        (f"centro.g1.{NOW_UNIX_MS + 251}.{RANDOM}", "g1", "invalid-request"),
        (f"centro.g1.{NOW_UNIX_MS}.{RANDOM}", "g2", "invalid-request"),
        (f"centro.g1.{NOW_UNIX_MS}.{RANDOM}", "", "invalid-request"),
        ("booking-17", "g1", "invalid-request"),
        (f"sur.g1.{NOW_UNIX_MS}.{RANDOM}", "g1", "failure-domain-mismatch"),
    ],
)
def test_keys_without_a_record(
    key: str, incarnation: str, outcome: str | None
) -> None:
    """Guards against running a key again whose record was removed (R7)."""
    request = _begin_request("a", key=key, group_incarnation=incarnation)
    reply = check_key(request, "centro", "g1", NOW_UNIX_MS)
    match reply:
        case BeginReply(state=state):
            assert state == outcome
        case Refused(code=code):
            assert code == outcome
        case None:
            assert outcome is None


def test_size_of_stored_responses_is_limited() -> None:
    """Guards against large responses that exhaust the memory of a group."""
    table = RequestTable(answer_bytes_limit=len(ANSWER.body))
    assert _claim(table, _begin_request("a"), 1) == "granted"
    table.finish(FINISH)
    assert _claim(table, _begin_request("a", "k2"), 2) == "request-table-full"
    assert _claim(table, _begin_request("b"), 2) == "finished"
    loaded = RequestTable()
    loaded.load(table.ordered())
    assert loaded.answer_bytes == len(ANSWER.body)
    table.expire(2 * DAY_MS)
    assert table.answer_bytes == 0
    assert _claim(table, _begin_request("a", "k2"), 2) == "granted"
