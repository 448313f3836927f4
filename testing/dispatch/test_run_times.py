"""Predicted run times against a drawn load."""

import math
import random

import msgspec
import pytest

from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.run_times import CLASSES_MAX
from sardinespool.dispatch.run_times import JOBS_MAX
from sardinespool.dispatch.run_times import RECORDED_CLASSES_MAX
from sardinespool.dispatch.run_times import RunTimes
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import Simulation
from testing.dispatch.support import make_step

YEAR_MS = 365 * 86_400_000


def declared(run_ms: int, image: str = "i") -> StepSpec:
    """Return a step with a declared run time."""
    return StepSpec(count=1, expected_run_ms=run_ms, image=image)


class DrawnLoad:
    """Jobs of 20 tasks whose declared times are off, drawn for each job."""

    def __init__(
        self,
        error: float,
        task_spread: float,
        stragglers: float,
        seed: int,
        run_ms: tuple[int, int] = (2_300, 2_700),
    ) -> None:
        self._random = random.Random(seed)
        self._run_ms = run_ms
        self._error = error
        self._task_spread = task_spread
        self._stragglers = stragglers

    def draw_job(self) -> tuple[StepSpec, list[int]]:
        run_ms = self._random.uniform(*self._run_ms)
        spec = declared(
            int(run_ms * math.exp(self._random.gauss(0.0, self._error)))
        )
        return spec, [self._draw_task_ms(run_ms) for _ in range(20)]

    def _draw_task_ms(self, run_ms: float) -> int:
        factor = math.exp(self._random.gauss(0.0, self._task_spread))
        if self._random.random() < self._stragglers:
            factor *= 7
        return int(run_ms * factor)


@pytest.mark.parametrize(
    ("error", "task_spread", "stragglers", "run_ms"),
    [
        (error, spread, share, run_ms)
        for error in (0.2, 0.9)
        for spread in (0.15, 0.3)
        for share in (0.0, 0.03)
        for run_ms in ((2_300, 2_700), (500, 20_000))
    ],
)
def test_predicted_bounds_hold(
    error: float,
    task_spread: float,
    stragglers: float,
    run_ms: tuple[int, int],
) -> None:
    """Guards against bounds that hold too rarely, or that say nothing.

    Counted are bounds of 90% of tasks before any of their job has ended, of
    tasks once half of the job has, and of the time left of running tasks.
    """
    load = DrawnLoad(error, task_spread, stragglers, 3, run_ms)
    times = RunTimes()
    held: dict[str, list[bool]] = {"new": [], "begun": [], "running": []}
    for number in range(400):
        spec, runs_ms = load.draw_job()
        counts = number >= 20
        bound_ms = times.forecast(f"j{number}", "q", spec).quantile_ms(0.9)
        if counts:
            held["new"] += [item <= bound_ms for item in runs_ms]
        for ended_ms in sorted(runs_ms[:10]):
            times.observe(f"j{number}", "q", spec, ended_ms)
        if not counts:
            continue
        forecast = times.forecast(f"j{number}", "q", spec)
        bound_ms = forecast.quantile_ms(0.9)
        held["begun"] += [item <= bound_ms for item in runs_ms[10:]]
        elapsed_ms = 2_400
        held["running"] += [
            item - elapsed_ms <= forecast.quantile_ms(0.9, elapsed_ms)
            for item in runs_ms[10:]
            if item > elapsed_ms
        ]
    shares = {name: sum(items) / len(items) for name, items in held.items()}
    assert all(0.85 <= share <= 0.95 for share in shares.values()), shares


def test_first_ends_of_a_job_tell_of_the_rest() -> None:
    """Guards against a job whose own ends count no more than its class."""
    times = RunTimes()
    for number in range(50):
        times.observe(f"j{number}", "q", declared(1_000), 1_000)
    for _ in range(3):
        times.observe("slow", "q", declared(1_000), 3_000)
    slow = times.forecast("slow", "q", declared(1_000))
    other = times.forecast("other", "q", declared(1_000))
    assert slow.median_ms == pytest.approx(3_000, rel=0.1)
    assert other.median_ms == pytest.approx(1_000, rel=0.1)


