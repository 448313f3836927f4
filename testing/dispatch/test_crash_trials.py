"""Which ends are crashes, who is a suspect, and where trials may start."""

import dataclasses

import msgspec
import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch import crash_trials
from sardinespool.dispatch.best_effort import BestEffortScorer
from sardinespool.dispatch.crash_trials import Loss
from sardinespool.dispatch.crash_trials import TRIAL_MS
from sardinespool.dispatch.crash_trials import TRIAL_WAIT_MS
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.trial_planner import TrialPlanner
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.commands import Command
from sardinespool.messages.workflows import Assignment
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import Simulation
from testing.dispatch.support import make_step
from testing.dispatch.support import make_worker

ALIVE_MS = 60_000
SPEC = StepSpec(count=1, processors_millicores=500)


@pytest.mark.parametrize(
    ("loss", "closed", "in_outage", "draining", "crash"),
    [
        (Loss.RESTARTED, True, False, False, True),
        (Loss.HOST_REUSED, True, False, False, True),
        (Loss.ADDRESS_REUSED, True, False, False, True),
        (Loss.LEASE_EXPIRED, True, False, False, True),
        # Silent, then started again by itself: the machine crashed.
        (Loss.HOST_REUSED, False, False, False, True),
        # Cut off, or without power.
        (Loss.LEASE_EXPIRED, False, False, False, False),
        (Loss.HOST_REUSED, False, True, False, False),
        (Loss.RESTARTED, False, True, False, False),
        # A process that ends by itself closes its connections.
        (Loss.HOST_REUSED, True, True, False, True),
        # Planned ends, also if the leave is lost.
        (Loss.LEFT, True, False, False, False),
        (Loss.LEFT, True, False, True, False),
        (Loss.HOST_REUSED, True, False, True, False),
        (Loss.LEASE_EXPIRED, True, False, True, False),
        (Loss.RESTARTED, True, False, True, False),
    ],
)
def test_ends_of_workers_that_are_crashes(
    loss: Loss, closed: bool, in_outage: bool, draining: bool, crash: bool
) -> None:
    """Guards against tasks blamed for planned ends, cuts and power loss."""
    worker = make_worker("w", 4_000)
    worker.connection_closed = closed
    worker.description = msgspec.structs.replace(
        worker.description, draining=draining
    )
    assert crash_trials.is_crash(worker, loss, in_outage) is crash


@dataclasses.dataclass(frozen=True)
class Life:
    """A run on a worker that crashes.

    `observed_age_ms` is None for a run that the worker never confirmed.
    """

    job: str
    observed_age_ms: int | None
    trial: bool = False
    unanswered: int = 0
    in_flight: bool = False
    ended: bool = False
    committed: bool = True


def add_life(worker: WorkerState, life: Life, spec: StepSpec = SPEC) -> None:
    """Add a run to a worker whose clock was last read as `ALIVE_MS`."""
    task = make_step(spec, life.job).tasks[0]
    phase = (
        RunPhase.ORDERED if life.observed_age_ms is None else RunPhase.RUNNING
    )
    run = RunState(task.key, 1, task, phase, 0)
    if life.ended:
        run.phase = RunPhase.ENDED
    if life.observed_age_ms is not None:
        run.first_seen_clock_ms = ALIVE_MS - life.observed_age_ms
    run.sent = True
    run.trial = life.trial
    run.unanswered = life.unanswered
    run.in_flight = life.in_flight
    run.committed = life.committed
    worker.add_run(run)


