"""Ends of runs that are recorded again, or after a later run started."""

import dataclasses

import msgspec
import pytest

from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowState
from sardinespool.workflows.records import TaskState
from sardinespool.workflows.snapshot import restore_workflow
from sardinespool.workflows.snapshot import snapshot_of
from sardinespool.workflows.snapshot import TaskSnapshot
from sardinespool.workflows.snapshot import WorkflowSnapshot
from testing.workflows.support import SingleJob

GANG = StepSpec(count=2, gang=True)
SINGLE = StepSpec(count=1)


@dataclasses.dataclass(frozen=True)
class Start:
    """Assignment of a run of every task of the step."""

    run: int


@dataclasses.dataclass(frozen=True)
class End:
    """Recorded end of a run of one task."""

    run: int
    outcome: RunOutcome = "failed"
    index: int = 0
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True)
class Restore:
    """Restart from a snapshot."""


Event = Start | End | Restore


class EarlierTaskSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a task before the numbers of failed runs were stored."""

    state: int
    run: int
    worker_id: str
    life: int
    failures: int
    checkpoint: str


def apply_events(job: SingleJob, *events: Event) -> None:
    """Apply events to the first step of a job; all assignments must work."""
    for event in events:
        match event:
            case Start(run=run):
                for index in range(job.workflow.spec.steps[0].count):
                    assert job.assign(f"0.0.{index}", run)
            case End():
                job.end(
                    f"0.0.{event.index}",
                    event.outcome,
                    event.run,
                    event.checkpoint,
                )
            case Restore():
                restore(job, msgspec.msgpack.encode(snapshot_of(job.workflow)))


def restore(job: SingleJob, data: bytes) -> None:
    """Replace the state of a job by that of an encoded snapshot."""
    job.workflow = restore_workflow(
        msgspec.msgpack.decode(data, type=WorkflowSnapshot)
    )
    job.table.workflows["j"] = job.workflow
    job.table.rebuild_indexes()


def restore_earlier(
    job: SingleJob, *rows: tuple[TaskState, int, int, str]
) -> None:
    """Restore a snapshot of a build that stored no numbers of failed runs.

    Parameters
    ----------
    job : SingleJob
        Job with one step.
    *rows : tuple of (TaskState, int, int, str)
        State, run, failures and checkpoint of each task.
    """
    stored = msgspec.to_builtins(snapshot_of(job.workflow))
    stored |= {"state": "running", "begun": True}
    stored["occurrences"] = {
        0: [
            [
                EarlierTaskSnapshot(
                    int(state), run, "w", 1, failures, checkpoint
                )
                for state, run, failures, checkpoint in rows
            ]
        ]
    }
    restore(job, msgspec.msgpack.encode(stored))


@pytest.mark.parametrize(
    ("step", "events", "state"),
    [
        pytest.param(
            SINGLE, (Start(1), End(1), End(1)), "running", id="twice"
        ),
        pytest.param(
            SINGLE,
            (Start(1), End(1), Restore(), End(1)),
            "running",
            id="again-after-restore",
        ),
        pytest.param(
            SINGLE,
            (Start(1), End(1), Start(2), End(1)),
            "running",
            id="again-during-next-run",
        ),
        pytest.param(
            SINGLE,
            (Start(1), End(1), Start(2), Restore(), End(1)),
            "running",
            id="again-during-next-run-after-restore",
        ),
        pytest.param(
            SINGLE,
            (Start(1), End(1), Start(2), End(2, "lost"), End(1)),
            "running",
            id="again-after-next-run",
        ),
        pytest.param(
            SINGLE,
            (Start(1), End(1), End(1), Start(2), End(2)),
            "failed",
            id="two-failed-runs",
        ),
        pytest.param(
            SINGLE,
            (Start(1), End(1, "lost"), End(1), End(1)),
            "running",
            id="lost-then-failed-twice",
        ),
        pytest.param(
            SINGLE,
            (Start(1), End(1, "lost"), Start(2), End(1), End(1)),
            "running",
            id="late-twice",
        ),
        pytest.param(
            SINGLE,
            (Start(1), End(1, "lost"), Start(2), End(1), End(2)),
            "failed",
            id="late-then-second-failure",
        ),
        pytest.param(
            SINGLE,
            (
                Start(1),
                End(1, "lost"),
                Start(2),
                End(2, "lost"),
                End(1),
                End(2),
            ),
            "failed",
            id="two-late-failures",
        ),
        pytest.param(
            SINGLE,
            (Start(1), End(1), Start(2), End(2, "done"), End(1), End(2)),
            "completed",
            id="failed-after-done",
        ),
        pytest.param(
            GANG,
            (Start(1), End(1), End(1, index=1)),
            "running",
            id="members-of-one-run",
        ),
        pytest.param(
            GANG,
            (Start(1), End(1), Restore(), End(1, index=1)),
            "running",
            id="members-of-one-run-around-restore",
        ),
        pytest.param(
            GANG,
            (
                Start(1),
                End(1),
                End(1, "lost", index=1),
                Start(2),
                End(1),
                End(1, index=1),
            ),
            "running",
            id="members-of-one-run-late",
        ),
        pytest.param(
            GANG,
            (
                Start(1),
                End(1),
                End(1, "lost", index=1),
                Start(2),
                End(2, index=1),
            ),
            "failed",
            id="members-of-two-runs",
        ),
    ],
)
def test_repeated_end_does_not_use_up_an_attempt(
    step: StepSpec, events: tuple[Event, ...], state: WorkflowState
) -> None:
    """Guards against jobs that fail after too few failed runs.

    A worker lists an end until it is acknowledged, and a new leader records
    it again.
    """
    job = SingleJob(step)
    apply_events(job, *events)
    assert job.workflow.state == state


def test_long_running_task_keeps_no_failed_runs() -> None:
    """Guards against state that grows with each restart of a task."""
    job = SingleJob(StepSpec(count=1, long_running=True))
    for run in range(1, 6):
        apply_events(job, Start(run), End(run), End(run))
    (task,) = job.workflow.occurrences[0][0].tasks
    assert task.failures == 0


@pytest.mark.parametrize(
    ("step", "events", "checkpoint"),
    [
        pytest.param(
            SINGLE,
            (
                Start(1),
                End(1, "lost", checkpoint="c1"),
                Start(2),
                End(2, "lost", checkpoint="c2"),
                End(1, "lost", checkpoint="c1"),
            ),
            "c2",
            id="older-after-newer",
        ),
        pytest.param(
            SINGLE,
            (
                Start(1),
                End(1, "lost", checkpoint="c1"),
                Start(2),
                End(2, "lost", checkpoint="c2"),
                Restore(),
                End(1, "lost", checkpoint="c1"),
            ),
            "c2",
            id="older-after-restore",
        ),
        pytest.param(
            SINGLE,
            (
                Start(1),
                End(1, "lost", checkpoint="c1"),
                End(1, "stopped", checkpoint="c2"),
            ),
            "c2",
            id="last-of-lost-run",
        ),
        pytest.param(
            SINGLE,
            (
                Start(1),
                End(1, "lost"),
                Start(2),
                End(1, "lost", checkpoint="c1"),
            ),
            "c1",
            id="late-of-lost-run",
        ),
        pytest.param(
            GANG,
            (
                Start(1),
                End(1, "lost", checkpoint="c1"),
                End(1, "lost", index=1),
                Start(2),
                End(2, "lost", checkpoint="c2"),
                End(2, "lost", index=1),
                End(1, "lost", index=1, checkpoint="c1"),
            ),
            "c2",
            id="gang-older-after-newer",
        ),
        pytest.param(
            GANG,
            (
                Start(1),
                End(1, "lost", checkpoint="c1"),
                End(1, "lost", index=1),
                Start(2),
                End(1, "lost", index=1, checkpoint="c2"),
            ),
            "c1",
            id="gang-during-next-run",
        ),
    ],
)
def test_late_end_does_not_replace_a_newer_checkpoint(
    step: StepSpec, events: tuple[Event, ...], checkpoint: str
) -> None:
    """Guards against work done again, and gangs that start unevenly."""
    job = SingleJob(step)
    apply_events(job, *events)
    for task in job.workflow.occurrences[0][0].tasks:
        assert task.checkpoint == checkpoint


@pytest.mark.parametrize(
    ("row", "events", "state"),
    [
        pytest.param(
            (TaskState.WAITING, 1, 1),
            (End(1), Start(2)),
            "running",
            id="repeated",
        ),
        pytest.param(
            (TaskState.WAITING, 1, 1),
            (End(1), Start(2), End(2)),
            "failed",
            id="count-is-kept",
        ),
        pytest.param(
            (TaskState.ASSIGNED, 2, 1),
            (End(1),),
            "running",
            id="repeated-during-next-run",
        ),
        pytest.param(
            (TaskState.ASSIGNED, 2, 1),
            (End(2),),
            "failed",
            id="count-is-kept-during-next-run",
        ),
        pytest.param(
            (TaskState.WAITING, 3, 1),
            (End(3),),
            "running",
            id="repeated-after-other-ends",
        ),
        pytest.param(
            (TaskState.WAITING, 1, 2),
            (End(1), Start(2), End(2, "lost"), End(1)),
            "running",
            id="more-failures-than-runs",
        ),
    ],
)
def test_snapshot_of_an_earlier_build_keeps_the_failures(
    row: tuple[TaskState, int, int],
    events: tuple[Event, ...],
    state: WorkflowState,
) -> None:
    """Guards against lost or doubled attempts after an upgrade."""
    job = SingleJob(SINGLE)
    restore_earlier(job, (*row, ""))
    apply_events(job, *events)
    assert job.workflow.state == state


def test_snapshot_of_an_earlier_build_keeps_the_failures_of_a_gang() -> None:
    """Guards against members whose failed runs are taken for one run."""
    job = SingleJob(StepSpec(count=3, gang=True))
    restore_earlier(
        job,
        (TaskState.WAITING, 2, 1, ""),
        (TaskState.WAITING, 2, 0, ""),
        (TaskState.WAITING, 2, 1, ""),
    )
    apply_events(job, End(2, index=1))
    assert job.workflow.state == "running"
    apply_events(job, Start(3), End(3, index=1))
    assert job.workflow.state == "failed"
    failures = [task.failures for task in job.workflow.occurrences[0][0].tasks]
    assert failures == [1, 1, 1]


def test_snapshot_of_an_earlier_build_keeps_the_checkpoint() -> None:
    """Guards against an older checkpoint after an upgrade."""
    job = SingleJob(SINGLE)
    restore_earlier(job, (TaskState.WAITING, 2, 0, "c2"))
    apply_events(job, End(1, "lost", checkpoint="c1"))
    (task,) = job.workflow.occurrences[0][0].tasks
    assert task.checkpoint == "c2"
    apply_events(job, Start(3), End(3, "lost", checkpoint="c3"))
    assert task.checkpoint == "c3"


@pytest.mark.parametrize(
    ("step", "events", "failures"),
    [
        pytest.param(SINGLE, (Start(1), End(1), End(1)), (1,), id="repeated"),
        pytest.param(
            SINGLE, (Start(1), End(1, "lost"), Start(2)), (0,), id="none"
        ),
        pytest.param(
            GANG,
            (Start(1), End(1, index=1), End(1, index=0)),
            (0, 1),
            id="gang",
        ),
    ],
)
def test_earlier_build_reads_a_snapshot(
    step: StepSpec, events: tuple[Event, ...], failures: tuple[int, ...]
) -> None:
    """Guards against replicas that can't restart during a rolling upgrade."""
    job = SingleJob(step)
    apply_events(job, *events)
    ((tasks,),) = snapshot_of(job.workflow).occurrences.values()
    for task, count in zip(tasks, failures, strict=True):
        data = msgspec.msgpack.encode(task)
        earlier = msgspec.msgpack.decode(data, type=EarlierTaskSnapshot)
        assert earlier.failures == count
        assert (earlier.state, earlier.run) == (task.state, task.run)
        assert msgspec.msgpack.decode(data, type=TaskSnapshot) == task
