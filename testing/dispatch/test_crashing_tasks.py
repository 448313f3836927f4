"""Simulated runs with tasks that crash each worker that starts them."""

import collections
import functools
import random

import pytest

from sardinespool.messages.workflows import StepSpec
from testing.dispatch.fake_worker import FakeWorker
from testing.dispatch.simulation import Simulation

JOBS = 14
CRASHING_JOBS = 3
DOWNTIME_MS = 3_000
SEEDS = range(4)
"""Short run of CI; 50 seeds of each variant are run by hand."""


def submit_jobs(
    simulation: Simulation, seed: int, crashing_count: int = CRASHING_JOBS
) -> tuple[set[str], set[str]]:
    """Submit jobs, a few per second; return the crashing and other ones."""
    rng = random.Random(seed)
    crashing_jobs = set(rng.sample(range(JOBS), crashing_count))
    crashing: set[str] = set()
    healthy: set[str] = set()
    for number in range(JOBS):
        name = f"job{number:02d}"
        steps = tuple(
            StepSpec(
                count=rng.randint(1, 5),
                processors_millicores=rng.choice([500, 1_000]),
                memory_mb=100,
                expected_run_ms=700,
                after=(position - 1,) if position else (),
            )
            for position in range(rng.randint(1, 3))
        )
        (crashing if number in crashing_jobs else healthy).add(name)
        if number in crashing_jobs:
            position = rng.randrange(len(steps))
            for index in range(rng.randint(1, 2)):
                simulation.crashing_tasks.add(f"{name}.0.{position}.{index}")
        while not simulation.serving:
            simulation.run(100)
        simulation.submit(name, *steps)
        simulation.run(rng.randint(50, 600))
    return crashing, healthy


def run_until_ended(simulation: Simulation) -> None:
    """Run until all jobs have ended, for a minute at most."""
    for _ in range(60):
        simulation.run(1_000)
        if simulation.serving and all(
            workflow.is_final
            for workflow in simulation.machine.table.workflows.values()
        ):
            break
    while not simulation.serving:
        simulation.run(100)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "variant",
    ["new-id", "same-id", "starter-lost", "late", "repeated", "restored"],
)
def test_only_jobs_with_crashing_tasks_fail(variant: str, seed: int) -> None:
    """Guards against tasks that crash one worker after the other for good."""
    simulation = Simulation(seed, workers=6)
    simulation.make_crashing(DOWNTIME_MS, keep_id=variant == "same-id")
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
    match variant:
        case "starter-lost":
            simulation.faults.lost_starter = 0.5
        case "late":
            simulation.connections_end_with_process = True
            simulation.faults.unanswered = 0.05
            simulation.faults.late = 0.5
        case "repeated":
            simulation.faults.repeated_ends = 0.5
            simulation.faults.lost_acknowledgement = 0.1
        case "restored":
            simulation.restores_snapshots = True
            simulation.faults.lost_acknowledgement = 0.1
    crashing, healthy = submit_jobs(simulation, seed)
    run_until_ended(simulation)
    states = {name: simulation.read_state(name) for name in crashing | healthy}
    assert simulation.oracle.violations == []
    assert {states[name] for name in healthy} == {"completed"}
    assert {states[name] for name in crashing} == {"failed"}
    assert simulation.oracle.crashes.total() > 0


def run_with_random_crashes(
    seed: int, lasting: StepSpec | None = None
) -> tuple[Simulation, set[str]]:
    """Run healthy jobs while a worker crashes by itself every two seconds.

    A long-running step runs beside them, if given. Returns the simulation
    after all other jobs have ended, or a minute, and their names.
    """
    simulation = Simulation(seed, workers=6)
    simulation.hosts_refuse = True
    rng = random.Random(seed)

    def crash(host: str) -> None:
        worker = simulation.workers[host]
        if worker.up:
            simulation.oracle.crashes_under.update(set(worker.running))
            worker.crash()
            simulation.at(DOWNTIME_MS, lambda: start_again(worker, host))

    def start_again(worker: FakeWorker, host: str) -> None:
        worker.start_incarnation(
            simulation.now_ms, f"{host}-{worker.incarnation}"
        )

    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
    for delay_ms in range(1_000, 30_000, 2_000):
        host = rng.choice(sorted(simulation.workers))
        simulation.at(delay_ms, functools.partial(crash, host))
    if lasting is not None:
        for worker in simulation.workers.values():
            worker.run_time_ms = lambda task: (
                200_000 if task.startswith("lasting") else 700
            )
        simulation.submit("lasting", lasting)
    _, jobs = submit_jobs(simulation, seed, crashing_count=0)
    run_until_ended(simulation)
    return simulation, jobs


# With seeds 11, 26 and 37 a worker crashes by itself during a trial.
@pytest.mark.parametrize("seed", [*SEEDS, 11, 26, 37])
def test_workers_that_crash_by_themselves_fail_no_job(seed: int) -> None:
    """Guards against tasks blamed for a crash that fell into their trial."""
    simulation, jobs = run_with_random_crashes(seed)
    assert {simulation.read_state(name) for name in jobs} == {"completed"}
    assert simulation.oracle.violations == []


# On these seeds a job fails: the leader counts four crashes under one of its
# tasks. With seed 7, one of the four runs had ended before, but no list had
# arrived.
@pytest.mark.parametrize("seed", [7, 34])
def test_crash_of_one_worker_fails_no_job(seed: int) -> None:
    """Guards against jobs that fail with fewer than two crashes of a task."""
    simulation, jobs = run_with_random_crashes(seed)
    states = collections.Counter(simulation.read_state(name) for name in jobs)
    assert states["failed"] <= 1
    assert states["completed"] + states["failed"] == len(jobs)
    assert simulation.oracle.violations == []