@pytest.mark.parametrize(
    ("lives", "closed", "counted", "suspects"),
    [
        # The most recent starts are prime suspects, all others count.
        (
            (
                Life("a", 100),
                Life("b", TRIAL_MS),
                Life("c", 30_000),
            ),
            True,
            {"a", "b", "c"},
            {"a"},
        ),
        # A start without an answer may have crashed the worker.
        (
            (Life("a", None, unanswered=1), Life("b", 9_000)),
            True,
            {"a", "b"},
            {"a"},
        ),
        # One that was never sent can't, nor one to the next process.
        (
            (Life("a", None), Life("b", None, in_flight=True)),
            True,
            set(),
            set(),
        ),
        ((Life("a", None, in_flight=True),), False, {"a"}, {"a"}),
        # An end that the worker listed, or a plan.
        (
            (Life("a", 10, ended=True), Life("b", None, committed=False)),
            True,
            set(),
            set(),
        ),
        # A trial is to blame alone.
        (
            (Life("a", 100, trial=True), Life("b", 2_000)),
            True,
            {"a"},
            {"a"},
        ),
        # Unless something else started with it.
        (
            (Life("a", 100, trial=True), Life("b", 50)),
            True,
            {"a", "b"},
            {"b"},
        ),
        # A trial that has passed is a run like others.
        (
            (Life("a", TRIAL_MS, trial=True), Life("b", 50)),
            True,
            {"a", "b"},
            {"b"},
        ),
        # A new leader can't tell which trial has passed.
        (
            (
                Life("a", None, trial=True, unanswered=1),
                Life("b", None, trial=True, unanswered=1),
            ),
            True,
            {"a", "b"},
            set(),
        ),
        # A silent worker may have been gone before the trial began.
        (
            (Life("a", None, trial=True, unanswered=1),),
            False,
            {"a"},
            set(),
        ),
    ],
)
def test_suspects_of_a_crash(
    lives: tuple[Life, ...],
    closed: bool,
    counted: set[str],
    suspects: set[str],
) -> None:
    """Guards against bystanders that are taken for the cause."""
    worker = make_worker("w", 40_000)
    worker.last_seen_clock_ms = ALIVE_MS
    worker.connection_closed = closed
    for life in lives:
        add_life(worker, life)
    found = {
        run.task_key.split(".")[0]: suspect
        for run, suspect in crash_trials.suspects_of_crash(worker)
    }
    assert set(found) == counted
    assert {job for job, suspect in found.items() if suspect} == suspects


def test_members_of_a_gang_are_one_suspect() -> None:
    """Guards against a gang whose members share a worker and never fail."""
    worker = make_worker("w", 40_000)
    worker.last_seen_clock_ms = ALIVE_MS
    worker.connection_closed = True
    for task in make_step(StepSpec(count=2, gang=True)).tasks:
        run = RunState(task.key, 1, task, RunPhase.RUNNING, 0)
        run.trial = True
        run.first_seen_clock_ms = ALIVE_MS
        worker.add_run(run)
    found = crash_trials.suspects_of_crash(worker)
    assert [suspect for _, suspect in found] == [True, True]


@pytest.mark.parametrize(
    ("lives", "is_open", "has_only_trials", "ms_left"),
    [
        ((), True, True, None),
        ((Life("a", 10, trial=True),), False, True, TRIAL_MS - 10),
        ((Life("a", None, trial=True),), False, True, TRIAL_MS),
        ((Life("a", TRIAL_MS, trial=True),), True, True, None),
        ((Life("a", 10, trial=True, ended=True),), True, True, None),
        (
            (Life("a", TRIAL_MS, trial=True), Life("b", 10, trial=True)),
            False,
            True,
            TRIAL_MS - 10,
        ),
        (
            (Life("a", TRIAL_MS, trial=True), Life("b", 9_000)),
            True,
            False,
            None,
        ),
        ((Life("b", 10),), True, False, None),
    ],
)
def test_workers_that_may_take_a_trial(
    lives: tuple[Life, ...],
    is_open: bool,
    has_only_trials: bool,
    ms_left: int | None,
) -> None:
    """Guards against two starts on a worker while a trial is open."""
    worker = make_worker("w", 40_000)
    worker.last_seen_clock_ms = ALIVE_MS
    for life in lives:
        add_life(worker, life)
    task = make_step(SPEC, "next").tasks[0]
    assert crash_trials.admits_trial(worker, task) is is_open
    assert crash_trials.has_only_trials(worker) is has_only_trials
    assert crash_trials.ms_until_trials_end(worker) == ms_left


def test_trial_on_a_busy_worker_puts_little_at_stake() -> None:
    """Guards against a trial beside long-running tasks, or young runs."""
    workers = [make_worker(name, 40_000) for name in ("a", "b", "c", "d")]
    for worker in workers:
        worker.last_seen_clock_ms = ALIVE_MS
    lasting = StepSpec(count=1, processors_millicores=500, long_running=True)
    add_life(workers[0], Life("a", 10))
    add_life(workers[1], Life("b", 9_000), lasting)
    add_life(workers[2], Life("c", 9_000))
    add_life(workers[3], Life("d", 9_000))
    add_life(workers[3], Life("e", 9_000))
    by_risk = sorted(workers, key=crash_trials.trial_risk)
    assert [worker.worker_id for worker in by_risk] == ["c", "d", "b", "a"]


