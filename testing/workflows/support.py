"""A workflow table with one job, for unit tests of the table."""

from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import Assignment
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
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


class SingleJob:
    """A workflow table with one job; all commands are applied at time 0."""

    def __init__(self, *steps: StepSpec, repetitions: int = 0) -> None:
        self.table = WorkflowTable()
        spec = WorkflowSpec(
            payload="", steps=steps, repetitions=repetitions, interval_ms=10
        )
        self.workflow = self.table.accept(
            AcceptWorkflow(job_id="j", queue="q", spec=spec), QUEUE, 0
        )

    def assign(self, task: str, run: int = 1, begins: bool = True) -> bool:
        """Assign a task, and let the worker begin it; return if accepted."""
        result = self.table.record_runs(
            RecordRuns(assignments=(Assignment(f"j.{task}", run, "w", 1),)),
            0,
            lambda workflow: workflow.queue.failures_max,
        )
        if result.refused:
            return False
        if begins:
            self.table.record_runs(
                RecordRuns(begun=("j",)),
                0,
                lambda workflow: workflow.queue.failures_max,
            )
        return True

    def end(
        self,
        task: str,
        outcome: RunOutcome,
        run: int = 1,
        checkpoint: str = "",
    ) -> None:
        self.table.record_runs(
            RecordRuns(ends=(RunEnd(f"j.{task}", run, outcome, checkpoint),)),
            0,
            lambda workflow: workflow.queue.failures_max,
        )
