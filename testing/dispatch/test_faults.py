"""Whole runs of the dispatcher against stand-in workers, with faults."""

import random

import pytest

from sardinespool.dispatch.orders import HoldWorker
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import Refusal
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.world import World

JOBS = 12


def submit_jobs(world: World, seed: int) -> list[str]:
    """Submit jobs of one to three steps, a few each second."""
    shapes = random.Random(seed)
    names = []
    for number in range(JOBS):
        name = f"job{number:02d}"
        names.append(name)
        steps = tuple(
            StepSpec(
                count=shapes.randint(1, 5),
                processors_millicores=shapes.choice([500, 1_000, 2_000]),
                memory_mb=100,
                expected_run_ms=700,
                after=(position - 1,) if position else (),
            )
            for position in range(shapes.randint(1, 3))
        )
        world.submit(name, *steps)
        world.run(shapes.randint(50, 600))
        while not world.serving:
            world.run(100)
    return names


def settle(world: World, names: list[str]) -> None:
    """Run without faults until all jobs have ended."""
    world.faults.unanswered = 0.0
    for worker in world.workers.values():
        worker.reachable = True
        if not worker.up:
            worker.begin_life(world.now_ms)
    for _ in range(60):
        world.run(1_000)
        if all(world.machine.table.workflows[name].is_final for name in names):
            break
    states = {
        name: world.machine.table.workflows[name].state for name in names
    }
    assert world.oracle.broken == []
    assert set(states.values()) <= {"completed", "failed", "cancelled"}
    for name, state in states.items():
        if state == "completed":
            spec = world.oracle.specs[name]
            for position, step in enumerate(spec.steps):
                for index in range(step.count):
                    task = f"{name}.0.{position}.{index}"
                    assert task in world.oracle.done


@pytest.mark.parametrize("seed", range(3))
def test_calm_run_completes_every_job(seed: int) -> None:
    """Guards against tasks that start twice, early or over a room."""
    world = World(seed)
    names = submit_jobs(world, seed)
    settle(world, names)
    assert world.oracle.starts >= JOBS


@pytest.mark.parametrize("seed", range(8))
def test_orders_without_answer_do_no_harm(seed: int) -> None:
    """Guards against a late start beside the next run of its task."""
    world = World(seed)
    world.faults.unanswered = 0.15
    world.faults.late = 0.7
    settle(world, submit_jobs(world, seed))


@pytest.mark.parametrize("seed", range(8))
def test_workers_crash_and_start_anew(seed: int) -> None:
    """Guards against runs of an earlier life that are taken for running."""
    world = World(seed)
    world.faults.unanswered = 0.05
    world.faults.late = 0.5
    choice = random.Random(seed)
    for delay_ms in range(500, 6_000, 1_500):
        worker = world.workers[choice.choice(sorted(world.workers))]
        world.at(delay_ms, worker.crash)
        world.at(
            delay_ms + choice.randint(100, 5_000),
            lambda worker=worker: worker.begin_life(world.now_ms),
        )
    settle(world, submit_jobs(world, seed))


@pytest.mark.parametrize("seed", range(8))
def test_cut_off_workers_run_on(seed: int) -> None:
    """Guards against a second run while a lease is in force."""
    world = World(seed)

    def cut(worker_id: str, reachable: bool) -> None:
        world.workers[worker_id].reachable = reachable

    choice = random.Random(seed)
    for delay_ms in range(300, 6_000, 1_200):
        worker_id = choice.choice(sorted(world.workers))
        world.at(delay_ms, lambda w=worker_id: cut(w, False))
        world.at(
            delay_ms + choice.randint(500, 9_000),
            lambda w=worker_id: cut(w, True),
        )
    settle(world, submit_jobs(world, seed))


@pytest.mark.parametrize("seed", range(10))
def test_leader_changes_keep_the_rules(seed: int) -> None:
    """Guards against a new leader that starts what still runs."""
    world = World(seed)
    world.faults.unanswered = 0.1
    world.faults.late = 0.6
    choice = random.Random(seed)
    for delay_ms in range(400, 6_000, 1_900):
        world.at(
            delay_ms,
            lambda: (
                world.lose_leader(choice.randint(50, 2_500))
                if world.serving
                else None
            ),
        )
    settle(world, submit_jobs(world, seed))


@pytest.mark.parametrize("seed", range(4))
def test_cancelled_jobs_stop(seed: int) -> None:
    """Guards against tasks of a cancelled job that run on or start."""
    world = World(seed)
    world.faults.unanswered = 0.1
    names = submit_jobs(world, seed)
    for name in names[::3]:
        world.cancel(name)
    world.run(4_000)
    for name in names[::3]:
        for worker in world.workers.values():
            assert not any(task.startswith(name) for task in worker.running)
    settle(world, names)


