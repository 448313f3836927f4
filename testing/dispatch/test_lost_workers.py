"""Workers that stop answering for good, under one leader."""

import random

import pytest

from sardinespool.dispatch.orders import StartRun
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.fake_worker import FakeWorker
from testing.dispatch.simulation import Simulation

RESTART_MAX_MS = 6_000
"""Time after its last run from which users count a long-running task."""
LONG_RUNNING = StepSpec(
    count=6, processors_millicores=1_000, memory_mb=100, long_running=True
)
BEST_EFFORT = StepSpec(
    count=6,
    processors_millicores=1_000,
    memory_mb=100,
    uses_leftover_processors=True,
    checkpointing=True,
    image="batch",
)
RUN_TIME_MS = 60_000


def lose(worker: FakeWorker, how: str) -> None:
    """Make a worker stop answering for good."""
    if how == "crash":
        worker.crash()
    else:
        worker.reachable = False


def tasks_elsewhere(simulation: Simulation, lost: str) -> set[str]:
    """Return the tasks that other workers than the lost one run."""
    return {
        task
        for worker_id, worker in simulation.workers.items()
        if worker_id != lost
        for task in worker.running
    }


@pytest.mark.parametrize("how", ["crash", "cut"])
@pytest.mark.parametrize(
    "running_ms",
    [
        pytest.param(3_000, id="running"),
        pytest.param(30, id="start-unanswered"),
    ],
)
@pytest.mark.parametrize("step", [LONG_RUNNING, BEST_EFFORT])
def test_tasks_of_a_worker_lost_for_good_start_elsewhere(
    step: StepSpec, running_ms: int, how: str
) -> None:
    """Guards against renewals that extend the lease of a lost worker."""
    simulation = Simulation(1, workers=4)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: RUN_TIME_MS
    simulation.run(1_500)
    simulation.submit("job", step)
    expected = {f"job.0.0.{index}" for index in range(step.count)}
    while not simulation.machine.table.assigned:
        simulation.run(5)
    lost = next(iter(simulation.machine.table.assigned))
    simulation.run(running_ms)
    lose(simulation.workers[lost], how)
    simulation.run(RESTART_MAX_MS)
    assert tasks_elsewhere(simulation, lost) == expected
    assert simulation.oracle.violations == []


@pytest.mark.parametrize("cuts", [1, 4])
@pytest.mark.parametrize("cut_ms", [300, 1_000, 2_000])
def test_tasks_outlive_a_short_silence(cut_ms: int, cuts: int) -> None:
    """Guards against tasks given up as their worker was silent for a while."""
    simulation = Simulation(1, workers=4)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: RUN_TIME_MS
    simulation.run(1_500)
    simulation.submit("job", LONG_RUNNING)
    simulation.run(2_000)
    starts = simulation.oracle.starts
    for _ in range(cuts):
        for worker in simulation.workers.values():
            worker.reachable = False
        simulation.run(cut_ms)
        for worker in simulation.workers.values():
            worker.reachable = True
        simulation.run(1_000)
    simulation.run(RESTART_MAX_MS)
    running = [
        task
        for worker in simulation.workers.values()
        for task in worker.running
    ]
    assert len(running) == LONG_RUNNING.count
    assert simulation.oracle.starts == starts
    assert simulation.oracle.violations == []


@pytest.mark.parametrize("seed", range(4))
def test_jobs_complete_although_workers_are_lost_for_good(seed: int) -> None:
    """Guards against work that waits for a lost worker, with lost messages."""
    rng = random.Random(seed)
    simulation = Simulation(seed, workers=6)
    simulation.faults.unanswered = 0.05
    simulation.faults.late = 0.5
    simulation.run(1_500)
    names = [f"job{number}" for number in range(8)]
    for number, name in enumerate(names):
        simulation.submit(
            name,
            StepSpec(count=6, processors_millicores=1_000, memory_mb=100),
        )
        simulation.run(rng.randint(50, 600))
        if number in (2, 5):
            lost = simulation.workers[f"w{number}"]
            lose(lost, rng.choice(["crash", "cut"]))
    simulation.run(30_000)
    assert {simulation.read_state(name) for name in names} == {"completed"}
    assert simulation.oracle.violations == []


