"""Order of placement in a planning pass."""

import pytest

from sardinespool.dispatch.planner import first_tasks
from sardinespool.messages.estimates import PressEstimate
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.support import filling
from testing.dispatch.support import make_step
from testing.dispatch.world import World


@pytest.mark.parametrize(
    ("spec", "first"),
    [
        (StepSpec(count=5, long_running=True), 3),
        (StepSpec(count=1, long_running=True), 1),
        (StepSpec(count=5), 5),
        (StepSpec(count=5, long_running=True, gang=True), 5),
        (filling("f", count=7), 7),
    ],
)
def test_first_round_of_a_step(spec: StepSpec, first: int) -> None:
    """Guards against a gang in halves and short jobs that are held."""
    assert first_tasks(make_step(spec)) == first


def test_each_long_running_job_gets_a_part_of_scarce_room() -> None:
    """Guards against whole jobs that are never served."""
    world = World(2)
    for worker in world.workers.values():
        worker.hanging = True
    spec = StepSpec(
        count=8,
        processors_millicores=1_000,
        memory_mb=100,
        long_running=True,
    )
    for name in ("one", "two", "three", "four"):
        world.submit(name, spec)
    world.run(600)
    running = {
        task.split(".")[0]
        for worker in world.workers.values()
        for task in worker.running
    }
    assert running == {"one", "two", "three", "four"}
    assert world.oracle.broken == []


def test_serving_jobs_that_come_together_are_placed_by_image() -> None:
    """Guards against workers that mix images after a burst of jobs."""
    world = World(2)
    for number in range(8):
        world.submit(
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
    world.run(200)
    assert world.oracle.starts == 0
    world.run(400)
    mixed = 0
    for worker in world.workers.values():
        numbers = {
            int(task.split(".")[0].removeprefix("job"))
            for task in worker.running
        }
        mixed += len({number % 2 for number in numbers}) > 1
    assert world.oracle.starts == 8
    assert mixed == 0


def test_filling_job_starts_though_it_presses_everywhere() -> None:
    """Guards against a job of which nothing runs beside free workers."""
    world = World(2)
    for worker in world.workers.values():
        worker.hanging = True
    world.submit(
        "serve",
        StepSpec(
            count=len(world.workers),
            processors_millicores=1_000,
            memory_mb=100,
            long_running=True,
            image="web",
            tail_latency_target_ms=20,
            tasks_per_worker_max=1,
        ),
    )
    world.run(1_000)
    presses = PressEstimate(
        serving="web", filling="heavy", press=30.0, variance=0.1
    )
    world.machine.estimates = RecordEstimates(
        period_ms=None, presses=(presses,)
    )
    world.lose_leader(50)
    world.run(1_000)
    world.submit("fill", filling("heavy", millicores=1_000, count=2))
    world.run(3_000)
    started = {
        task
        for worker in world.workers.values()
        for task in worker.running
        if task.startswith("fill")
    }
    assert started
