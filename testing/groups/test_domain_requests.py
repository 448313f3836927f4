"""Request keys claimed at a group that lost its earlier records."""

import pytest

from sardinespool.messages.commands import ConfirmGroup
from sardinespool.messages.commands import Refused
from sardinespool.messages.requests import BeginReply
from sardinespool.messages.requests import BeginRequest
from testing.groups.domain_support import DomainGroupHarness

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
@pytest.mark.parametrize("reformed_source", ["settings", "global group"])
def test_caller_keys_after_loss_of_all_disks(
    reformed: bool,
    generated: bool,
    elapsed_ms: int,
    state: str,
    reformed_source: str,
) -> None:
    """Guards against a second execution after the records were lost (R7)."""
    group = DomainGroupHarness(
        confirmed=False, reformed=reformed and reformed_source == "settings"
    )
    group.apply(ConfirmGroup(reformed=reformed))
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


def test_unconfirmed_group_refuses_caller_keys() -> None:
    """Guards against a re-formed group that assumes it is the first."""
    group = DomainGroupHarness(confirmed=False)
    request = BeginRequest(
        key="booking",
        body_digest="d",
        entry_id="e",
        attempt_id="a",
        send_deadline_unix_ms=group.now.unix_ms + 1_000,
    )
    reply = group.call(request)
    assert isinstance(reply, Refused)
    assert reply.code == "not-ready"


@pytest.mark.parametrize(
    ("age_ms", "state"), [(0, "unknown"), (-10_000, "granted")]
)
def test_foreign_key_generated_after_formation(
    age_ms: int, state: str
) -> None:
    """Guards against a re-formed group refusing new keys for a day."""
    group = DomainGroupHarness(reformed=True)
    generated_unix_ms = group.now.unix_ms - age_ms
    group.advance(10_000)
    request = BeginRequest(
        key=f"centro.0.{generated_unix_ms}.0123456789abcdef",
        body_digest="d",
        entry_id="e",
        attempt_id="a",
        send_deadline_unix_ms=group.now.unix_ms + 1_000,
    )
    assert group.call(request) == BeginReply(state=state)  # type: ignore[arg-type]