@pytest.mark.parametrize("leader_changes", [False, True])
@pytest.mark.parametrize("late_ms", [2_000, 11_900])
def test_late_start_on_a_restarted_worker_runs_alone(
    late_ms: int, leader_changes: bool
) -> None:
    """Guards against a second run while a late start has the longest lease."""
    simulation = Simulation(1, workers=4)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: RUN_TIME_MS
    # The clock of a later process is behind that of this one.
    simulation.run(30_000)
    lost = simulation.workers["w0"]
    lost.reachable = False
    simulation.submit("job", LONG_RUNNING)
    simulation.run(100)
    task, run = next(
        (task.key, task.run)
        for task in simulation.machine.table.assigned["w0"].values()
    )
    late_start = StartRun(
        task=task,
        run=run,
        payload="text",
        lease_end_ms=lost.clock(simulation.now_ms)
        + simulation.settings.lease_ms,
        fencing_token=simulation.term,
    )
    lost.start_incarnation(simulation.now_ms)
    report = ReportWorker(
        description=lost.description(), sequence=1, clock_ms=0
    )
    simulation.request(report)
    if leader_changes:
        simulation.service.step_down()
        simulation.lead()
    simulation.run(late_ms)
    lost.execute(late_start, simulation.now_ms)
    assert task in lost.running
    simulation.run(simulation.settings.late_order_ms + RESTART_MAX_MS)
    assert task in tasks_elsewhere(simulation, "w0")
    assert simulation.oracle.violations == []


@pytest.mark.parametrize("late", [0.0, 1.0])
@pytest.mark.parametrize("period_ms", [500, 3_000, 8_000])
def test_restarts_of_unreachable_worker_do_not_delay_its_tasks(
    period_ms: int, late: float
) -> None:
    """Guards against restarts that each postpone the end of a lost start."""
    simulation = Simulation(1, workers=4)
    simulation.faults.late = late
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: RUN_TIME_MS
    # The clock of a later process is behind that of this one.
    simulation.run(30_000)
    lost = simulation.workers["w0"]
    lost.reachable = False
    simulation.submit("job", LONG_RUNNING)
    simulation.run(100)
    assert "w0" in simulation.machine.table.assigned
    settings = simulation.settings
    end_ms = (
        simulation.now_ms
        + settings.late_order_ms
        + settings.lease_limit_ms
        + RESTART_MAX_MS
    )
    while simulation.now_ms < end_ms:
        lost.crash()
        lost.start_incarnation(simulation.now_ms)
        report = ReportWorker(
            description=lost.description(),
            sequence=1,
            clock_ms=lost.clock(simulation.now_ms),
        )
        simulation.request(report)
        simulation.run(period_ms)
    assert len(tasks_elsewhere(simulation, "w0")) == LONG_RUNNING.count
    assert simulation.oracle.violations == []


def test_answers_of_an_earlier_incarnation_extend_no_lease() -> None:
    """Guards against runs kept by a process whose clock was set back."""
    simulation = Simulation(1, workers=4)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: RUN_TIME_MS
    simulation.run(1_500)
    simulation.submit("job", LONG_RUNNING)
    simulation.run(3_000)
    lost = simulation.workers["w0"]
    assert lost.running
    lost.start_incarnation(simulation.now_ms)
    lost.incarnation = 0
    simulation.run(RESTART_MAX_MS)
    assert len(tasks_elsewhere(simulation, "w0")) == LONG_RUNNING.count
    assert simulation.oracle.violations == []


def test_replaced_workers_leave_nothing_behind() -> None:
    """Guards against memory that grows with each restart under a new id."""
    simulation = Simulation(1, workers=1)
    (worker,) = simulation.workers.values()
    for number in range(5):
        simulation.run(2_000)
        worker.start_incarnation(simulation.now_ms, f"w0-{number}")
    simulation.run(8_000)
    fleet = simulation.dispatcher.fleet
    assert set(fleet.workers) == {"w0-4"}
    assert set(fleet.heartbeat_boot_ms) == {"w0-4"}
    assert set(fleet._report_clock_ms) == {"w0-4"}
