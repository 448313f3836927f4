"""The table of jobs, command by command."""

import pytest

from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import Assignment
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.workflows.snapshot import image_of
from sardinespool.workflows.snapshot import workflow_of
from sardinespool.workflows.table import WorkflowTable

QUEUE = QueueSpec(
    name="q",
    host="h",
    prefix="/",
    pool="p",
    priority=0,
    failures_max=2,
    stretch=1.5,
    latency_objective_ms=100,
)


class Jobs:
    """A table with a clock that nobody reads."""

    def __init__(self, *steps: StepSpec, repetitions: int = 0) -> None:
        self.table = WorkflowTable()
        spec = WorkflowSpec(
            payload="", steps=steps, repetitions=repetitions, interval_ms=10
        )
        self.workflow = self.table.accept(
            AcceptWorkflow(job_id="j", queue="q", spec=spec), QUEUE, 0
        )

    def assign(self, task: str, run: int = 1) -> bool:
        result = self.table.record_runs(
            RecordRuns(assignments=(Assignment(f"j.{task}", run, "w", 1),)),
            0,
            lambda workflow: workflow.queue.failures_max,
        )
        return not result.refused

    def end(
        self, task: str, outcome: RunOutcome, run: int = 1, saved: str = ""
    ) -> None:
        self.table.record_runs(
            RecordRuns(ends=(RunEnd(f"j.{task}", run, outcome, saved),)),
            0,
            lambda workflow: workflow.queue.failures_max,
        )


def test_later_step_waits_for_all_tasks_before() -> None:
    """Guards against a start before the steps that it follows are done."""
    jobs = Jobs(StepSpec(count=2), StepSpec(count=1, after=(0,)))
    assert jobs.assign("0.0.0")
    assert jobs.assign("0.0.1")
    jobs.end("0.0.0", "done")
    assert not jobs.assign("0.1.0")
    jobs.end("0.0.1", "done")
    assert jobs.assign("0.1.0")
    jobs.end("0.1.0", "done")
    assert jobs.workflow.state == "completed"


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
    """Guards against jobs that fail since their workers were lost."""
    jobs = Jobs(StepSpec(count=1))
    for run, outcome in enumerate(outcomes, 1):
        assert jobs.assign("0.0.0", run)
        jobs.end("0.0.0", outcome, run)
    assert jobs.workflow.state == state


@pytest.mark.parametrize("outcome", ["done", "failed", "stopped", "lost"])
def test_long_running_task_waits_again(outcome: RunOutcome) -> None:
    """Guards against a long-running task that is not started again."""
    jobs = Jobs(StepSpec(count=1, long_running=True))
    for run in range(1, 5):
        assert jobs.assign("0.0.0", run)
        jobs.end("0.0.0", outcome, run)
    assert jobs.workflow.state == "running"
    assert len(jobs.table.ready) == 1


def test_assignments_made_on_older_state_are_refused() -> None:
    """Guards against two runs of a task, or a run after its job's end."""
    jobs = Jobs(StepSpec(count=1))
    assert jobs.assign("0.0.0")
    assert not jobs.assign("0.0.0", 2)
    jobs.end("0.0.0", "lost")
    assert not jobs.assign("0.0.0", 1)
    assert jobs.table.cancel("j", 0) is jobs.workflow
    assert not jobs.assign("0.0.0", 2)
    assert not jobs.table.ready


def test_end_of_an_earlier_run_keeps_the_present_one() -> None:
    """Guards against an old report that frees a running task."""
    jobs = Jobs(StepSpec(count=1))
    assert jobs.assign("0.0.0", 1)
    jobs.end("0.0.0", "lost", 1)
    assert jobs.assign("0.0.0", 2)
    jobs.end("0.0.0", "lost", 1)
    assert not jobs.assign("0.0.0", 3)


def test_gang_is_ready_as_a_whole_and_done_by_one_end() -> None:
    """Guards against a gang of which a part is started."""
    jobs = Jobs(StepSpec(count=2, gang=True))
    assert jobs.assign("0.0.0")
    assert not jobs.table.ready
    assert jobs.assign("0.0.1")
    jobs.end("0.0.0", "lost", saved="c1")
    assert not jobs.table.ready
    jobs.end("0.0.1", "lost")
    assert jobs.table.ready
    assert jobs.table.task("j.0.0.1").checkpoint == "c1"
    assert jobs.assign("0.0.0", 2)
    assert jobs.assign("0.0.1", 2)
    jobs.end("0.0.1", "done", 2)
    assert jobs.workflow.state == "completed"


def test_repetitions_open_in_order_and_complete_together() -> None:
    """Guards against a repeated job that is complete after one time."""
    jobs = Jobs(StepSpec(count=1), repetitions=2)
    assert jobs.workflow.next_due_unix_ms == 0
    jobs.table.open_occurrence(jobs.workflow, 0)
    assert jobs.workflow.next_due_unix_ms == 10
    assert jobs.assign("0.0.0")
    jobs.end("0.0.0", "done")
    assert jobs.workflow.state == "running"
    jobs.table.open_occurrence(jobs.workflow, 1)
    assert not jobs.table.unopened
    assert jobs.assign("1.0.0")
    jobs.end("1.0.0", "done")
    assert jobs.workflow.state == "completed"


def test_snapshot_holds_every_state_of_a_task() -> None:
    """Guards against a restart that forgets runs or checkpoints."""
    jobs = Jobs(StepSpec(count=3), StepSpec(count=1, after=(0,)))
    for index in range(3):
        assert jobs.assign(f"0.0.{index}")
    jobs.end("0.0.0", "done")
    jobs.end("0.0.1", "failed", saved="c7")
    copy = WorkflowTable()
    copy.workflows["j"] = workflow_of(image_of(jobs.workflow))
    copy.restore_indexes()
    assert copy.ready.keys() == jobs.table.ready.keys()
    assert copy.assigned["w"].keys() == {"j.0.0.2"}
    task = copy.task("j.0.0.1")
    assert (task.checkpoint, task.failures, task.run) == ("c7", 1, 1)
    assert image_of(copy.workflows["j"]) == image_of(jobs.workflow)
