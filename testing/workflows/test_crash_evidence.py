"""Evidence of crashes in the replicated state."""

import dataclasses

import msgspec
import pytest

from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import Assignment
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.workflows.crash_evidence import CLEARING_AGE_MS
from sardinespool.workflows.records import TaskRecord
from sardinespool.workflows.snapshot import restore_workflow
from sardinespool.workflows.snapshot import snapshot_of
from sardinespool.workflows.snapshot import TaskSnapshot
from sardinespool.workflows.snapshot import WorkflowSnapshot
from sardinespool.workflows.table import WorkflowTable
from testing.workflows.support import QUEUE

SINGLE = StepSpec(count=1)
GANG = StepSpec(count=2, gang=True)
LONG_RUNNING = StepSpec(count=1, long_running=True)
BEST_EFFORT = StepSpec(count=1, uses_leftover_processors=True)


@dataclasses.dataclass(frozen=True)
class Run:
    """A run of every task of a job that ends with a crash.

    `members` are the tasks that are recorded as crashed.
    """

    number: int
    trial: bool = False
    suspect: bool = True
    members: tuple[int, ...] = (0,)
    crash: str = ""


@dataclasses.dataclass(frozen=True)
class Failed:
    """A run that fails by itself."""

    number: int


@dataclasses.dataclass(frozen=True)
class Repeat:
    """All ends so far are recorded again."""


@dataclasses.dataclass(frozen=True)
class Restore:
    """Restart from a snapshot."""


@dataclasses.dataclass(frozen=True)
class RestoreDuring:
    """Restart from a snapshot during a trial whose worker crashes."""

    number: int


@dataclasses.dataclass(frozen=True)
class Cancel:
    """The job is cancelled."""


Event = Run | Failed | Repeat | Restore | RestoreDuring | Cancel


class Jobs:
    """A workflow table with jobs of one step each."""

    def __init__(self, **specs: StepSpec) -> None:
        self.table = WorkflowTable()
        self._ends: list[RunEnd] = []
        for name, step in specs.items():
            self.table.accept(
                AcceptWorkflow(
                    job_id=name,
                    queue="q",
                    spec=WorkflowSpec(payload="", steps=(step,)),
                ),
                QUEUE,
                0,
            )

    def task(self, name: str, index: int = 0) -> TaskRecord:
        task = self.table.task(f"{name}.0.0.{index}")
        assert task is not None
        return task

    def record(self, *ends: RunEnd) -> None:
        self._ends += ends
        self._apply(RecordRuns(ends=ends))

    def apply(self, name: str, *events: Event) -> None:
        for event in events:
            match event:
                case Run():
                    self._assign(name, event.number, event.trial)
                    for index in self._indexes(name):
                        crash = event.crash or f"w#{event.number}"
                        is_counted = index in event.members
                        self.record(
                            RunEnd(
                                f"{name}.0.0.{index}",
                                event.number,
                                "lost",
                                "",
                                crash if is_counted else "",
                                is_counted and event.suspect,
                            )
                        )
                case Failed(number=number):
                    self._assign(name, number, False)
                    self.end(name, number, "failed")
                case Repeat():
                    self._apply(RecordRuns(ends=tuple(self._ends)))
                case Restore():
                    self.restore()
                case RestoreDuring(number=number):
                    self._assign(name, number, True)
                    self.restore()
                    self.record(
                        RunEnd(f"{name}.0.0.0", number, "lost", "", "w", True)
                    )
                case Cancel():
                    self.table.cancel(name, 0)

    def end(self, name: str, number: int, outcome: RunOutcome) -> None:
        self.record(RunEnd(f"{name}.0.0.0", number, outcome))

    def restore(self) -> None:
        """Replace the state by that of an encoded snapshot."""
        for name, workflow in self.table.workflows.items():
            data = msgspec.msgpack.encode(snapshot_of(workflow))
            self.table.workflows[name] = restore_workflow(
                msgspec.msgpack.decode(data, type=WorkflowSnapshot)
            )
        self.table.rebuild_indexes()

    def _indexes(self, name: str) -> range:
        return range(self.table.workflows[name].spec.steps[0].count)

    def _assign(self, name: str, number: int, trial: bool) -> None:
        for index in self._indexes(name):
            assignment = Assignment(
                f"{name}.0.0.{index}", number, "w", number, trial
            )
            if not self.table.workflows[name].is_final:
                self._apply(RecordRuns(assignments=(assignment,)))
                self._apply(RecordRuns(begun=(name,)))

    def _apply(self, body: RecordRuns) -> None:
        self.table.record_runs(body, 0, lambda workflow: 2)


