"""What callers of workspaces may do, decided by the leader."""

import functools

import msgspec
import pytest

from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import CountWaiting
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import UNREADABLE_KEY
from sardinespool.messages.workflows import WorkflowSpec
from testing.workflows.workspaces import code_of
from testing.workflows.workspaces import Control
from testing.workflows.workspaces import digest
from testing.workflows.workspaces import make_manifest
from testing.workflows.workspaces import submit

TWO = make_manifest(1, ana="ana1 ana2", luz="luz1")
WITHOUT = msgspec.structs.replace(make_manifest(2), workspaces=None)
UNKNOWN, OTHER, NO_QUEUE = (
    "unknown-workspace-key",
    "other-workspace",
    "queue-not-found",
)


def requests(path: str, key: bytes) -> dict[str, Request]:
    return {
        "POST": msgspec.structs.replace(submit(path), key_digest=key),
        "GET": ReadWorkflow(host="h", path=path, key_digest=key),
        "DELETE": CancelWorkflow(host="h", path=path, key_digest=key),
    }


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE", "count"])
@pytest.mark.parametrize(
    ("queue", "key", "answer"),
    [
        ("none", b"", NO_QUEUE),
        ("none", digest("wrong"), NO_QUEUE),
        ("closed", b"", UNKNOWN),
        ("closed", digest("wrong"), UNKNOWN),
        ("closed", UNREADABLE_KEY, UNKNOWN),
        ("closed", digest("ana2"), "ok"),
        ("open", b"", "ok"),
        ("open", digest("ana1"), "ok"),
        ("open", digest("wrong"), UNKNOWN),
        ("open", UNREADABLE_KEY, UNKNOWN),
    ],
)
def test_key_is_checked_after_the_queue(
    method: str, queue: str, key: bytes, answer: str
) -> None:
    """Guards against a call of any kind with a key that is not checked.

    An unknown job is told to callers with a key only.
    """
    control = Control(TWO)
    path = f"/{queue}/job"
    request = (
        CountWaiting(host="h", path=f"/{queue}/", key_digest=key)
        if method == "count"
        else requests(path, key)[method]
    )
    if answer == "ok" and method in ("GET", "DELETE"):
        answer = "job-gone"
    assert code_of(lambda: control.call(request)) == answer


@pytest.mark.parametrize(
    ("queue", "key", "workspace"),
    [
        ("closed", "ana1", "ana"),
        ("closed", "ana2", "ana"),
        ("closed", "luz1", "luz"),
        ("open", "", ""),
        ("open", "luz1", ""),
    ],
)
def test_workspace_is_stored_and_survives_its_removal(
    queue: str, key: str, workspace: str
) -> None:
    """Guards against a job that is counted for another workspace."""
    control = Control(TWO)
    control.call(submit(f"/{queue}/job", key))
    assert control.workspace("job") == workspace
    control.call(make_manifest(2))
    snapshot = control.machine.snapshot()
    control.machine.restore(snapshot)
    assert control.workspace("job") == workspace
    assert control.machine.snapshot() == snapshot


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
@pytest.mark.parametrize(
    ("owner", "path", "key", "answer"),
    [
        ("ana1", "/closed/job", "ana1", "ok"),
        ("ana1", "/closed/job", "ana2", "ok"),
        ("ana1", "/closed/job", "luz1", OTHER),
        ("ana1", "/open/job", "luz1", OTHER),
        ("ana1", "/open/job", "", OTHER),
        ("ana1", "/open/job", "ana1", "ok"),
        ("", "/open/job", "luz1", "ok"),
        ("", "/closed/job", "luz1", "ok"),
        ("", "/closed/job", "", UNKNOWN),
    ],
)
def test_job_of_another_workspace_is_not_touched(
    method: str, owner: str, path: str, key: str, answer: str
) -> None:
    """Guards against a workspace that sees or stops the job of another.

    The path of a public queue leads to no other job.
    """
    control = Control(TWO)
    control.call(submit("/closed/job" if owner else "/open/job", owner))
    before = control.machine.snapshot()
    request = requests(path, digest(key))[method]
    assert code_of(lambda: control.call(request)) == answer
    if answer != "ok":
        assert control.machine.snapshot() == before