@pytest.mark.parametrize("odd_ms", [0, 1, YEAR_MS])
def test_odd_declared_times_change_no_other_prediction(odd_ms: int) -> None:
    """Guards against callers whose declared times disturb other jobs."""
    load = DrawnLoad(0.5, 0.2, 0.0, seed=1)
    honest, beside = RunTimes(), RunTimes()
    for number in range(200):
        spec, runs_ms = load.draw_job()
        for run_ms in runs_ms:
            for times in (honest, beside):
                times.observe(f"j{number}", "q", spec, run_ms)
        if number >= 20:
            beside.observe(f"odd{number}", "q", declared(odd_ms), runs_ms[0])
    other = declared(2_500)
    expected = honest.forecast("new", "q", other).quantile_ms(0.9)
    found = beside.forecast("new", "q", other).quantile_ms(0.9)
    assert found == pytest.approx(expected, rel=0.05)
    # The odd job itself is expected to take what the queue usually takes.
    odd = beside.forecast("new", "q", declared(odd_ms))
    assert odd.median_ms == pytest.approx(2_500, rel=0.2)


def test_next_leader_predicts_the_same() -> None:
    """Guards against a leader that learns the run times again."""
    load = DrawnLoad(0.5, 0.2, 0.03, seed=2)
    times, successor = RunTimes(), RunTimes()
    for number in range(100):
        spec, runs_ms = load.draw_job()
        for run_ms in runs_ms:
            times.observe(f"j{number}", "q", spec, run_ms)
    successor.restore(times.records())
    for share in (0.5, 0.9, 0.99):
        expected = times.forecast("n", "q", declared(2_500))
        found = successor.forecast("n", "q", declared(2_500))
        assert found.quantile_ms(share) == pytest.approx(
            expected.quantile_ms(share), rel=0.02
        )


def test_memory_is_bounded() -> None:
    """Guards against state that grows with jobs and images."""
    times = RunTimes()
    for number in range(JOBS_MAX + 10):
        spec = declared(1_000, f"i{number % (2 * CLASSES_MAX)}")
        times.observe(f"j{number}", "q", spec, 1_000)
    assert len(times._jobs) <= JOBS_MAX
    assert len(times._classes) <= CLASSES_MAX
    assert len(times.records()) <= RECORDED_CLASSES_MAX
    assert times.forecast("n", "q", declared(1_000)).median_ms < 1_100


@pytest.mark.parametrize("elapsed_ms", [0, 1, 900, 10**7])
@pytest.mark.parametrize("share", [0.01, 0.5, 0.99])
def test_time_left_is_finite_and_not_negative(
    elapsed_ms: int, share: float
) -> None:
    """Guards against quantiles outside the range of the distribution."""
    forecast = RunTimes().forecast("j", "q", declared(1_000))
    left_ms = forecast.quantile_ms(share, elapsed_ms)
    assert 0 <= left_ms < 10**9


def test_leader_learns_from_ends_and_tells_the_next() -> None:
    """Guards against run times that are not measured or not replicated.

    Runs that an earlier leader started must not count from the takeover.
    """
    simulation = Simulation(1)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: 2_000
    simulation.run(1_500)
    step = StepSpec(count=10, memory_mb=10, expected_run_ms=1_000)
    for number in range(12):
        simulation.submit(f"job{number}", step)
        simulation.run(500)
    simulation.run(6_000)
    # These are at half of their time when the leader is lost.
    simulation.submit("last", step)
    simulation.run(1_000)
    simulation.lose_leader(200)
    simulation.run(210)
    times = simulation.dispatcher.estimates.run_times
    forecast = times.forecast("new", "q", step)
    assert forecast.median_ms == pytest.approx(2_000, rel=0.2)
    simulation.run(10_000)
    later = times.forecast("last", "q", step)
    assert later.median_ms == pytest.approx(2_000, rel=0.2)
    assert simulation.oracle.violations == []


@pytest.mark.parametrize(
    ("field", "value", "measured_ms"),
    [
        ("first_seen_clock_ms", 400, 600),
        ("first_seen_clock_ms", None, None),
        ("unanswered", 1, None),
        ("task", None, None),
        ("checkpoint", "half", None),
    ],
)
def test_only_whole_runs_are_measured(
    field: str, value: object, measured_ms: int | None
) -> None:
    """Guards against learning from runs of which only a part was seen."""
    task = make_step(declared(1_000)).tasks[0]
    run = RunState(task.key, 1, task, RunPhase.RUNNING, 0)
    run.first_seen_clock_ms = 400
    setattr(task if field == "checkpoint" else run, field, value)
    assert run.measure_ms(1_000) == measured_ms


def test_estimates_of_earlier_builds_are_read() -> None:
    """Guards against a log of an earlier build that can't be read."""
    stored = {"type": "RecordEstimates", "period_ms": None, "presses": []}
    decoded = msgspec.convert(stored, RecordEstimates)
    assert decoded.run_times == ()
    RunTimes().restore(decoded.run_times)
