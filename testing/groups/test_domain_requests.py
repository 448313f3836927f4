"""Request records of a group that was formed again."""

import pytest

from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import BeginRequest
from testing.groups.domain_support import Group

DAY_MS = 86_400_000


@pytest.mark.parametrize(
    ("reformed", "generated", "elapsed_ms", "state"),
    [
        (False, False, 0, "granted"),
        (True, False, 0, "unknown"),
        (True, False, DAY_MS - 1, "unknown"),
        (True, False, DAY_MS, "granted"),
        (True, True, 0, "granted"),
    ],
)
def test_callers_keys_after_a_loss_of_all_disks(
    reformed: bool, generated: bool, elapsed_ms: int, state: str
) -> None:
    """Guards against a second run after the records were lost (R7)."""
    group = Group(reformed=reformed)
    group.advance(elapsed_ms)
    key = f"centro.g1.{group.now.unix_ms}.0123456789abcdef"
    request = BeginRequest(
        key=key if generated else "booking",
        body_digest="d",
        entry_id="e",
        attempt_id="a",
        send_deadline_unix_ms=group.now.unix_ms + 1_000,
        group_incarnation="g1" if generated else "",
    )
    assert group.call(request) == BeginReply(state=state)  # type: ignore[arg-type]
