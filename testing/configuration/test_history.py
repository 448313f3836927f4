"""Patches, approvals and configuration versions."""

from typing import Any

import pytest

from sardinespool.configuration.history import History
from sardinespool.errors import configuration as errors
from sardinespool.errors import SardinespoolError
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import RejectPatch
from sardinespool.messages.configuration import SubmitPatch

SET_SERVICE = Change(
    op="set", key="services/enrolment", value={"kind": "latency-critical"}
)
DRAIN_DOMAIN = Change(
    op="set",
    key="failure_domains/norte",
    value={"state": "out-of-service"},
)
ADD_STANDING_APPROVAL = Change(
    op="set",
    key="standing_approvals/night",
    value={"operators": ["ana"], "failure_domains": ["norte"]},
)


def submit(
    history: History,
    patch_id: str,
    base_version: int = 0,
    change: Change = SET_SERVICE,
    author: str = "ana",
) -> Any:
    return history.submit(
        SubmitPatch(
            patch_id=patch_id,
            base_version=base_version,
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


def test_change_takes_effect_after_approval_only() -> None:
    """Guards against a patch that takes effect before its approval."""
    history = History()
    receipt = submit(history, "p1")
    assert history.configuration.version == 0
    assert approve(history, receipt).version == 1
    assert history.configuration.values["services/enrolment"]


def test_resubmitted_patch_and_approval_are_idempotent() -> None:
    """Guards against a second version after a lost reply is retried."""
    history = History()
    first = submit(history, "p1")
    assert submit(history, "p1") == first
    approved = approve(history, first)
    assert approve(history, first) == approved
    assert submit(history, "p1") == approved
    assert history.configuration.version == 1


def test_concurrent_patches_create_one_version() -> None:
    """Guards against approving a patch on an outdated base version."""
    history = History()
    first = submit(history, "p1")
    second = submit(history, "p2", author="eva")
    approve(history, first)
    with pytest.raises(errors.VersionConflictError) as conflict:
        approve(history, second)
    assert conflict.value.details["current_version"] == 1
    assert history.patches["p2"].receipt.state == "void"


@pytest.mark.parametrize(
    ("overrides", "error"),
    [
        ({"approver": "ana"}, errors.SelfApprovalError),
        ({"digest": "0" * 64}, errors.DigestMismatchError),
        ({"patch_id": "p9"}, errors.PatchNotFoundError),
    ],
)
def test_invalid_approval_is_refused(
    overrides: dict[str, str], error: type[SardinespoolError]
) -> None:
    """Guards against approving other content than was reviewed."""
    history = History()
    receipt = submit(history, "p1")
    fields = {
        "patch_id": "p1",
        "digest": receipt.digest,
        "approver": "luz",
        **overrides,
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
    """Guards against approving a value that processes can't parse."""
    with pytest.raises(errors.InvalidChangeError):
        submit(History(), "p1", change=change)


def test_reused_patch_id_is_refused() -> None:
    """Guards against two patches with one id."""
    history = History()
    submit(history, "p1")
    with pytest.raises(errors.PatchIdReusedError):
        submit(history, "p1", change=DRAIN_DOMAIN)


@pytest.mark.parametrize(
    ("author", "change", "state"),
    [
        ("ana", DRAIN_DOMAIN, "approved"),
        ("eva", DRAIN_DOMAIN, "pending"),
        ("ana", SET_SERVICE, "pending"),
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
    """Guards against a standing approval that covers too much."""
    history = History()
    approve(history, submit(history, "p0", change=ADD_STANDING_APPROVAL))
    receipt = submit(
        history, "p1", base_version=1, change=change, author=author
    )
    assert receipt.state == state


def test_last_version_of_each_failure_domain_is_recorded() -> None:
    """Guards against lifting a restriction by an unrelated version."""
    history = History()
    approve(history, submit(history, "p0", change=DRAIN_DOMAIN))
    approve(history, submit(history, "p1", base_version=1))
    assert history.configuration.domain_versions == {"norte": 1}


def test_rejected_patch_stays_closed() -> None:
    """Guards against approving a rejected patch."""
    history = History()
    receipt = submit(history, "p1")
    history.reject(RejectPatch(patch_id="p1", rejecter="luz"))
    with pytest.raises(errors.PatchClosedError):
        approve(history, receipt)


def test_snapshot_keeps_hundreds_of_versions() -> None:
    """Guards against a snapshot that loses versions or receipts."""
    history = History()
    for version in range(300):
        approve(history, submit(history, f"p{version}", base_version=version))
    restored = History()
    restored.restore(history.state())
    assert restored.state() == history.state()
    assert submit(restored, "p7", base_version=7).version == 8
