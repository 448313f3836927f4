"""Claims of keys and stored outcomes."""

from typing import Any

import pytest

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.messages.commands import Refused
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.requests import StoredAnswer
from sardinespool.messages.tasks import Accepted
from sardinespool.requests.keys import check_key
from sardinespool.requests.table import RequestTable

ANSWER = StoredAnswer(status=200, headers=(), body=b"seat 4")
DAY_MS = 86_400_000
RANDOM = "0123456789abcdef"


def _begin(attempt_id: str, key: str = "k", **values: Any) -> BeginRequest:
    defaults: dict[str, Any] = {
        "body_digest": "d",
        "entry_id": "e",
        "send_deadline_unix_ms": 1_000,
    }
    return BeginRequest(key=key, attempt_id=attempt_id, **(defaults | values))


def _claim(table: RequestTable, request: BeginRequest, now: int) -> str:
    reply = table.recorded_reply(request, now)
    if reply is None:
        reply = table.begin(request, now)
    return reply.code if isinstance(reply, Refused) else reply.state


FINISH = FinishRequest(key="k", attempt_id="a", answer=ANSWER)
LOST = FinishRequest(key="k", attempt_id="a", answer=None)
OTHER = FinishRequest(key="k", attempt_id="b", answer=None)
ABANDON = AbandonRequest(key="k", attempt_id="a")
ABANDON_OTHER = AbandonRequest(key="k", attempt_id="b")


@pytest.mark.parametrize(
    ("steps", "same", "repeat"),
    [
        ([], "granted", "running"),
        ([FINISH], "finished", "finished"),
        ([FINISH, FINISH], "finished", "finished"),
        ([FINISH, LOST], "finished", "finished"),
        ([FINISH, ABANDON], "finished", "finished"),
        ([LOST], "unknown", "unknown"),
        ([LOST, ABANDON], "unknown", "unknown"),
        ([LOST, FINISH], "finished", "finished"),
        ([OTHER], "granted", "running"),
        ([ABANDON_OTHER], "granted", "running"),
        ([ABANDON], "running", "granted"),
        ([ABANDON, FINISH], "running", "granted"),
    ],
)
def test_one_attempt_holds_a_key(
    steps: list[Any], same: str, repeat: str
) -> None:
    """Guards against two runs of one key and lost answers (R7)."""
    table = RequestTable()
    assert _claim(table, _begin("a"), 0) == "granted"
    for step in steps:
        if isinstance(step, FinishRequest):
            table.finish(step)
        else:
            table.abandon(step)
    assert _claim(table, _begin("a"), 1) == same
    assert _claim(table, _begin("b"), 1) == repeat
    assert _claim(table, _begin("c", body_digest="x"), 1) == "key-reused"


@pytest.mark.parametrize(
    ("now", "state"), [(61_000, "running"), (61_001, "unknown")]
)
def test_claim_without_outcome_becomes_unknown(now: int, state: str) -> None:
    """Guards against repeats that wait for a crashed entry for ever."""
    table = RequestTable()
    _claim(table, _begin("a"), 0)
    assert _claim(table, _begin("b"), now) == state
    assert table.finish(FINISH) == Accepted()
    assert _claim(table, _begin("b"), now) == "finished"


def test_late_claims_and_full_table_are_refused() -> None:
    """Guards against a claim that can't be used and unbounded memory."""
    table = RequestTable(records_limit=1)
    assert _claim(table, _begin("a"), 1_001) == "deadline-unreachable"
    assert _claim(table, _begin("a"), 1_000) == "granted"
    assert _claim(table, _begin("a", key="l"), 1) == "request-table-full"
    assert _claim(table, _begin("a"), 1) == "granted"
    missing = table.finish(FinishRequest(key="l", attempt_id="a", answer=None))
    assert isinstance(missing, Refused)


def test_records_expire_in_any_order_of_begins() -> None:
    """Guards against replicas that remove different records."""
    table = RequestTable()
    for key, begun in (("late", 300), ("early", 0), ("again", 0)):
        _claim(table, _begin("a", key=key), begun)
    table.abandon(AbandonRequest(key="again", attempt_id="a"))
    _claim(table, _begin("b", key="again"), 400)
    table.expire(DAY_MS + 2 * CLOCK_ERROR_MS)
    assert sorted(table.records) == ["again", "late"]
    table.expire(DAY_MS + 2 * CLOCK_ERROR_MS + 400)
    assert table.records == {}


NOW = 10 * DAY_MS


@pytest.mark.parametrize(
    ("key", "incarnation", "outcome"),
    [
        ("booking-17", "", None),
        ("my.own.key.1", "", None),
        (f"sur.g1.{NOW}.{RANDOM}", "", None),
        (f"centro.g1.{NOW}.{RANDOM}", "g1", None),
        (f"centro.0.{NOW}.{RANDOM}", "", None),
        (f"centro.g0.{NOW}.{RANDOM}", "g0", "unknown"),
        (f"centro.g1.{NOW - DAY_MS}.{RANDOM}", "g1", "key-expired"),
        (f"centro.0.{NOW - DAY_MS}.{RANDOM}", "", "key-expired"),
        (f"centro.g1.{NOW + 251}.{RANDOM}", "g1", "invalid-request"),
        (f"centro.g1.{NOW}.{RANDOM}", "g2", "invalid-request"),
        (f"centro.g1.{NOW}.{RANDOM}", "", "invalid-request"),
        ("booking-17", "g1", "invalid-request"),
        (f"sur.g1.{NOW}.{RANDOM}", "g1", "failure-domain-mismatch"),
    ],
)
def test_keys_without_a_record(
    key: str, incarnation: str, outcome: str | None
) -> None:
    """Guards against a second run under a key whose record is gone (R7)."""
    request = _begin("a", key=key, group_incarnation=incarnation)
    found = check_key(request, "centro", "g1", NOW)
    match found:
        case BeginReply(state=state):
            assert state == outcome
        case Refused(code=code):
            assert code == outcome
        case None:
            assert outcome is None


def test_stored_answers_are_bounded_in_bytes() -> None:
    """Guards against large answers that fill the memory of a group."""
    table = RequestTable(answer_bytes_limit=len(ANSWER.body))
    assert _claim(table, _begin("a"), 1) == "granted"
    table.finish(FINISH)
    assert _claim(table, _begin("a", "k2"), 2) == "request-table-full"
    assert _claim(table, _begin("b"), 2) == "finished"
    loaded = RequestTable()
    loaded.load(table.ordered())
    assert loaded.answer_bytes == len(ANSWER.body)
    table.expire(2 * DAY_MS)
    assert table.answer_bytes == 0
    assert _claim(table, _begin("a", "k2"), 2) == "granted"
