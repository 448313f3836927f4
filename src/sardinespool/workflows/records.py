"""Records of jobs, occurrences, steps and tasks.

They are mutable and owned by one `WorkflowTable`, the only code that changes
them.
"""

import enum
from collections.abc import Sequence

from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.workflows import FINAL_STATES
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.messages.workflows import WorkflowState
from sardinespool.workflows.critical_path import critical_path_ms
from sardinespool.workflows.critical_path import PathTimes
from sardinespool.workflows.critical_path import remaining_path_ms
from sardinespool.workflows.task_key import task_key


class TaskState(enum.IntEnum):
    """State of a task."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class TaskRecord:
    """One task.

    Attributes
    ----------
    run : int
        Number of the latest run, 0 before the first.
    checkpoint_run : int
        Number of the run that produced `checkpoint`.
    failed_runs : frozenset of int
        Numbers of the runs that failed; empty for a long-running task, which
        has no limit. Only one member of a gang holds a number.
    crashed_runs : frozenset of int
        Numbers of the runs under which a worker crashed; also kept for
        long-running tasks. Only one member of a gang holds a number.
    suspected_crash : str
        Latest crash of which the task is a prime suspect, or "".
    trial_run : int
        Number of the latest run that is a trial, 0 if none is.
    crash_age_ms : int
        Greatest age at which one of the crashed runs is known to have lived.
    cleared_run : int
        Runs up to this number don't count as crashed any more.
    """

    __slots__ = (
        "checkpoint",
        "checkpoint_run",
        "cleared_run",
        "crash_age_ms",
        "crashed_runs",
        "failed_runs",
        "incarnation",
        "index",
        "key",
        "run",
        "state",
        "step",
        "suspected_crash",
        "trial_run",
        "worker_id",
    )

    def __init__(self, step: "StepRecord", index: int) -> None:
        self.step = step
        self.index = index
        workflow = step.workflow
        self.key = task_key(
            workflow.job_id, step.occurrence, step.position, index
        )
        self.state = TaskState.WAITING
        self.run = 0
        self.worker_id = ""
        self.incarnation = 0
        self.failed_runs: frozenset[int] = frozenset()
        self.checkpoint = ""
        self.checkpoint_run = 0
        self.crashed_runs: frozenset[int] = frozenset()
        self.suspected_crash = ""
        self.trial_run = 0
        self.crash_age_ms = 0
        self.cleared_run = 0

    @property
    def failures(self) -> int:
        """Number of failed runs."""
        return len(self.failed_runs)

    @property
    def ended_run(self) -> int:
        """Number of the latest run that has ended, 0 if none has."""
        return self.run - (self.state is TaskState.ASSIGNED)

    @property
    def members(self) -> "Sequence[TaskRecord]":
        """All tasks of the gang, or only this task outside a gang."""
        return self.step.tasks if self.step.spec.gang else (self,)

    def add_failed_run(self, run: int) -> bool:
        """Record a failed run; return whether it was not recorded before.

        The failure of several members in one run is one failure of the gang.
        """
        if any(run in member.failed_runs for member in self.members):
            return False
        self.failed_runs |= {run}
        return True

    def record_checkpoint(self, run: int, checkpoint: str) -> None:
        """Store the checkpoint of an ended run unless a later run has one.

        A checkpoint of one member applies to the whole gang. All members
        start from the same one, so it stays while a later run is assigned.
        """
        if not checkpoint or run < self.checkpoint_run:
            return
        if self.step.spec.gang and any(
            member.state is TaskState.ASSIGNED and member.run > run
            for member in self.members
        ):
            return
        for member in self.members:
            member.checkpoint = checkpoint
            member.checkpoint_run = run


class StepRecord:
    """One step of one occurrence.

    Attributes
    ----------
    remaining : int
        Number of tasks that are not done.
    remaining_path_ms : int
        Expected run time of the longest path from this step on.
    waiting : set of int
        Indexes of the tasks that are neither assigned nor done.
    """

    __slots__ = (
        "occurrence",
        "position",
        "remaining",
        "remaining_path_ms",
        "spec",
        "tasks",
        "waiting",
        "workflow",
    )

    def __init__(
        self,
        workflow: "WorkflowRecord",
        occurrence: int,
        position: int,
        spec: StepSpec,
    ) -> None:
        self.workflow = workflow
        self.occurrence = occurrence
        self.position = position
        self.spec = spec
        self.tasks = [TaskRecord(self, index) for index in range(spec.count)]
        self.remaining = spec.count
        self.remaining_path_ms = remaining_path_ms(workflow.spec, position)
        self.waiting = set(range(spec.count))

    @property
    def key(self) -> tuple[str, int, int]:
        """Job id, occurrence and position."""
        return self.workflow.job_id, self.occurrence, self.position

    @property
    def is_runnable(self) -> bool:
        """Whether the job has not ended and all predecessors are done."""
        if self.workflow.is_final:
            return False
        steps = self.workflow.occurrences[self.occurrence]
        return all(
            steps[predecessor].remaining == 0
            for predecessor in self.spec.after
        )

    @property
    def is_ready(self) -> bool:
        """Whether a task of the step may be assigned now."""
        if not self.waiting:
            return False
        # The members of a gang start together or not at all.
        if self.spec.gang and len(self.waiting) < self.spec.count:
            return False
        return self.is_runnable


class WorkflowRecord:
    """One job.

    Attributes
    ----------
    queue : QueueSpec
        Queue at the time of acceptance; used only if the manifest in force
        no longer has the queue.
    begun : bool
        Whether a worker is known to have begun a task of the job.
    critical_path_ms : int
        Expected run time of the critical path.
    predicted : PathTimes or None
        Predicted times. The leader sets them from learned run times; they are
        not replicated and decide only the order of starts and admission.
    occurrences : dict of int to list of StepRecord
        Steps of the opened occurrences.
    workspace : str
        Name of the workspace that submitted the job, or "".
    in_excess : bool
        Whether the job was above the quota of its workspace.
    """

    __slots__ = (
        "accepted_unix_ms",
        "begun",
        "critical_path_ms",
        "done_occurrences",
        "ended_unix_ms",
        "in_excess",
        "job_id",
        "occurrences",
        "predicted",
        "queue",
        "spec",
        "state",
        "workspace",
    )

    def __init__(
        self,
        job_id: str,
        queue: QueueSpec,
        spec: WorkflowSpec,
        accepted_unix_ms: int,
        workspace: str = "",
    ) -> None:
        self.job_id = job_id
        self.workspace = workspace
        self.in_excess = False
        self.queue = queue
        self.spec = spec
        self.accepted_unix_ms = accepted_unix_ms
        self.state: WorkflowState = "queued"
        self.begun = False
        self.critical_path_ms = critical_path_ms(spec)
        self.predicted: PathTimes | None = None
        self.ended_unix_ms = 0
        self.occurrences: dict[int, list[StepRecord]] = {}
        self.done_occurrences = 0

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self.state in FINAL_STATES

    @property
    def is_waiting(self) -> bool:
        """Whether the job has not ended and no task is known to have begun."""
        return not self.begun and not self.is_final

    @property
    def is_in_progress(self) -> bool:
        """Whether a task of the job is assigned or has begun."""
        return self.begun or any(
            step.remaining > len(step.waiting)
            for steps in self.occurrences.values()
            for step in steps
        )

    @property
    def occurrence_count(self) -> int:
        """Number of times the steps run."""
        return max(1, self.spec.repetitions)

    @property
    def next_due_unix_ms(self) -> int | None:
        """Due time of the next occurrence, None if none is left.

        Occurrences are opened in order.
        """
        opened = len(self.occurrences)
        if self.is_final or opened >= self.occurrence_count:
            return None
        if self.spec.repetitions == 0:
            return 0
        return self.spec.first_due_unix_ms + opened * self.spec.interval_ms

    def open_occurrence(self, occurrence: int) -> list[StepRecord]:
        """Return the steps of an occurrence, created on the first call."""
        steps = self.occurrences.get(occurrence)
        if steps is None:
            steps = [
                StepRecord(self, occurrence, position, spec)
                for position, spec in enumerate(self.spec.steps)
            ]
            self.occurrences[occurrence] = steps
        return steps
