"""Numbers in the lists of a worker that no command can hold."""

import json
from typing import Any

import pytest

from sardinespool.errors.transport import InvalidMessageError
from sardinespool.platform.worker_codec import decode_order_response
from sardinespool.platform.worker_codec import decode_renew_lease_response

LARGE = 2**63


def decode_lists(**fields: Any) -> Any:
    body = {"clock_ms": 1, "running": [], "ended": [], "born": 1}
    return decode_renew_lease_response(json.dumps(body | fields).encode())


@pytest.mark.parametrize(
    "row",
    [
        ["j.0.0.0", LARGE, "", 1, 1],
        ["j.0.0.0", 10**300, "", 1, 1],
        ["j.0.0.0", -1, "", 1, 1],
        ["j.0.0.0", True, "", 1, 1],
        ["j.0.0.0", 1.5, "", 1, 1],
        ["j.0.0.0", 1, "", LARGE, 1],
        ["j.0.0.0", 1, "", 1e300, 1],
        ["j.0.0.0", 1, "", 10**300, 1],
        ["j.0.0.0", 1, "", 1, 10**300],
        ["j.0.0.0", 1, "", 1, 1e300],
        ["j.0.0.0", 1, "", 1, "1"],
        ["j.0.0.0", 1, None, 1, 1],
        ["j.0.0.0", 1, ""],
        [],
        "j.0.0.0",
    ],
    ids=str,
)
def test_invalid_running_row_is_refused(row: Any) -> None:
    """Guards against the end of a run that no command can hold."""
    with pytest.raises(InvalidMessageError):
        decode_lists(running=[row])


@pytest.mark.parametrize(
    "row",
    [
        [LARGE, "j.0.0.0", 1, "done", ""],
        [-1, "j.0.0.0", 1, "done", ""],
        [1, "j.0.0.0", LARGE, "done", ""],
        [1, "j.0.0.0", -1, "done", ""],
        [1, "j.0.0.0", 1, "asleep", ""],
        [1, "j.0.0.0", 1, [], ""],
        [1, "j.0.0.0", 1, "done"],
    ],
    ids=str,
)
def test_invalid_ended_row_is_refused(row: Any) -> None:
    """Guards against an end that is recorded for a run of no number."""
    with pytest.raises(InvalidMessageError):
        decode_lists(ended=[row])


@pytest.mark.parametrize(
    "row",
    [
        ["j.0.0.0", 1, "c", 41],
        ["j.0.0.0", 1, "c", 41.5, 700],
        ["j.0.0.0", 1, "c", 41, 700.2],
        ["j.0.0.0", 1, "c", 41, None],
        ["j.0.0.0", 1, "c", 41, 700, "later field"],
    ],
    ids=str,
)
def test_rows_of_the_platform_are_read(row: Any) -> None:
    """Guards against lists that are refused as a whole."""
    (run,) = decode_lists(running=[row]).running
    assert (run.task, run.run, run.checkpoint, run.percent) == (
        "j.0.0.0",
        1,
        "c",
        41,
    )
    assert run.load in (None, 700)


@pytest.mark.parametrize("clock_ms", [LARGE - 1, -1, 10**300, 1.5])
def test_invalid_clock_is_refused(clock_ms: Any) -> None:
    """Guards against a lease on a clock that no order can hold."""
    with pytest.raises(InvalidMessageError):
        decode_lists(clock_ms=clock_ms)
    body = json.dumps({"clock_ms": clock_ms, "reason": "room"}).encode()
    assert decode_order_response(body) == (None, None)


@pytest.mark.parametrize(
    ("ends", "is_complete"),
    [(0, True), (499, True), (500, False), (501, False)],
)
def test_list_of_the_most_ends_is_incomplete(
    ends: int, is_complete: bool
) -> None:
    """Guards against a run that is taken for lost as its end isn't listed."""
    rows = [
        [number, "j.0.0.0", 1, "done", ""] for number in range(1, ends + 1)
    ]
    assert decode_lists(ended=rows).is_complete == is_complete