@pytest.mark.parametrize(
    ("step", "events", "state", "crashes", "is_suspect"),
    [
        (SINGLE, (Run(1),), "running", 1, True),
        (SINGLE, (Run(1, suspect=False),), "running", 1, False),
        (
            SINGLE,
            (Run(1, suspect=False), Run(2, suspect=False)),
            "running",
            2,
            True,
        ),
        # Two crashes may be those of others, three with trials are not.
        (SINGLE, (Run(1), Run(2, trial=True)), "running", 2, True),
        (
            SINGLE,
            (Run(1), Run(2, trial=True), Run(3, trial=True)),
            "failed",
            3,
            False,
        ),
        (SINGLE, (Run(1), Run(2), Run(3)), "running", 3, True),
        # A trial beside another prime suspect proves nothing.
        (
            SINGLE,
            (Run(1), Run(2, trial=True), Run(3, trial=True, suspect=False)),
            "running",
            3,
            True,
        ),
        (
            SINGLE,
            tuple(Run(number, suspect=False) for number in (1, 2, 3, 4)),
            "failed",
            4,
            False,
        ),
        # Each crash counts once, however often its end is recorded.
        (
            SINGLE,
            (Run(1), Repeat(), Run(2, trial=True), Repeat(), Repeat()),
            "running",
            2,
            True,
        ),
        (
            SINGLE,
            (
                Run(1),
                Restore(),
                Repeat(),
                Run(2, trial=True),
                Restore(),
                Repeat(),
            ),
            "running",
            2,
            True,
        ),
        (
            SINGLE,
            (
                Run(1),
                Restore(),
                Run(2, trial=True),
                Restore(),
                Run(3, trial=True),
                Restore(),
            ),
            "failed",
            3,
            False,
        ),
        (
            SINGLE,
            (Run(1), RestoreDuring(2), RestoreDuring(3)),
            "failed",
            3,
            False,
        ),
        # One run of a gang counts once, whichever members it crashes.
        (GANG, (Run(1, members=(0, 1)),), "running", 1, True),
        (
            GANG,
            (
                Run(1, members=(0, 1)),
                Run(2, trial=True, members=(1,)),
                Restore(),
                Run(3, trial=True, members=(0,)),
            ),
            "failed",
            3,
            False,
        ),
        (
            LONG_RUNNING,
            (Run(1), Run(2, trial=True), Run(3, trial=True)),
            "failed",
            3,
            False,
        ),
        (
            BEST_EFFORT,
            (Run(1), Run(2, trial=True), Run(3, trial=True)),
            "failed",
            3,
            False,
        ),
        (
            SINGLE,
            (Run(1), Run(2, trial=True), Cancel(), Repeat()),
            "cancelled",
            2,
            False,
        ),
        # Failed runs are no crashes, and crashes are no failed runs.
        (SINGLE, (Failed(1), Run(2), Run(3)), "running", 2, True),
        (SINGLE, (Run(1), Failed(2), Failed(3)), "failed", 1, False),
    ],
)
def test_crashes_make_a_job_fail(
    step: StepSpec,
    events: tuple[Event, ...],
    state: str,
    crashes: int,
    is_suspect: bool,
) -> None:
    """Guards against endless starts, and jobs given up for one crash."""
    jobs = Jobs(j=step)
    jobs.apply("j", *events)
    assert jobs.table.workflows["j"].state == state
    members = jobs.task("j").members
    assert sum(len(member.crashed_runs) for member in members) == crashes
    assert set(jobs.table.suspects) == (
        {member.key for member in members} if is_suspect else set()
    )


