"""Commands that come again, late or out of order change nothing.

A reference gets each command once. The other machine gets the same commands
and, at any later point, copies of earlier ones, as a client or leader sends a
command again whose outcome it does not know. Both must hold the same state.
"""

import random
from typing import Any

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import FormGroup
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.worker_reports import DropWorker
from sardinespool.messages.worker_reports import PutWorker
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import Assignment
from sardinespool.messages.workflows import EndWorkflow
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.workflows.manifest import ManifestState
from sardinespool.workflows.records import TaskRecord
from sardinespool.workflows.records import TaskState
from sardinespool.workflows.records import WorkflowRecord
from sardinespool.workflows.table import WorkflowTable
from testing.store.control_cluster import make_description

JOBS = ("one", "two")
SPECS = (
    WorkflowSpec(
        payload="a", steps=(StepSpec(count=2), StepSpec(count=1, after=(0,)))
    ),
    WorkflowSpec(
        payload="b",
        steps=(StepSpec(count=2, gang=True), StepSpec(count=1, after=(0,))),
        repetitions=2,
        interval_ms=1,
    ),
)
WORKERS = ("w0", "w1")
OUTCOMES: tuple[RunOutcome, ...] = ("done", "failed", "lost", "stopped")
FAILURES_MAX = 3
KINDS = (
    *("accept", "assign", "assign", "assign", "end", "end", "end"),
    *("open", "worker", "drain", "leave", "manifest"),
)
STEPS = 40
SEEDS = strategies.integers(0, 2**32)
MUTANT_SEEDS = 60


def manifest(version: int) -> PublishManifest:
    """Return a manifest whose queue differs in each version."""
    return PublishManifest(
        version=version,
        queues=(
            QueueSpec(
                name="q",
                host="h",
                prefix="/",
                pool="p",
                priority=version,
                failures_max=FAILURES_MAX,
                stretch=1.0,
                latency_objective_ms=100,
            ),
        ),
        pools=(PoolSpec(name="p"),),
        source=str(version).encode(),
    )


def describe(worker_id: str, incarnation: int, draining: bool) -> PutWorker:
    """Return the registration of a worker's process."""
    return PutWorker(
        description=msgspec.structs.replace(
            make_description(worker_id, incarnation), draining=draining
        )
    )


def all_tasks(machine: ControlMachine) -> list[TaskRecord]:
    return [
        task
        for workflow in machine.table.workflows.values()
        for steps in workflow.occurrences.values()
        for step in steps
        for task in step.tasks
    ]


class Commands:
    """Draws the next command that a leader with this state may propose."""

    def __init__(self, machine: ControlMachine) -> None:
        self._machine = machine
        self._incarnations = dict.fromkeys(WORKERS, 0)

    def next(self, rng: random.Random) -> CommandBody:
        kind = rng.choice(KINDS)
        worker_id = rng.choice(WORKERS)
        incarnation = self._incarnations[worker_id]
        job = rng.randrange(len(JOBS))
        match kind:
            case "accept":
                return AcceptWorkflow(
                    job_id=JOBS[job], queue="q", spec=SPECS[job]
                )
            case "assign":
                return self._assign(worker_id, incarnation)
            case "end":
                return self._end(rng)
            case "open":
                workflow = self._machine.table.workflows.get(JOBS[1])
                opened = 0 if workflow is None else len(workflow.occurrences)
                return RecordRuns(opened=((JOBS[1], min(opened, 1)),))
            case "worker":
                self._incarnations[worker_id] = incarnation + 1
                return describe(worker_id, incarnation + 1, draining=False)
            case "drain":
                return describe(worker_id, max(1, incarnation), draining=True)
            case "leave":
                return DropWorker(worker_id=worker_id, incarnation=incarnation)
            case _:
                return manifest(self._machine.manifest.version + 1)

    def _assign(self, worker_id: str, incarnation: int) -> RecordRuns:
        ready = [
            task
            for step in self._machine.table.ready.values()
            for task in step.tasks
            if task.state is TaskState.WAITING
        ]
        tasks = ready[:1]
        if tasks and tasks[0].step.spec.gang:
            tasks = [task for task in ready if task.step is tasks[0].step]
        run = max((task.run for task in tasks), default=0) + 1
        return RecordRuns(
            assignments=tuple(
                Assignment(task.key, run, worker_id, incarnation)
                for task in tasks
            )
        )

    def _end(self, rng: random.Random) -> RecordRuns:
        started = [task for task in all_tasks(self._machine) if task.run]
        if not started:
            return RecordRuns()
        task = rng.choice(started)
        outcome = rng.choice(OUTCOMES)
        return RecordRuns(
            ends=(RunEnd(task.key, task.run, outcome, f"c{task.run}"),)
        )


def apply(
    machine: ControlMachine, body: CommandBody, now_unix_ms: int
) -> None:
    machine.apply(Command(proposed_unix_ms=now_unix_ms, body=body), 0)


