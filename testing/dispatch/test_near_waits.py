"""Waits for a near worker in the dispatcher, and their replays."""

import dataclasses
import functools
import statistics
from collections.abc import Callable

import pytest

from sardinespool.dispatch import near_waits
from sardinespool.dispatch.job_paths import learn_from_run
from sardinespool.dispatch.near_place import decide
from sardinespool.dispatch.near_place import NearChoice
from sardinespool.dispatch.near_place import NearVerdict
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.run_times import RunTimes
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.worker_reports import WorkerLeaves
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.fake_worker import FakeWorker
from testing.dispatch.near_load import NearLoad
from testing.dispatch.near_load import NearOutcome
from testing.dispatch.near_load import replay_near
from testing.dispatch.simulation import Simulation
from testing.dispatch.support import make_step
from testing.dispatch.support import make_worker

NEAR = "r-near"
FAR = "r-far"
RUN_MS = 600


def make_racks(
    factor: float, *racks: str
) -> tuple[Simulation, dict[str, tuple[str, int]]]:
    """Return a simulation with a worker a rack, and a record of its starts.

    The record has the rack and the time of the last start of each task. Tasks
    take 600 ms, those of the job "long" a minute.
    """
    simulation = Simulation(3, workers=len(racks))
    started: dict[str, tuple[str, int]] = {}

    def prepare(worker: FakeWorker, rack: str) -> None:
        def run_time_ms(task: str) -> int:
            started[task] = rack, simulation.now_ms
            return 60_000 if task.startswith("long") else RUN_MS

        worker.labels = ("kind", rack)
        worker.failure_ratio = 0.0
        worker.run_time_ms = run_time_ms

    for worker, rack in zip(simulation.workers.values(), racks, strict=True):
        prepare(worker, rack)
    simulation.settings = dataclasses.replace(
        simulation.settings, remote_factor=factor
    )
    simulation.lead()
    simulation.run(3_500)
    return simulation, started


def task(count: int = 1, rack: str = NEAR, **changes: object) -> StepSpec:
    """Return a step whose tasks take a quarter of a worker."""
    fields: dict[str, object] = {
        "count": count,
        "processors_millicores": 1_000,
        "expected_run_ms": RUN_MS,
        "data_rack": rack,
        **changes,
    }
    return StepSpec(**fields)  # type: ignore[arg-type]


def lose(simulation: Simulation, cause: str) -> None:
    """Take the near worker away, or replace the leader."""
    worker = simulation.workers["w0"]
    match cause:
        case "drain":
            report = simulation.write_heartbeat(worker)
            draining = worker.description(draining=True)
            simulation.request(
                type(report)(
                    description=draining,
                    sequence=report.sequence,
                    clock_ms=report.clock_ms,
                )
            )
        case "leave":
            worker.crash()
            simulation.request(
                WorkerLeaves(worker_id="w0", incarnation=worker.incarnation)
            )
        case "failover":
            simulation.lose_leader(50)


@pytest.mark.parametrize(
    ("factor", "cause", "rack"),
    [
        (3.0, "", NEAR),
        (1.0, "", FAR),
        (3.0, "drain", FAR),
        (3.0, "leave", FAR),
        (3.0, "failover", FAR),
    ],
)
def test_task_waits_as_long_as_a_near_worker_may_come(
    factor: float, cause: str, rack: str
) -> None:
    """Guards against waits for workers that are lost, and without a gain.

    A task without a wish takes the remote room meanwhile.
    """
    simulation, started = make_racks(factor, NEAR, FAR, FAR)
    simulation.submit("first", task(4))
    simulation.run(250)
    simulation.submit("second", task())
    simulation.submit("other", task(2, ""))
    simulation.run(100)
    begin_ms = simulation.now_ms
    assert {started[f"first.0.0.{i}"][0] for i in range(4)} == {NEAR}
    assert started["other.0.0.0"][0] == started["other.0.0.1"][0] == FAR
    assert ("second.0.0.0" in started) == (factor == 1.0)
    lose(simulation, cause)
    simulation.run(900)
    assert started["second.0.0.0"][0] == rack
    if cause and cause != "failover":
        assert started["second.0.0.0"][1] - begin_ms <= 200
    assert simulation.oracle.violations == []


@pytest.mark.parametrize(
    "changes",
    [{}, {"long_running": True}, {"expected_run_ms": 60_000}],
    ids=str,
)
def test_no_wait_for_a_worker_that_stays_full(
    changes: dict[str, object],
) -> None:
    """Guards against tasks that idle for three seconds beside free room."""
    simulation, started = make_racks(3.0, NEAR, FAR)
    simulation.submit("long", task(4, expected_run_ms=60_000))
    simulation.run(300)
    simulation.submit("second", task(**changes))
    simulation.run(2_500)
    assert started["second.0.0.0"][0] == FAR


@pytest.mark.parametrize(
    "changes",
    [{"long_running": True}, {"uses_leftover_processors": True}],
    ids=str,
)
def test_steps_without_a_gain_start_at_once(
    changes: dict[str, object],
) -> None:
    """Guards against waits of long-running and best-effort tasks."""
    simulation, started = make_racks(3.0, NEAR, FAR)
    simulation.submit("first", task(4))
    simulation.run(250)
    simulation.submit("second", task(**changes))
    simulation.run(150)
    assert started["second.0.0.0"][0] == FAR


def test_later_jobs_wait_behind_those_that_wait() -> None:
    """Guards against two jobs that wait for the same free workers."""
    simulation, started = make_racks(2.4, NEAR, FAR, FAR)
    simulation.submit("first", task(4))
    simulation.run(250)
    simulation.submit("second", task(3))
    simulation.submit("third", task(3))
    simulation.run(100)
    # The order of the two is that of `step_priority`.
    begun = {name.partition(".")[0] for name in started} - {"first"}
    assert len(begun) == 1