@pytest.mark.parametrize(
    ("closed", "crashes", "suspected_crash", "cleared"),
    [
        (True, {1}, "x", True),
        (True, {1}, "y", False),
        # Two crashes need a trial in any case.
        (True, {1, 2}, "x", False),
        (False, {1}, "x", False),
    ],
)
def test_trial_whose_worker_is_gone_clears_the_other_suspects(
    closed: bool, crashes: set[int], suspected_crash: str, cleared: bool
) -> None:
    """Guards against trials of bystanders after the culprit is known."""
    worker = make_worker("w", 40_000)
    worker.last_seen_clock_ms = ALIVE_MS
    worker.connection_closed = closed
    add_life(worker, Life("culprit", 10, trial=True))
    (run,) = worker.runs.values()
    assert run.task is not None
    run.task.crashed_runs = frozenset({1})
    run.task.suspected_crash = "x"
    other = make_step(SPEC, "other").tasks[0]
    other.crashed_runs = frozenset(crashes)
    other.suspected_crash = suspected_crash
    shown = crash_trials.crashes_explained_by_trials([worker])
    assert crash_trials.is_cleared(other, shown) is cleared


def plan_trials(*jobs: str, millicores: int = 3_000) -> TrialPlanner:
    """Return a planner with a waiting suspect of one crash per job."""
    simulation = Simulation(1, workers=0)
    for job in jobs:
        simulation.submit(
            job, StepSpec(count=1, processors_millicores=millicores)
        )
        run = f"{job}.0.0.0", 1
        for body in (
            RecordRuns(assignments=(Assignment(*run, "gone", 1),)),
            RecordRuns(ends=(RunEnd(*run, "lost", "", "gone#1", True),)),
        ):
            simulation.machine.apply(Command(proposed_unix_ms=0, body=body), 0)
    return TrialPlanner(
        simulation.machine,
        simulation.dispatcher.fleet,
        BestEffortScorer(TailModel()),
    )


def test_workers_with_nothing_but_trials_are_kept_for_suspects() -> None:
    """Guards against healthy tasks that start where the next trial will."""
    worker = make_worker("w", 4_000)
    worker.last_seen_clock_ms = ALIVE_MS
    spec = StepSpec(count=1, processors_millicores=3_000)
    add_life(worker, Life("passed", TRIAL_MS, trial=True), spec)
    planner = plan_trials("big")
    open_workers = []
    for waited_ms in (0, TRIAL_WAIT_MS - 1, TRIAL_WAIT_MS):
        now = Instant(50_000 + waited_ms, 0)
        assert planner.place({"pool": [worker]}, {}, now) == []
        open_workers.append(planner.workers_for_other_tasks("pool", [worker]))
    assert open_workers == [[], [], [worker]]


@pytest.mark.parametrize("waited_ms", [0, TRIAL_WAIT_MS])
@pytest.mark.parametrize(("count", "placed"), [(1, 1), (2, 2), (3, 2)])
def test_each_worker_takes_one_trial_at_a_time(
    count: int, placed: int, waited_ms: int
) -> None:
    """Guards against two suspects on a worker, of which none is proved."""
    workers = [make_worker(name, 40_000) for name in ("v", "w")]
    planner = plan_trials(*"abc"[:count], millicores=500)
    assert planner.place({}, {}, Instant(50_000, 0)) == []
    now = Instant(50_000 + waited_ms, 0)
    planned = planner.place({"pool": workers}, {}, now)
    assert len(planned) == placed
    assert len({worker.worker_id for worker, _ in planned}) == placed
    assert all(run.trial for _, run in planned)


@pytest.mark.parametrize("closed", [True, False])
def test_bystanders_start_once_the_trial_of_a_culprit_is_lost(
    closed: bool,
) -> None:
    """Guards against bystanders that wait until the crash is recorded."""
    planner = plan_trials("beside", "culprit")
    machine, fleet = planner._machine, planner._fleet
    task = machine.table.suspects["culprit.0.0.0"]
    worker = make_worker("w", 4_000)
    worker.connection_closed = closed
    run = RunState(task.key, 2, task, RunPhase.RUNNING, 0)
    run.trial = True
    worker.add_run(run)
    fleet.workers["w"] = worker
    planner.place({}, {}, Instant(50_000, 0))
    assert ("beside.0.0.0" in planner.suspects) is not closed
