"""Table of the jobs of a group, changed only by committed commands."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from types import MappingProxyType

from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import Assignment
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import RunsRecorded
from sardinespool.messages.workflows import WorkflowState
from sardinespool.workflows import crash_evidence
from sardinespool.workflows.assignment_units import has_room
from sardinespool.workflows.assignment_units import is_whole
from sardinespool.workflows.assignment_units import units_of
from sardinespool.workflows.job_sizes import JobSizes
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import TaskRecord
from sardinespool.workflows.records import TaskState
from sardinespool.workflows.records import WorkflowRecord
from sardinespool.workflows.run_index import RunIndex
from sardinespool.workflows.task_key import split_task_key
from sardinespool.workspaces.shares import JobQuotas
from sardinespool.workspaces.usage import WorkspaceUsage

StepKey = tuple[str, int, int]
FailureLimit = Callable[[WorkflowRecord], int]
"""Returns the number of failed runs of a task at which its job fails."""
NO_WORKSPACES: Mapping[str, WorkspaceSpec] = MappingProxyType({})


class WorkflowTable:
    """Jobs, their ready steps and the runs assigned to workers.

    Attributes
    ----------
    workflows : dict of str to WorkflowRecord
        All stored jobs by id.
    ready : dict of step key to StepRecord
        Steps with tasks that may be assigned now.
    ready_by_job : dict of str to dict
        The same by job id. A planning pass that considers only a part of them
        changes their order, see `ready_window`.
    unopened : dict of str to WorkflowRecord
        Jobs with occurrences that are not opened yet, by id.
    runs : RunIndex
        Runs whose end is not recorded.
    waiting : dict of str to set of str
        Ids of the jobs that wait for the begin of their first task, by queue.
    suspects : dict of str to TaskRecord
        Tasks whose next run must be a trial, by name.
    quotas : JobQuotas
        Quotas of the workspaces.
    sizes : JobSizes
        Sizes of all stored jobs.
    """

    def __init__(self) -> None:
        self.workflows: dict[str, WorkflowRecord] = {}
        self.ready: dict[StepKey, StepRecord] = {}
        self.ready_by_job: dict[str, dict[StepKey, StepRecord]] = {}
        self.unopened: dict[str, WorkflowRecord] = {}
        self.runs = RunIndex()
        self.waiting: dict[str, set[str]] = {}
        self.suspects: dict[str, TaskRecord] = {}
        self.quotas = JobQuotas()
        self.sizes = JobSizes()

    @property
    def assigned(self) -> dict[str, dict[str, TaskRecord]]:
        """Assigned tasks by worker id and task name."""
        return self.runs.assigned

    @property
    def usage(self) -> WorkspaceUsage:
        """What may run by workspace."""
        return self.runs.usage

    def accept(
        self,
        body: AcceptWorkflow,
        queue: QueueSpec,
        now_unix_ms: int,
        workspaces: Mapping[str, WorkspaceSpec] = NO_WORKSPACES,
    ) -> WorkflowRecord:
        """Store a job; idempotent, returns the stored job for a known id."""
        workflow = self.workflows.get(body.job_id)
        if workflow is None:
            workflow = WorkflowRecord(
                body.job_id,
                queue,
                body.spec,
                now_unix_ms,
                body.workspace,
            )
            workspace = workspaces.get(body.workspace)
            if workspace is not None:
                workflow.in_excess = self.quotas.exceeds(
                    workspace.name, workspace.weight, now_unix_ms
                )
            self.workflows[body.job_id] = workflow
            self.sizes.add(body.job_id, body.spec)
            self._update_waiting(workflow)
            if body.spec.repetitions:
                self.unopened[body.job_id] = workflow
            else:
                self.open_occurrence(workflow, 0)
        return workflow

    def cancel(self, job_id: str, now_unix_ms: int) -> WorkflowRecord | None:
        """Cancel a job unless it has ended; return it if it exists."""
        workflow = self.workflows.get(job_id)
        if workflow is not None and not workflow.is_final:
            self._end_workflow(workflow, "cancelled", now_unix_ms)
        return workflow

    def record_runs(
        self,
        body: RecordRuns,
        now_unix_ms: int,
        failures_max: FailureLimit,
        workspaces: Mapping[str, WorkspaceSpec] = NO_WORKSPACES,
    ) -> RunsRecorded:
        """Apply begins, ends, opened occurrences, assignments and removals.

        An assignment is refused unless its task is waiting in a runnable step
        and its run number is new, so that outdated plans have no effect. It
        is also refused if its workspace would exceed its limit, as may happen
        when the limit fell after the plan.
        """
        for job_id in body.begun:
            workflow = self.workflows.get(job_id)
            if workflow is not None:
                self._mark_begun(workflow)
        ended_jobs: list[str] = []
        for end in body.ends:
            job_id = self._record_end(end, now_unix_ms, failures_max)
            if job_id:
                ended_jobs.append(job_id)
        for job_id, occurrence in body.opened:
            workflow = self.workflows.get(job_id)
            if workflow is not None and not workflow.is_final:
                self.open_occurrence(workflow, occurrence)
        refused = self._assign(body.assignments, workspaces)
        for job_id in body.forgotten_jobs:
            self._delete(job_id)
        return RunsRecorded(refused=refused, ended_jobs=tuple(ended_jobs))

    def open_occurrence(
        self, workflow: WorkflowRecord, occurrence: int
    ) -> None:
        """Open an occurrence and index its ready steps."""
        for step in workflow.open_occurrence(occurrence):
            self._update_ready(step)
        if workflow.next_due_unix_ms is None:
            self.unopened.pop(workflow.job_id, None)

    def waiting_counts(self) -> dict[str, int]:
        """Return the number of waiting jobs by queue."""
        return {name: len(jobs) for name, jobs in self.waiting.items()}

    def task(self, key: str) -> TaskRecord | None:
        """Return a task by its name, or None if it does not exist."""
        parts = split_task_key(key)
        if parts is None:
            return None
        job_id, occurrence, position, index = parts
        workflow = self.workflows.get(job_id)
        if workflow is None:
            return None
        steps = workflow.occurrences.get(occurrence)
        if steps is None or position >= len(steps):
            return None
        tasks = steps[position].tasks
        return tasks[index] if index < len(tasks) else None

    def rebuild_indexes(self) -> None:
        """Rebuild all indexes from the jobs."""
        self.ready.clear()
        self.ready_by_job.clear()
        self.unopened.clear()
        self.runs.clear()
        self.waiting.clear()
        self.suspects.clear()
        self.sizes.clear()
        for workflow in self.workflows.values():
            self.sizes.add(workflow.job_id, workflow.spec)
            self._update_waiting(workflow)
            if workflow.next_due_unix_ms is not None:
                self.unopened[workflow.job_id] = workflow
            for steps in workflow.occurrences.values():
                for step in steps:
                    self._update_ready(step)
                    for task in step.tasks:
                        if task.worker_id:
                            self.runs.add(task)
                    crash_evidence.restore_suspects(self.suspects, step.tasks)

    def _assign(
        self,
        assignments: Sequence[Assignment],
        workspaces: Mapping[str, WorkspaceSpec],
    ) -> tuple[int, ...]:
        """Apply assignments; return the positions of the refused ones."""
        refused: list[int] = []
        for positions in units_of(assignments, self.task, workspaces):
            tasks = [
                task
                for position in positions
                if (task := self._assignable(assignments[position]))
            ]
            if (
                not tasks
                or not has_room(tasks[0].step, self.usage, workspaces)
                or (
                    tasks[0].step.workflow.workspace in workspaces
                    and not is_whole(tasks)
                )
            ):
                refused += positions
                continue
            for task, position in zip(tasks, positions, strict=True):
                self._apply_assignment(task, assignments[position])
        return tuple(sorted(refused))

    def _assignable(self, assignment: Assignment) -> TaskRecord | None:
        """Return the task of an assignment if it waits for this run."""
        task = self.task(assignment.task)
        if (
            task is None
            or task.state is not TaskState.WAITING
            or assignment.run <= task.run
            or not task.step.is_runnable
        ):
            return None
        return task

    def _apply_assignment(
        self, task: TaskRecord, assignment: Assignment
    ) -> None:
        task.state = TaskState.ASSIGNED
        task.run = assignment.run
        task.worker_id = assignment.worker_id
        task.incarnation = assignment.incarnation
        if assignment.trial:
            task.trial_run = assignment.run
        step = task.step
        step.waiting.discard(task.index)
        step.last_run = max(step.last_run, task.run)
        step.workflow.assigned_count += 1
        step.workflow.changes += 1
        self.runs.add(task)
        self._update_ready(step)

    def _record_end(
        self, end: RunEnd, now_unix_ms: int, failures_max: FailureLimit
    ) -> str:
        """Record the end of a run; return the job id if that ended the job.

        An end may be recorded again, also after later runs of the task: a
        worker lists it until it is acknowledged, and the next leader does not
        know which ends are recorded.
        """
        task = self.task(end.task)
        if task is None or end.run > task.run:
            return ""
        if task.state is TaskState.DONE:
            if end.run == task.run:
                self.runs.remove(task)
            return ""
        is_current = task.state is TaskState.ASSIGNED and end.run == task.run
        task.record_checkpoint(end.run, end.checkpoint)
        if is_current:
            self._unassign(task)
        step = task.step
        has_failed_anew = False
        if not step.spec.long_running:
            if end.outcome == "done":
                self._mark_done(task)
            elif end.outcome == "failed":
                has_failed_anew = task.add_failed_run(end.run)
        workflow = step.workflow
        if end.outcome != "lost":
            # A worker ends a run so only after it has begun it.
            self._mark_begun(workflow)
        was_final = workflow.is_final
        fails_job = crash_evidence.record_crash(self.suspects, task, end)
        if not was_final:
            if step.remaining == 0:
                self._complete_step(step, now_unix_ms)
            elif has_failed_anew and (
                step.failures if step.spec.gang else task.failures
            ) >= failures_max(workflow):
                self._end_workflow(workflow, "failed", now_unix_ms)
            elif fails_job:
                self._end_workflow(workflow, "failed", now_unix_ms)
        self._update_ready(step)
        return workflow.job_id if workflow.is_final > was_final else ""

    def _unassign(self, task: TaskRecord) -> None:
        self.runs.remove(task)
        task.state = TaskState.WAITING
        task.step.waiting.add(task.index)
        task.step.workflow.assigned_count -= 1
        task.step.workflow.changes += 1

    def _mark_done(self, task: TaskRecord) -> None:
        step = task.step
        # A gang is done as soon as one member is.
        for member in task.members:
            if member.state is TaskState.DONE:
                continue
            worker_id = member.worker_id
            if member.state is TaskState.ASSIGNED:
                self._unassign(member)
            member.state = TaskState.DONE
            if worker_id:
                # This run goes on until its own end is recorded.
                member.worker_id = worker_id
                self.runs.add(member)
            self.suspects.pop(member.key, None)
            step.waiting.discard(member.index)
            step.remaining -= 1
            step.workflow.changes += 1

    def _complete_step(self, step: StepRecord, now_unix_ms: int) -> None:
        workflow = step.workflow
        for later in workflow.step_done(step):
            self._update_ready(later)
        if workflow.open_steps[step.occurrence]:
            return
        workflow.done_occurrences += 1
        if workflow.done_occurrences == workflow.occurrence_count:
            self._end_workflow(workflow, "completed", now_unix_ms)

    def _end_workflow(
        self,
        workflow: WorkflowRecord,
        state: WorkflowState,
        now_unix_ms: int,
    ) -> None:
        workflow.state = state
        workflow.ended_unix_ms = now_unix_ms
        self._update_waiting(workflow)
        self.unopened.pop(workflow.job_id, None)
        crash_evidence.update_suspects(
            self.suspects,
            [
                task
                for task in self.suspects.values()
                if task.step.workflow is workflow
            ],
        )
        for key in self.ready_by_job.pop(workflow.job_id, ()):
            del self.ready[key]

    def _delete(self, job_id: str) -> None:
        workflow = self.workflows.get(job_id)
        if workflow is None or not workflow.is_final:
            return
        del self.workflows[job_id]
        self.sizes.remove(job_id)
        for steps in workflow.occurrences.values():
            for step in steps:
                for task in step.tasks:
                    self.runs.remove(task)

    def _update_ready(self, step: StepRecord) -> None:
        key = step.key
        job_id = step.workflow.job_id
        if step.is_ready:
            self.ready[key] = step
            self.ready_by_job.setdefault(job_id, {})[key] = step
        elif self.ready.pop(key, None) is not None:
            steps = self.ready_by_job[job_id]
            del steps[key]
            if not steps:
                del self.ready_by_job[job_id]

    def _mark_begun(self, workflow: WorkflowRecord) -> None:
        workflow.begun = True
        if workflow.state == "queued":
            workflow.state = "running"
        self._update_waiting(workflow)

    def _update_waiting(self, workflow: WorkflowRecord) -> None:
        jobs = self.waiting.setdefault(workflow.queue.name, set())
        if workflow.is_waiting:
            jobs.add(workflow.job_id)
        else:
            jobs.discard(workflow.job_id)