def test_run_times_away_from_the_data_are_learned_as_near_ones() -> None:
    """Guards against a gain that grows with the share of remote runs."""
    settings = DispatchSettings(remote_factor=2.0)
    far = make_worker("far", 4_000, "kind", FAR).description
    run_times = RunTimes()
    for number in range(30):
        step = make_step(task(), f"job{number}")
        run = RunState(
            step.tasks[0].key, 1, step.tasks[0], RunPhase.RUNNING, 0
        )
        WorkerState(far, settings, 0).add_run(run)
        run.first_seen_clock_ms = 1_000
        learn_from_run(run_times, run, 1_000 + 2 * RUN_MS)
    forecast = run_times.forecast("next", "q", task())
    assert forecast.median_ms == pytest.approx(RUN_MS, rel=0.05)


def test_only_so_many_tasks_wait_as_become_free_in_time() -> None:
    """Guards against a job whose tasks wait one after another."""
    simulation, started = make_racks(2.0, NEAR, FAR, FAR)
    simulation.submit("first", task(4))
    simulation.run(250)
    begin_ms = simulation.now_ms
    simulation.submit("second", task(9))
    simulation.run(2_500)
    starts = [started[f"second.0.0.{i}"] for i in range(9)]
    near = [start for start in starts if start[0] == NEAR]
    assert 1 <= len(near) <= 4
    remote_ms = [at_ms for rack, at_ms in starts if rack == FAR]
    assert sum(at_ms - begin_ms <= 100 for at_ms in remote_ms) >= 5


@pytest.mark.parametrize(
    ("busy", "factor", "racks"),
    [
        (0, 2.0, 1),
        (2, 3.0, 1),
        (0, 1.0, 2),
        (60, 2.0, 2),
    ],
)
def test_gang_runs_on_one_rack_if_one_is_free_in_time(
    busy: int, factor: float, racks: int
) -> None:
    """Guards against gangs on several racks, and against endless waits."""
    simulation, started = make_racks(factor, NEAR, FAR)
    if busy:
        name = "long" if busy > 2 else "first"
        run_ms = 1_000 * busy if busy > 2 else RUN_MS
        simulation.submit(name, task(4, "", expected_run_ms=run_ms))
        simulation.run(300)
    simulation.submit("gang", task(3, "", gang=True, same_rack=True))
    simulation.run(2_500)
    found = {started[f"gang.0.0.{i}"][0] for i in range(3)}
    assert len(found) == racks
    assert simulation.oracle.violations == []


@pytest.mark.parametrize(
    ("racks", "count"), [((NEAR, FAR), 3), ((NEAR, FAR, FAR), 6)]
)
def test_gang_starts_beside_a_worker_on_probation(
    racks: tuple[str, ...], count: int
) -> None:
    """Guards against endless attempts on a worker that takes one task only."""
    simulation, started = make_racks(2.0, *racks)
    simulation.dispatcher.fleet.workers["w1"].on_probation = True
    simulation.submit("gang", task(count, "", gang=True, same_rack=True))
    simulation.run(2_500)
    assert len(started) == count


CALM = NearLoad("calm", 0.5)
FULL = NearLoad("full", 1.0)
HOT = NearLoad("hot", 0.6, hot=0.6)
MILD = NearLoad("hot-mild", 0.6, hot=0.6, remote_factor=1.5)
SLOW = NearLoad("slow-rack", 0.6, hot=0.6, hot_slowdown=2.0)
CUT_OFF = NearLoad("cut-off-rack", 0.6, hot=0.6, cut_ms=3_000)
SEEDS = (1, 2, 3)
Decision = Callable[[NearChoice], NearVerdict]


def fixed_wait(choice: NearChoice) -> NearVerdict:
    """Wait for a second at most."""
    return NearVerdict.WAIT if choice.waited_ms < 1_000 else NearVerdict.LIMIT


def without_slack(choice: NearChoice) -> NearVerdict:
    """Ablation: the objective ends no wait."""
    return decide(dataclasses.replace(choice, slack_ms=-1.0))


@functools.cache
def replay_chosen(load: NearLoad) -> tuple[NearOutcome, ...]:
    """Replay a load with the decision of the code."""
    return tuple(replay_near(load, seed, True) for seed in SEEDS)


@pytest.mark.parametrize(
    ("load", "other", "gain_min"),
    [
        (CALM, None, 0.03),
        (FULL, None, 0.05),
        (HOT, None, 0.15),
        (MILD, None, 0.0),
        (SLOW, None, 0.05),
        (CUT_OFF, None, 0.05),
        (MILD, fixed_wait, 0.02),
        (MILD, without_slack, -0.02),
    ],
    ids=lambda value: getattr(value, "name", getattr(value, "__name__", "")),
)
def test_more_jobs_end_in_time_than_with_another_wait(
    monkeypatch: pytest.MonkeyPatch,
    load: NearLoad,
    other: Decision | None,
    gain_min: float,
) -> None:
    """Guards against waits that lose more than they gain.

    Without another decision, the one before is compared, a fixed penalty.
    """
    chosen = replay_chosen(load)
    if other is not None:
        monkeypatch.setattr(near_waits, "decide", other)
    compared = [replay_near(load, seed, other is not None) for seed in SEEDS]
    gain = statistics.mean(item.in_time for item in chosen)
    gain -= statistics.mean(item.in_time for item in compared)
    assert gain >= gain_min
