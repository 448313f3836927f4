"""Patches, approvals and versions."""

from typing import Any

import pytest

from sardinespool.configuration.history import History
from sardinespool.errors import configuration as errors
from sardinespool.errors import SardinespoolError
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import RejectPatch
from sardinespool.messages.configuration import SubmitPatch

SERVICE = Change(
    op="set", key="services/enrolment", value={"kind": "latency-critical"}
)
DRAIN = Change(
    op="set",
    key="failure_domains/norte",
    value={"state": "out-of-service"},
)
STANDING = Change(
    op="set",
    key="standing_approvals/night",
    value={"operators": ["ana"], "failure_domains": ["norte"]},
)


def submit(
    history: History,
    patch_id: str,
    base: int = 0,
    change: Change = SERVICE,
    author: str = "ana",
) -> Any:
    return history.submit(
        SubmitPatch(
            patch_id=patch_id,
            base_version=base,
            changes=(change,),
            author=author,
        ),
        unix_ms=1,
    )


def approve(history: History, receipt: Any, approver: str = "luz") -> Any:
    return history.approve(
        ApprovePatch(
            patch_id=receipt.patch_id,
            digest=receipt.digest,
            approver=approver,
        ),
        unix_ms=2,
    )


def test_change_takes_effect_only_with_approval() -> None:
    """Guards against a patch that is in force before its approval."""
    history = History()
    receipt = submit(history, "p1")
    assert history.configuration.version == 0
    assert approve(history, receipt).version == 1
    assert history.configuration.values["services/enrolment"]


def test_resent_patch_and_approval_change_nothing() -> None:
    """Guards against a second version from a resend after a lost answer."""
    history = History()
    first = submit(history, "p1")
    assert submit(history, "p1") == first
    approved = approve(history, first)
    assert approve(history, first) == approved
    assert submit(history, "p1") == approved
    assert history.configuration.version == 1


def test_racing_patches_make_one_version() -> None:
    """Guards against a patch approved on a base that has moved."""
    history = History()
    first = submit(history, "p1")
    second = submit(history, "p2", author="eva")
    approve(history, first)
    with pytest.raises(errors.VersionConflictError) as conflict:
        approve(history, second)
    assert conflict.value.details["current_version"] == 1
    assert history.patches["p2"].receipt.state == "void"


@pytest.mark.parametrize(
    ("changed", "error"),
    [
        ({"approver": "ana"}, errors.SelfApprovalError),
        ({"digest": "0" * 64}, errors.DigestMismatchError),
        ({"patch_id": "p9"}, errors.PatchNotFoundError),
    ],
)
def test_approval_is_refused(
    changed: dict[str, str], error: type[SardinespoolError]
) -> None:
    """Guards against an approval of something else than was read."""
    history = History()
    receipt = submit(history, "p1")
    fields = {
        "patch_id": "p1",
        "digest": receipt.digest,
        "approver": "luz",
        **changed,
    }
    with pytest.raises(error):
        history.approve(ApprovePatch(**fields), unix_ms=2)
    assert history.configuration.version == 0


@pytest.mark.parametrize(
    "change",
    [
        Change(op="set", key="unknown/x", value=1),
        Change(op="set", key="services/", value={}),
        Change(op="set", key="services/a/b", value={}),
        Change(op="set", key="services/a", value={"kind": "other"}),
        Change(op="set", key="services/a", value={"unknown_field": 1}),
        Change(op="set", key="teams/a", value={}),
        Change(op="set", key="failure_domains/a", value={"state": "gone"}),
        Change(op="set", key="limits/a", value="many"),
    ],
)
def test_malformed_change_is_refused(change: Change) -> None:
    """Guards against an approved value that no process can use."""
    with pytest.raises(errors.InvalidChangeError):
        submit(History(), "p1", change=change)


def test_patch_id_names_one_patch() -> None:
    """Guards against one id for two patches."""
    history = History()
    submit(history, "p1")
    with pytest.raises(errors.PatchIdReusedError):
        submit(history, "p1", change=DRAIN)


@pytest.mark.parametrize(
    ("author", "change", "state"),
    [
        ("ana", DRAIN, "approved"),
        ("eva", DRAIN, "pending"),
        ("ana", SERVICE, "pending"),
        (
            "ana",
            Change(
                op="set",
                key="failure_domains/sur",
                value={"state": "out-of-service"},
            ),
            "pending",
        ),
        ("ana", Change(op="remove", key="failure_domains/norte"), "pending"),
    ],
)
def test_standing_approval_covers_named_domains_only(
    author: str, change: Change, state: str
) -> None:
    """Guards against a standing approval that reaches too far."""
    history = History()
    approve(history, submit(history, "p0", change=STANDING))
    receipt = submit(history, "p1", base=1, change=change, author=author)
    assert receipt.state == state


def test_version_of_each_failure_domain_is_known() -> None:
    """Guards against an unrelated version that lifts a restriction."""
    history = History()
    approve(history, submit(history, "p0", change=DRAIN))
    approve(history, submit(history, "p1", base=1))
    assert history.configuration.domain_versions == {"norte": 1}


def test_rejected_patch_stays_closed() -> None:
    """Guards against the approval of a rejected patch."""
    history = History()
    receipt = submit(history, "p1")
    history.reject(RejectPatch(patch_id="p1", rejecter="luz"))
    with pytest.raises(errors.PatchClosedError):
        approve(history, receipt)


def test_state_survives_hundreds_of_changes() -> None:
    """Guards against a snapshot that loses versions or receipts."""
    history = History()
    for version in range(300):
        approve(history, submit(history, f"p{version}", base=version))
    restored = History()
    restored.restore(history.state())
    assert restored.state() == history.state()
    assert submit(restored, "p7", base=7).version == 8
