"""Placement order in a planning pass."""

import msgspec
import pytest

from sardinespool.dispatch.step_priority import first_round_size
from sardinespool.messages.estimates import InterferenceEstimateRecord
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import Simulation
from testing.dispatch.support import add_running
from testing.dispatch.support import best_effort
from testing.dispatch.support import make_step


@pytest.mark.parametrize(
    ("spec", "first"),
    [
        (StepSpec(count=5, long_running=True), 3),
        (StepSpec(count=1, long_running=True), 1),
        (StepSpec(count=5), 5),
        (StepSpec(count=5, long_running=True, gang=True), 5),
        (best_effort("f", count=7), 7),
    ],
)
def test_first_round_size_of_a_step(spec: StepSpec, first: int) -> None:
    """Guards against split gangs and delayed short jobs."""
    assert first_round_size(make_step(spec)) == first


def test_long_running_jobs_share_scarce_resources() -> None:
    """Guards against long-running jobs without any running task."""
    simulation = Simulation(2)
    for worker in simulation.workers.values():
        worker.hanging = True
    spec = StepSpec(
        count=8,
        processors_millicores=1_000,
        memory_mb=100,
        long_running=True,
    )
    for name in ("one", "two", "three", "four"):
        simulation.submit(name, spec)
    simulation.run(600)
    running = {
        task.split(".")[0]
        for worker in simulation.workers.values()
        for task in worker.running
    }
    assert running == {"one", "two", "three", "four"}
    assert simulation.oracle.violations == []


def test_concurrent_serving_jobs_are_placed_by_image() -> None:
    """Guards against workers with mixed images after a burst of jobs."""
    simulation = Simulation(2)
    for number in range(8):
        simulation.submit(
            f"job{number}",
            StepSpec(
                count=1,
                processors_millicores=1_000,
                memory_mb=100,
                long_running=True,
                image=f"image{number % 2}",
                tail_latency_target_ms=20,
            ),
        )
    simulation.run(200)
    assert simulation.oracle.starts == 0
    simulation.run(400)
    mixed = 0
    for worker in simulation.workers.values():
        numbers = {
            int(task.split(".")[0].removeprefix("job"))
            for task in worker.running
        }
        mixed += len({number % 2 for number in numbers}) > 1
    assert simulation.oracle.starts == 8
    assert mixed == 0


def test_best_effort_job_starts_despite_interference() -> None:
    """Guards against a job without any run while workers are free."""
    simulation = Simulation(2)
    for worker in simulation.workers.values():
        worker.hanging = True
    simulation.submit(
        "serve",
        StepSpec(
            count=len(simulation.workers),
            processors_millicores=1_000,
            memory_mb=100,
            long_running=True,
            image="web",
            tail_latency_target_ms=20,
            tasks_per_worker_max=1,
        ),
    )
    simulation.run(1_000)
    presses = InterferenceEstimateRecord(
        serving="web", filling="heavy", interference=30.0, variance=0.1
    )
    simulation.machine.estimates = RecordEstimates(
        period_ms=None, pair_estimates=(presses,)
    )
    simulation.lose_leader(50)
    simulation.run(1_000)
    simulation.submit("fill", best_effort("heavy", millicores=1_000, count=2))
    simulation.run(3_000)
    started = {
        task
        for worker in simulation.workers.values()
        for task in worker.running
        if task.startswith("fill")
    }
    assert started


@pytest.mark.parametrize("refills", [1, 4])
def test_long_running_task_is_not_idle_beside_a_worker_set_aside(
    refills: int,
) -> None:
    """Guards against idle tasks while only a suspected worker has room."""
    simulation = Simulation(2, workers=2)
    for worker in simulation.workers.values():
        worker.hanging = True
    simulation.run(1_500)
    suspect = simulation.dispatcher.fleet.workers["w0"]
    health = simulation.dispatcher.health
    spec = StepSpec(
        count=7,
        processors_millicores=500,
        memory_mb=100,
        long_running=True,
    )
    for number in range(2):
        # The failures of healthy workers by chance come again and again.
        for attempt in range(refills):
            simulation.at(
                attempt * 2_000,
                lambda number=number: health.run_ended(
                    suspect,
                    add_running(suspect, StepSpec(count=1), f"bad{number}"),
                    "failed",
                    simulation.now(),
                ),
            )
    simulation.run(100)
    simulation.submit("other", spec)
    simulation.run(500)
    simulation.submit(
        "late",
        msgspec.structs.replace(spec, count=1, processors_millicores=1_500),
    )
    simulation.run(6_000)
    running = {
        task.split(".")[0]: name
        for name, worker in simulation.workers.items()
        for task in worker.running
    }
    assert running == {"other": "w1", "late": "w0"}


@pytest.mark.parametrize("workers", [1, 3])
@pytest.mark.parametrize("millicores", [500, 1_000])
def test_long_running_task_starts_on_a_fleet_full_of_short_tasks(
    workers: int, millicores: int
) -> None:
    """Guards against starvation by short tasks that take all room first."""
    simulation = Simulation(3, workers=workers)
    short = StepSpec(
        count=workers * 150,
        processors_millicores=1_000,
        memory_mb=10,
        expected_run_ms=700,
    )
    simulation.submit("short", short)
    simulation.run(2_000)
    simulation.submit(
        "serve",
        StepSpec(
            count=2,
            processors_millicores=millicores,
            memory_mb=10,
            long_running=True,
            image="web",
            tail_latency_target_ms=20,
        ),
    )
    simulation.run(6_000)
    table = simulation.machine.table
    assert table.ready[("short", 0, 0)].waiting
    (serve,) = table.workflows["serve"].occurrences[0]
    assert all(task.run for task in serve.tasks)
