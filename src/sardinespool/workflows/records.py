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
from sardinespool.workflows.critical_path import remaining_paths_ms
from sardinespool.workflows.critical_path import successors_of
from sardinespool.workflows.task_key import task_key
from sardinespool.workflows.work_share import WorkShare


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
        failed_runs = (
            self.step.gang_failed_runs
            if self.step.spec.gang
            else self.failed_runs
        )
        if run in failed_runs:
            return False
        self.failed_runs |= {run}
        if self.step.spec.gang:
            self.step.gang_failed_runs.add(run)
        return True

    def record_checkpoint(self, run: int, checkpoint: str) -> None:
        """Store the checkpoint of an ended run unless a later run has one.

        A checkpoint of one member applies to the whole gang. All members
        start from the same one, so it stays while a later run is assigned.
        """
        if not checkpoint or run < self.checkpoint_run:
            return
        if run == self.checkpoint_run and checkpoint == self.checkpoint:
            return
        # The assigned members of a gang have the latest run.
        if (
            self.step.spec.gang
            and self.step.assigned_count
            and self.step.last_run > run
        ):
            return
        for member in self.members:
            member.checkpoint = checkpoint
            member.checkpoint_run = run


class StepRecord:
    """One step of one occurrence.

    Attributes
    ----------
    open_predecessors : int
        Number of the steps in `after` that are not done.
    gang_failed_runs, gang_crashed_runs : set of int
        Numbers of the failed runs of all members of a gang, and of those
        under which a worker crashed.
    gang_cleared_run : int
        Runs of a gang up to this number don't count as crashed any more.
    last_run : int
        Highest number of a run of its tasks.
    remaining : int
        Number of tasks that are not done.
    remaining_path_ms : int
        Expected run time of the longest path from this step on.
    waiting : set of int
        Indexes of the tasks that are neither assigned nor done.
    """

    __slots__ = (
        "gang_cleared_run",
        "gang_crashed_runs",
        "gang_failed_runs",
        "last_run",
        "occurrence",
        "open_predecessors",
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
        self.remaining_path_ms = workflow.remaining_paths_ms[position]
        self.waiting = set(range(spec.count))
        self.open_predecessors = len(set(spec.after))
        self.gang_failed_runs: set[int] = set()
        self.gang_crashed_runs: set[int] = set()
        self.gang_cleared_run = 0
        self.last_run = 0

    @property
    def key(self) -> tuple[str, int, int]:
        """Job id, occurrence and position."""
        return self.workflow.job_id, self.occurrence, self.position

    @property
    def is_runnable(self) -> bool:
        """Whether the job has not ended and all predecessors are done."""
        return not self.open_predecessors and not self.workflow.is_final

    @property
    def assigned_count(self) -> int:
        """Number of tasks that are assigned."""
        return self.remaining - len(self.waiting)

    @property
    def failures(self) -> int:
        """Number of failed runs of a gang."""
        return len(self.gang_failed_runs)

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
    assigned_count : int
        Number of tasks that are assigned.
    changes : int
        Number of changes of the states of its tasks since it was loaded.
    extent : int
        Number of its steps and of their dependencies.
    open_steps : dict of int to int
        Number of steps that are not done, by occurrence.
    remaining_paths_ms : tuple of int
        Expected run time of the longest path from each step on.
    successors : tuple of tuple of int
        Positions of the steps that wait for each step.
    predicted : PathTimes or None
        Predicted times. The leader sets them from learned run times; they are
        not replicated and decide only the order of starts and admission.
    unpredicted_ends : int
        Ends of runs since the times were predicted; held by the leader.
    work_shares : dict of int to WorkShare
        Share of the work that is left, by occurrence; held by the leader.
    occurrences : dict of int to list of StepRecord
        Steps of the opened occurrences.
    workspace : str
        Name of the workspace that submitted the job, or "".
    in_excess : bool
        Whether the job was above the quota of its workspace.
    """

    __slots__ = (
        "accepted_unix_ms",
        "assigned_count",
        "begun",
        "changes",
        "critical_path_ms",
        "done_occurrences",
        "ended_unix_ms",
        "extent",
        "in_excess",
        "job_id",
        "occurrences",
        "open_steps",
        "predicted",
        "queue",
        "remaining_paths_ms",
        "spec",
        "state",
        "successors",
        "unpredicted_ends",
        "work_shares",
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
        self.remaining_paths_ms = remaining_paths_ms(spec)
        self.successors = successors_of(spec)
        self.extent = len(spec.steps) + sum(map(len, self.successors))
        self.assigned_count = 0
        self.changes = 0
        self.open_steps: dict[int, int] = {}
        self.predicted: PathTimes | None = None
        self.unpredicted_ends = 0
        self.work_shares: dict[int, WorkShare] = {}
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
        return self.begun or self.assigned_count > 0

    @property
    def opened_steps(self) -> int:
        """Number of steps of all opened occurrences."""
        return len(self.spec.steps) * len(self.occurrences)

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
            self.open_steps[occurrence] = len(steps)
        return steps

    def step_done(self, step: StepRecord) -> list[StepRecord]:
        """Count a step whose last task is done; return its successors."""
        self.open_steps[step.occurrence] -= 1
        steps = self.occurrences[step.occurrence]
        later = [
            steps[position] for position in self.successors[step.position]
        ]
        for successor in later:
            successor.open_predecessors -= 1
        return later