def test_failing_worker_does_not_use_up_the_attempts() -> None:
    """Guards against jobs that fail since one worker fails everything."""
    world = World(3)
    world.workers["w0"].failing = True
    names = submit_jobs(world, 3)
    settle(world, names)
    failed = [
        name
        for name in names
        if world.machine.table.workflows[name].state == "failed"
    ]
    assert failed == []


def test_tasks_leave_a_worker_on_which_they_stand_still() -> None:
    """Guards against jobs that wait for ever for a stuck worker."""
    world = World(4)
    world.workers["w1"].hanging = True
    names = submit_jobs(world, 4)
    settle(world, names)


def test_start_that_the_next_life_answers_is_not_repeated() -> None:
    """Guards against a second run beside one that a new life answered.

    The answer to a start does not name the life of the worker, so a life
    that began before its first heartbeat takes starts meant for the last.
    """
    world = World(5, workers=2)
    world.run(1_500)
    worker = world.workers["w0"]
    worker.crash()
    worker.begin_life(world.now_ms)
    step = StepSpec(
        count=8,
        processors_millicores=1_000,
        memory_mb=100,
        expected_run_ms=700,
    )
    world.submit("job", step)
    settle(world, ["job"])


def test_deposed_leader_stops_ordering() -> None:
    """Guards against a leader that repeats orders with a lower token."""
    world = World(6)
    world.run(1_500)
    step = StepSpec(
        count=6,
        processors_millicores=1_000,
        memory_mb=100,
        expected_run_ms=700,
    )
    for worker in world.workers.values():
        worker.see_token(world.term + 1)
    world.submit("job", step)
    world.run(500)
    refused = sum(worker.fenced for worker in world.workers.values())
    # Each start and each hold that was on its way with the first refusal.
    assert 0 < refused <= step.count + len(world.workers)
    world.run(2_000)
    assert refused == sum(worker.fenced for worker in world.workers.values())
    assert world.oracle.starts == 0


def test_refusal_of_an_earlier_leadership_does_not_stop_the_next() -> None:
    """Guards against a leader that never orders again.

    A member that leads, is deposed and leads again can still get the answer
    to an order of the first time.
    """
    world = World(7)
    world.run(1_500)
    dispatcher = world.dispatcher
    late = HoldWorker(
        fencing_token=world.term, acknowledged_end=0, wait_ms=1_000
    )
    world.term += 2
    dispatcher.begin(world.term, world.now())
    dispatcher.hold_answered(
        "w0",
        world.workers["w0"].life,
        late,
        OrderRefused(Refusal.FENCED, 1),
        world.now().boot_ms,
        world.now(),
    )
    step = StepSpec(
        count=6,
        processors_millicores=1_000,
        memory_mb=100,
        expected_run_ms=700,
    )
    world.submit("job", step)
    settle(world, ["job"])


@pytest.mark.parametrize("long_running", [False, True])
def test_next_leader_stops_the_runs_of_cancelled_jobs(
    long_running: bool,
) -> None:
    """Guards against tasks that run on after a cancel and a lost leader."""
    world = World(8)
    for worker in world.workers.values():
        worker.hanging = True
    step = StepSpec(
        count=6,
        processors_millicores=1_000,
        memory_mb=100,
        long_running=long_running,
    )
    world.submit("job", step)
    world.run(1_500)
    assert any(worker.running for worker in world.workers.values())
    # The cancel is in the log, and the leader is lost before its stops.
    world.cancel("job")
    world.lose_leader(300)
    world.run(4_000)
    assert not any(worker.running for worker in world.workers.values())


def test_run_that_the_log_has_ended_takes_its_room() -> None:
    """Guards against starts over the room of a run that is being stopped."""
    world = World(9, workers=1)
    worker = world.workers["w0"]
    worker.hanging = True
    step = StepSpec(
        count=1,
        processors_millicores=3_000,
        memory_mb=100,
        expected_run_ms=700,
    )
    world.submit("job", step)
    world.run(1_500)
    state = world.dispatcher.fleet.workers["w0"]
    (run,) = state.runs.values()
    world.cancel("job")
    world.dispatcher.end_run(state, run, "lost", "as an earlier leader did")
    while run.key in state.runs and state.runs[run.key] is run:
        world.run(5)
    while run.key not in state.runs:
        world.run(5)
    assert worker.running
    world.submit("other", step)
    world.run(3_000)
    assert world.oracle.broken == []
