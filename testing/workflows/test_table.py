"""State transitions of the workflow table."""

import pytest

from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.snapshot import restore_workflow
from sardinespool.workflows.snapshot import snapshot_of
from sardinespool.workflows.table import WorkflowTable
from testing.workflows.support import SingleJob


def test_step_waits_for_all_tasks_of_its_predecessors() -> None:
    """Guards against a start before all predecessors are done."""
    job = SingleJob(StepSpec(count=2), StepSpec(count=1, after=(0,)))
    assert job.assign("0.0.0")
    assert job.assign("0.0.1")
    job.end("0.0.0", "done")
    assert not job.assign("0.1.0")
    job.end("0.0.1", "done")
    assert job.assign("0.1.0")
    job.end("0.1.0", "done")
    assert job.workflow.state == "completed"


@pytest.mark.parametrize(
    ("outcomes", "state"),
    [
        (("failed", "done"), "completed"),
        (("failed", "failed"), "failed"),
        (("lost", "stopped", "lost", "failed", "done"), "completed"),
    ],
)
def test_only_failures_count_as_attempts(
    outcomes: tuple[RunOutcome, ...], state: str
) -> None:
    """Guards against jobs that fail because workers were lost."""
    job = SingleJob(StepSpec(count=1))
    for run, outcome in enumerate(outcomes, 1):
        assert job.assign("0.0.0", run)
        job.end("0.0.0", outcome, run)
    assert job.workflow.state == state


@pytest.mark.parametrize("outcome", ["done", "failed", "stopped", "lost"])
def test_long_running_task_is_restarted_after_any_end(
    outcome: RunOutcome,
) -> None:
    """Guards against a long-running task that is not restarted."""
    job = SingleJob(StepSpec(count=1, long_running=True))
    for run in range(1, 5):
        assert job.assign("0.0.0", run)
        job.end("0.0.0", outcome, run)
    assert job.workflow.state == "running"
    assert len(job.table.ready) == 1


def test_outdated_assignments_are_refused() -> None:
    """Guards against concurrent runs of a task and runs of ended jobs."""
    job = SingleJob(StepSpec(count=1))
    assert job.assign("0.0.0")
    assert not job.assign("0.0.0", 2)
    job.end("0.0.0", "lost")
    assert not job.assign("0.0.0", 1)
    assert job.table.cancel("j", 0) is job.workflow
    assert not job.assign("0.0.0", 2)
    assert not job.table.ready


def test_end_of_an_earlier_run_leaves_the_current_one_assigned() -> None:
    """Guards against a stale end that releases a running task."""
    job = SingleJob(StepSpec(count=1))
    assert job.assign("0.0.0", 1)
    job.end("0.0.0", "lost", 1)
    assert job.assign("0.0.0", 2)
    job.end("0.0.0", "lost", 1)
    assert not job.assign("0.0.0", 3)


def test_gang_is_assigned_as_a_whole_and_done_with_one_member() -> None:
    """Guards against a partially started gang."""
    job = SingleJob(StepSpec(count=2, gang=True))
    assert job.assign("0.0.0")
    assert not job.table.ready
    assert job.assign("0.0.1")
    job.end("0.0.0", "lost", checkpoint="c1")
    assert not job.table.ready
    job.end("0.0.1", "lost")
    assert job.table.ready
    assert job.table.task("j.0.0.1").checkpoint == "c1"
    assert job.assign("0.0.0", 2)
    assert job.assign("0.0.1", 2)
    job.end("0.0.1", "done", 2)
    assert job.workflow.state == "completed"


def test_repetitions_open_in_order_and_complete_together() -> None:
    """Guards against a repeated job that completes after one occurrence."""
    job = SingleJob(StepSpec(count=1), repetitions=2)
    assert job.workflow.next_due_unix_ms == 0
    job.table.open_occurrence(job.workflow, 0)
    assert job.workflow.next_due_unix_ms == 10
    assert job.assign("0.0.0")
    job.end("0.0.0", "done")
    assert job.workflow.state == "running"
    job.table.open_occurrence(job.workflow, 1)
    assert not job.table.unopened
    assert job.assign("1.0.0")
    job.end("1.0.0", "done")
    assert job.workflow.state == "completed"


def test_snapshot_restores_every_task_state() -> None:
    """Guards against a restart that loses runs or checkpoints."""
    job = SingleJob(StepSpec(count=3), StepSpec(count=1, after=(0,)))
    for index in range(3):
        assert job.assign(f"0.0.{index}")
    job.end("0.0.0", "done")
    job.end("0.0.1", "failed", checkpoint="c7")
    restored = WorkflowTable()
    restored.workflows["j"] = restore_workflow(snapshot_of(job.workflow))
    restored.rebuild_indexes()
    assert restored.ready.keys() == job.table.ready.keys()
    assert restored.assigned["w"].keys() == {"j.0.0.2"}
    task = restored.task("j.0.0.1")
    assert (task.checkpoint, task.failures, task.run) == ("c7", 1, 1)
    assert snapshot_of(restored.workflows["j"]) == snapshot_of(job.workflow)
