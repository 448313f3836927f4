"""Jobs that count as waiting, as the record of their runs shows."""

from typing import Any

import pytest

from sardinespool.messages.workflows import Assignment
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowState
from sardinespool.workflows.snapshot import restore_workflow
from sardinespool.workflows.snapshot import snapshot_of
from sardinespool.workflows.table import WorkflowTable
from testing.workflows.support import SingleJob

ASSIGNED = {"assignments": (Assignment("j.0.0.0", 1, "w", 1),)}
ASSIGNED_AGAIN = {"assignments": (Assignment("j.0.0.0", 2, "w", 1),)}
OTHER_ASSIGNED = {"assignments": (Assignment("j.0.0.1", 1, "w", 1),)}
BEGUN = {"begun": ("j",)}


def ended(outcome: Any, run: int = 1) -> dict[str, Any]:
    return {"ends": (RunEnd("j.0.0.0", run, outcome),)}


@pytest.mark.parametrize(
    ("records", "waiting", "state"),
    [
        ([], 1, "queued"),
        # Assigned, and refused or lost before it began.
        ([ASSIGNED], 1, "queued"),
        ([ASSIGNED, ended("lost")], 1, "queued"),
        ([ASSIGNED, ended("lost"), ASSIGNED_AGAIN], 1, "queued"),
        ([ASSIGNED, ended("lost"), ASSIGNED_AGAIN, BEGUN], 0, "running"),
        # Begun once, whatever follows.
        ([ASSIGNED, BEGUN], 0, "running"),
        ([ASSIGNED, BEGUN, ended("lost")], 0, "running"),
        ([ASSIGNED, BEGUN, BEGUN], 0, "running"),
        ([ASSIGNED, BEGUN | ended("lost")], 0, "running"),
        ([ASSIGNED, OTHER_ASSIGNED, BEGUN, ended("lost")], 0, "running"),
        # Ends of runs whose begin no leader recorded.
        ([ASSIGNED, ended("failed")], 0, "running"),
        ([ASSIGNED, ended("stopped")], 0, "running"),
        ([ASSIGNED, ended("done")], 0, "running"),
        # The end of an earlier run is recorded late.
        (
            [ASSIGNED, ended("lost"), ASSIGNED_AGAIN, ended("failed")],
            0,
            "running",
        ),
        ([BEGUN, {"begun": ("unknown",)}], 0, "running"),
    ],
)
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("restores", [False, True])
def test_job_waits_until_a_task_has_begun(
    records: list[dict[str, Any]],
    waiting: int,
    state: WorkflowState,
    gang: bool,
    restores: bool,
) -> None:
    """Guards against a count of waiting jobs that omits assigned ones."""
    if gang and ended("done") in records:
        state = "completed"
    job = SingleJob(StepSpec(count=2, gang=gang))
    table = job.table
    for record in records:
        table.record_runs(RecordRuns(**record), 0, lambda workflow: 3)
        if restores:
            restored = restore_workflow(snapshot_of(table.workflows["j"]))
            table = WorkflowTable()
            table.workflows["j"] = restored
            table.rebuild_indexes()
    assert table.waiting_counts() == {"q": waiting}
    assert table.workflows["j"].state == state


@pytest.mark.parametrize("begins", [False, True])
@pytest.mark.parametrize("repetitions", [0, 3])
def test_ended_job_does_not_wait(begins: bool, repetitions: int) -> None:
    """Guards against counts that drift when a job ends."""
    job = SingleJob(StepSpec(count=1), repetitions=repetitions)
    assert job.table.waiting_counts() == {"q": 1}
    if begins:
        job.table.record_runs(RecordRuns(**BEGUN), 0, lambda workflow: 3)
    for _ in range(2):
        job.table.cancel("j", 0)
        job.table.record_runs(RecordRuns(**BEGUN), 0, lambda workflow: 3)
    assert job.table.waiting_counts() == {"q": 0}
    assert job.workflow.state == "cancelled"


def test_job_with_an_assigned_task_is_in_progress() -> None:
    """Guards against jobs that are overtaken between assignment and begin."""
    job = SingleJob(StepSpec(count=2))
    assert not job.workflow.is_in_progress
    assert job.assign("0.0.0", begins=False)
    assert job.workflow.is_in_progress
    job.end("0.0.0", "lost")
    assert not job.workflow.is_in_progress
    assert job.assign("0.0.0", 2, begins=False)
    job.end("0.0.0", "failed", 2)
    assert job.workflow.is_in_progress