def compare_with_reference(seed: int) -> None:
    """Apply random commands, with copies of earlier ones to one machine.

    Only commands that had an effect come again: one without, such as the
    cancel of a job that is not stored yet, may have one later.
    """
    rng = random.Random(seed)
    reference, other = ControlMachine(), ControlMachine()
    commands = Commands(reference)
    sent: list[CommandBody] = []
    state = b""
    for now_unix_ms in range(STEPS):
        body = commands.next(rng)
        if now_unix_ms < 2:
            body = (FormGroup(group_incarnation="g"), manifest(1))[now_unix_ms]
        elif now_unix_ms == STEPS - 10:
            body = EndWorkflow(job_id=rng.choice(JOBS))
        if _changes_its_outcome(body, sent):
            continue
        apply(reference, body, now_unix_ms)
        apply(other, body, now_unix_ms)
        if reference.snapshot() != state:
            state = reference.snapshot()
            sent.append(body)
        for _ in range(rng.randrange(4)):
            apply(other, rng.choice(sent), now_unix_ms)
        assert other.snapshot() == state


def _changes_its_outcome(body: CommandBody, sent: list[CommandBody]) -> bool:
    """Return whether a run would end in two ways, which no worker reports."""
    if not isinstance(body, RecordRuns) or not body.ends:
        return False
    (end,) = body.ends
    return any(
        (other.task, other.run) == (end.task, end.run)
        and other.outcome != end.outcome
        for earlier in sent
        if isinstance(earlier, RecordRuns)
        for other in earlier.ends
    )


@hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
@hypothesis.given(SEEDS)
def test_repeated_commands_change_nothing(seed: int) -> None:
    """Guards against a second effect of a command that is sent again."""
    compare_with_reference(seed)


def overwrite_manifest(
    state: ManifestState, published: PublishManifest
) -> bool:
    state.current = None
    return PUT_MANIFEST(state, published)


def accept_again(table: WorkflowTable, *arguments: Any) -> WorkflowRecord:
    table.workflows.pop(arguments[0].job_id, None)
    return ACCEPT(table, *arguments)


def cancel_ended(
    table: WorkflowTable, job_id: str, now_unix_ms: int
) -> WorkflowRecord | None:
    workflow = table.workflows.get(job_id)
    if workflow is not None:
        table._end_workflow(workflow, "cancelled", now_unix_ms)
    return workflow


def assign_any_run(
    table: WorkflowTable, assignment: Assignment
) -> TaskRecord | None:
    task = table.task(assignment.task)
    if task is not None and task.state is TaskState.WAITING:
        task.run = min(task.run, assignment.run - 1)
    return ASSIGNABLE(table, assignment)


def count_failure_again(task: TaskRecord, run: int) -> bool:
    task.failed_runs |= {max(task.failed_runs, default=0) + 1_000 + run}
    return True


def open_again(workflow: WorkflowRecord, occurrence: int) -> Any:
    workflow.occurrences.pop(occurrence, None)
    return OPEN(workflow, occurrence)


def store_any_checkpoint(task: TaskRecord, run: int, checkpoint: str) -> None:
    task.checkpoint, task.checkpoint_run = checkpoint, run


def end_current_run(table: WorkflowTable, end: RunEnd, *rest: Any) -> str:
    task = table.task(end.task)
    if task is not None and task.state is TaskState.ASSIGNED:
        end = RunEnd(end.task, task.run, end.outcome, end.checkpoint)
    return RECORD_END(table, end, *rest)


def put_any_worker(machine: ControlMachine, description: Any) -> None:
    machine.workers[description.worker_id] = description


def drop_any_worker(
    machine: ControlMachine, command: Command, index: int
) -> Any:
    body = command.body
    if isinstance(body, DropWorker):
        machine.workers.pop(body.worker_id, None)
        machine.departed.pop(body.worker_id, None)
    return APPLY(machine, command, index)


PUT_MANIFEST = ManifestState.put
ACCEPT = WorkflowTable.accept
ASSIGNABLE = WorkflowTable._assignable
RECORD_END = WorkflowTable._record_end
OPEN = WorkflowRecord.open_occurrence
APPLY = ControlMachine.apply


@pytest.mark.parametrize(
    ("owner", "name", "mutant"),
    [
        (ManifestState, "put", overwrite_manifest),
        (WorkflowTable, "cancel", cancel_ended),
        (WorkflowTable, "_assignable", assign_any_run),
        (WorkflowTable, "_record_end", end_current_run),
        (WorkflowRecord, "open_occurrence", open_again),
        (TaskRecord, "add_failed_run", count_failure_again),
        (TaskRecord, "record_checkpoint", store_any_checkpoint),
        (ControlMachine, "_put_worker", put_any_worker),
        (ControlMachine, "has_departed", lambda *_: False),
        (ControlMachine, "apply", drop_any_worker),
        (ControlMachine, "_accept_workflow", None),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)),
)
def test_each_fence_is_needed(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, mutant: Any
) -> None:
    """Guards against a check that passes whatever the machine does."""
    if mutant is None:

        def mutant(
            machine: ControlMachine, body: AcceptWorkflow, now_unix_ms: int
        ) -> Any:
            queue = machine.manifest.queue_named(body.queue)
            return accept_again(machine.table, body, queue, now_unix_ms)

    monkeypatch.setattr(owner, name, mutant)
    differing = 0
    for seed in range(MUTANT_SEEDS):
        try:
            compare_with_reference(seed)
        except AssertionError:
            differing += 1
    assert differing
