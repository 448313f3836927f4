"""Log, snapshot and requests of a build without workspaces.

`earlier_state.msgpack` was recorded by dc19bc5: six commands, a snapshot
taken after the fifth, and the requests of a front.
"""

import pathlib

import msgspec
import pytest

from sardinespool.messages import codec
from sardinespool.messages.workflows import AcceptWorkflow
from testing.workflows.workspaces import code_of
from testing.workflows.workspaces import Control
from testing.workflows.workspaces import JOB
from testing.workflows.workspaces import make_manifest
from testing.workflows.workspaces import submit

STATE_FILE = pathlib.Path(__file__).with_name("earlier_state.msgpack")


class Recording(msgspec.Struct):
    """Content of the file."""

    commands: list[bytes]
    snapshot_after: int
    snapshot: bytes
    requests: list[bytes]


RECORDING = msgspec.msgpack.decode(STATE_FILE.read_bytes(), type=Recording)


@pytest.mark.parametrize("from_snapshot", [False, True])
def test_earlier_log_and_snapshot_are_read(from_snapshot: bool) -> None:
    """Guards against a store that a new build can't read.

    Its jobs have no workspace, and no request needs a key.
    """
    control = Control()
    start = 0
    if from_snapshot:
        control.machine.restore(RECORDING.snapshot)
        start = RECORDING.snapshot_after
    for data in RECORDING.commands[start:]:
        control.apply(codec.decode_command(data).body)
    assert not control.machine.manifest.has_workspaces
    states = {
        job_id: (workflow.state, workflow.workspace)
        for job_id, workflow in control.machine.table.workflows.items()
    }
    assert states == {
        "first": ("queued", ""),
        "second": ("cancelled", ""),
        "third": ("queued", ""),
    }
    for data in RECORDING.requests:
        control.call(codec.decode_request(data))
    assert control.workspace("fourth") == ""


def test_first_version_with_workspaces_keeps_earlier_jobs() -> None:
    """Guards against jobs that nobody can read or stop after an upgrade.

    Fronts of an earlier build send no key.
    """
    control = Control()
    control.machine.restore(RECORDING.snapshot)
    control.call(make_manifest(2, ana="ana1"))
    for data in RECORDING.requests:
        request = codec.decode_request(data)
        code = code_of(lambda request=request: control.call(request))  # type: ignore[misc]
        assert code == "unknown-workspace-key"
    assert code_of(lambda: control.call(submit("/closed/first", "ana1"))) == (
        "ok"
    )


def test_earlier_command_is_not_checked_again() -> None:
    """Guards against members that apply an earlier command differently."""
    control = Control(make_manifest(1, ana="ana1"))
    control.apply(AcceptWorkflow(job_id="job", queue="closed", spec=JOB))
    assert control.workspace("job") == ""