def test_late_end_counts_after_a_later_start() -> None:
    """Guards against a crash that is lost as its end was recorded late."""
    jobs = Jobs(j=SINGLE)
    jobs.apply("j", Run(1, suspect=False, members=()), Run(2))
    jobs.record(RunEnd("j.0.0.0", 1, "lost", "", "w#1", True))
    assert jobs.task("j").crashed_runs == {1, 2}


@pytest.mark.parametrize("restores", [False, True])
def test_failed_trial_clears_the_other_suspects(restores: bool) -> None:
    """Guards against healthy tasks that stay suspects beside a culprit."""
    jobs = Jobs(culprit=SINGLE, beside=SINGLE, other=SINGLE, twice=SINGLE)
    jobs.apply("other", Run(1, crash="x"))
    jobs.apply("twice", Run(1, crash="x"))
    for name in ("culprit", "beside", "twice"):
        jobs.apply(name, Run(2, crash="y"))
    assert set(jobs.table.suspects) == {
        f"{name}.0.0.0" for name in ("culprit", "beside", "other", "twice")
    }
    if restores:
        jobs.restore()
    jobs.apply("culprit", Run(3, trial=True))
    # Two crashes need a trial even without being a prime suspect.
    assert set(jobs.table.suspects) == {
        f"{name}.0.0.0" for name in ("culprit", "other", "twice")
    }
    assert jobs.task("beside").suspected_crash == ""
    assert jobs.task("twice").suspected_crash == ""


def test_done_task_is_no_suspect() -> None:
    """Guards against trials that are planned for nothing."""
    jobs = Jobs(j=StepSpec(count=2))
    jobs.apply("j", Run(1, members=(0, 1)))
    jobs.apply("j", Failed(2))
    jobs.end("j", 2, "done")
    assert set(jobs.table.suspects) == {"j.0.0.1"}


def test_long_life_clears_the_crashes_before() -> None:
    """Guards against a long-running task given up for crashes of a whole day.

    Old ends that are recorded again don't count either.
    """
    jobs = Jobs(j=LONG_RUNNING)
    jobs.apply("j", Run(1), Run(2, trial=True))
    jobs.apply("j", Run(3, members=()))
    jobs.record(RunEnd("j.0.0.0", 3, "lost", lived_ms=CLEARING_AGE_MS))
    jobs.apply("j", Run(4, suspect=False), Restore(), Repeat())
    assert jobs.task("j").crashed_runs == {4}
    assert jobs.task("j").suspected_crash == ""
    assert not jobs.table.suspects


class EarlierRunEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of a run as earlier builds store it."""

    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


class EarlierAssignment(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False
):
    """Assignment as earlier builds store it."""

    task: str
    run: int
    worker_id: str
    life: int


@pytest.mark.parametrize(
    ("earlier", "later"),
    [
        (
            EarlierRunEnd("j.0.0.0", 1, "lost", "c"),
            RunEnd("j.0.0.0", 1, "lost", "c"),
        ),
        (
            EarlierAssignment("j.0.0.0", 1, "w", 7),
            Assignment("j.0.0.0", 1, "w", 7),
        ),
    ],
)
def test_records_of_earlier_builds_are_read(
    earlier: msgspec.Struct, later: msgspec.Struct
) -> None:
    """Guards against a log that can't be read after an update, or before."""
    encode = msgspec.msgpack.encode
    decode = msgspec.msgpack.decode
    assert decode(encode(earlier), type=type(later)) == later
    assert decode(encode(later), type=type(earlier)) == earlier


def test_snapshot_of_an_earlier_build_has_no_crashes() -> None:
    """Guards against a snapshot that can't be read after an update."""
    stored = [0, 3, "", 7, 1, "c", [2], 1]
    task = msgspec.msgpack.decode(
        msgspec.msgpack.encode(stored), type=TaskSnapshot
    )
    assert (task.crashed_runs, task.suspected_crash, task.trial_run) == (
        (),
        "",
        0,
    )
    assert (task.crash_age_ms, task.cleared_run) == (0, 0)