@pytest.mark.parametrize(
    ("later", "key", "answer"),
    [
        # Callers of a queue that is public carry no key.
        (make_manifest(2, public="closed", ana="ana1", luz="luz1"), "", "ok"),
        (
            make_manifest(2, public="closed", ana="ana1", luz="luz1"),
            "luz1",
            OTHER,
        ),
        (make_manifest(2, luz="luz1"), "ana1", UNKNOWN),
        (make_manifest(2, ana="new"), "ana1", UNKNOWN),
        (make_manifest(2, ana="new"), "new", "ok"),
        (make_manifest(2, luz="ana1"), "ana1", OTHER),
        (make_manifest(2, queues="open", ana="ana1"), "ana1", NO_QUEUE),
        # A version without workspaces opens all.
        (WITHOUT, "wrong", "ok"),
    ],
)
def test_next_version_applies_to_stored_jobs(
    later: PublishManifest, key: str, answer: str
) -> None:
    """Guards against a withdrawn key that still reads or stops jobs."""
    control = Control(TWO)
    control.call(submit("/closed/job", "ana1"))
    control.call(later)
    for request in requests("/closed/job", digest(key)).values():
        assert code_of(functools.partial(control.call, request)) == answer
    assert control.workspace("job") == "ana"


@pytest.mark.parametrize(
    ("queue", "key", "later", "answer", "workspace"),
    [
        ("closed", "ana1", make_manifest(2, ana="new"), UNKNOWN, None),
        ("closed", "ana1", make_manifest(2, luz="x"), UNKNOWN, None),
        ("closed", "ana1", make_manifest(2, ana="ana1 x"), "ok", "ana"),
        ("closed", "ana1", make_manifest(2, luz="ana1"), "ok", "luz"),
        ("closed", "ana1", make_manifest(2, "closed", ana="ana1"), "ok", ""),
        ("open", "", make_manifest(2, "", ana="ana1"), UNKNOWN, None),
        ("closed", "ana1", WITHOUT, "ok", "ana"),
        ("open", "ana1", WITHOUT, "ok", ""),
        ("open", "ana1", make_manifest(2, "", ana="ana1"), "ok", "ana"),
        (
            "closed",
            "ana1",
            make_manifest(2, queues="open", ana="ana1"),
            NO_QUEUE,
            None,
        ),
    ],
)
def test_version_that_commits_before_the_job_decides(
    queue: str,
    key: str,
    later: PublishManifest,
    answer: str,
    workspace: str | None,
) -> None:
    """Guards against a job that is stored under a withdrawn key.

    The version commits between the leader's check and the job's commit.
    """
    control = Control(TWO)
    command = control.check(submit(f"/{queue}/job", key))
    control.call(later)
    assert code_of(lambda: control.apply(command)) == answer
    assert control.workspace("job") == workspace


def test_version_without_workspaces_opens_all() -> None:
    """Guards against a rest of the checks where keys do not exist."""
    control = Control(TWO)
    control.call(submit("/closed/job", "ana1"))
    control.call(WITHOUT)
    for request in requests("/open/job", UNREADABLE_KEY).values():
        assert code_of(functools.partial(control.call, request)) == "ok"


def test_second_of_two_submissions_in_flight_is_refused() -> None:
    """Guards against the state of a job that another workspace submitted.

    Both have one id and are checked before either is stored.
    """
    control = Control(TWO)
    commands = [
        control.check(submit("/closed/job", key)) for key in ("ana1", "luz1")
    ]
    control.apply(commands[0])
    assert code_of(lambda: control.apply(commands[1])) == OTHER
    assert control.workspace("job") == "ana"


@pytest.mark.parametrize(
    ("count", "gang", "queue", "answer"),
    [
        (3, True, "closed", "gang-too-large"),
        (2, True, "closed", "ok"),
        (3, False, "closed", "ok"),
        (3, True, "open", "ok"),
    ],
)
def test_gang_above_the_limit_is_refused(
    count: int, gang: bool, queue: str, answer: str
) -> None:
    """Guards against an accepted gang that can never start."""
    manifest = make_manifest(1, ana="ana1")
    assert manifest.workspaces is not None
    limited = msgspec.structs.replace(
        manifest.workspaces[0], processors_millicores_max=1_000
    )
    control = Control(msgspec.structs.replace(manifest, workspaces=(limited,)))
    step = StepSpec(count=count, processors_millicores=500, gang=gang)
    request = msgspec.structs.replace(
        submit(f"/{queue}/job", "ana1"),
        spec=WorkflowSpec(payload="", steps=(step,)),
    )
    assert code_of(lambda: control.call(request)) == answer
