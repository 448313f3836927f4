"""Simulated runs of the dispatcher against fake workers, with faults."""

import random

import pytest

from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.worker_clock import WorkerClock
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import Simulation
from testing.dispatch.support import add_running

JOBS = 12


def submit_jobs(
    simulation: Simulation, seed: int, prefix: str = "job"
) -> list[str]:
    """Submit jobs of one to three steps, a few per second."""
    rng = random.Random(seed)
    names = []
    for number in range(JOBS):
        name = f"{prefix}{number:02d}"
        names.append(name)
        steps = tuple(
            StepSpec(
                count=rng.randint(1, 5),
                processors_millicores=rng.choice([500, 1_000, 2_000]),
                memory_mb=100,
                expected_run_ms=700,
                after=(position - 1,) if position else (),
            )
            for position in range(rng.randint(1, 3))
        )
        simulation.submit(name, *steps)
        simulation.run(rng.randint(50, 600))
        while not simulation.serving:
            simulation.run(100)
    return names


def run_until_settled(simulation: Simulation, names: list[str]) -> None:
    """Run without faults until all jobs have ended, then check them."""
    simulation.faults.unanswered = 0.0
    simulation.faults.lost_acknowledgement = 0.0
    simulation.faults.lost_heartbeats = 0.0
    simulation.faults.late_heartbeats = 0.0
    for worker in simulation.workers.values():
        worker.reachable = True
        if not worker.up:
            worker.start_incarnation(simulation.now_ms)
    for _ in range(60):
        simulation.run(1_000)
        if all(
            simulation.machine.table.workflows[name].is_final for name in names
        ):
            break
    while not simulation.serving:
        simulation.run(100)
    states = {name: simulation.read_state(name) for name in names}
    assert simulation.oracle.violations == []
    assert set(states.values()) <= {"completed", "failed", "cancelled"}
    for name, state in states.items():
        if state == "completed":
            spec = simulation.oracle.specs[name]
            for position, step in enumerate(spec.steps):
                for index in range(step.count):
                    task = f"{name}.0.{position}.{index}"
                    assert task in simulation.oracle.done


@pytest.mark.parametrize("seed", range(3))
def test_run_without_faults_completes_every_job(seed: int) -> None:
    """Guards against double, early or oversubscribing starts."""
    simulation = Simulation(seed)
    names = submit_jobs(simulation, seed)
    run_until_settled(simulation, names)
    assert simulation.oracle.starts >= JOBS


@pytest.mark.parametrize("seed", range(8))
def test_unanswered_orders_break_no_rule(seed: int) -> None:
    """Guards against a delayed start that overlaps the next run."""
    simulation = Simulation(seed)
    simulation.faults.unanswered = 0.15
    simulation.faults.late = 0.7
    run_until_settled(simulation, submit_jobs(simulation, seed))


# From 8 on: a renewal for the earlier process deleted ends of the next one.
@pytest.mark.parametrize("seed", [*range(8), 8, 13, 40, 49, 53, 57, 59])
def test_worker_restarts_break_no_rule(seed: int) -> None:
    """Guards against lost runs that still count as running."""
    simulation = Simulation(seed)
    restart_workers(simulation, seed)


# Without the end of connections, process 3 executed an order for process 2.
@pytest.mark.parametrize("seed", [32, 66, *range(100, 108)])
def test_late_orders_end_with_the_process_of_their_connection(
    seed: int,
) -> None:
    """Guards against a start after the task's end was acknowledged."""
    simulation = Simulation(seed)
    simulation.connections_end_with_process = True
    restart_workers(simulation, seed)


def restart_workers(simulation: Simulation, seed: int) -> None:
    """Crash and restart workers while orders are late, then check the jobs."""
    simulation.faults.unanswered = 0.05
    simulation.faults.late = 0.5
    rng = random.Random(seed)
    for delay_ms in range(500, 6_000, 1_500):
        worker = simulation.workers[rng.choice(sorted(simulation.workers))]
        simulation.at(delay_ms, worker.crash)
        simulation.at(
            delay_ms + rng.randint(100, 5_000),
            lambda worker=worker: worker.start_incarnation(simulation.now_ms),
        )
    run_until_settled(simulation, submit_jobs(simulation, seed))


@pytest.mark.parametrize("seed", range(8))
def test_unreachable_workers_break_no_rule(seed: int) -> None:
    """Guards against a second run before the lease of the first expires."""
    simulation = Simulation(seed)

    def set_reachable(worker_id: str, reachable: bool) -> None:
        simulation.workers[worker_id].reachable = reachable

    rng = random.Random(seed)
    for delay_ms in range(300, 6_000, 1_200):
        worker_id = rng.choice(sorted(simulation.workers))
        simulation.at(delay_ms, lambda w=worker_id: set_reachable(w, False))
        simulation.at(
            delay_ms + rng.randint(500, 9_000),
            lambda w=worker_id: set_reachable(w, True),
        )
    run_until_settled(simulation, submit_jobs(simulation, seed))


@pytest.mark.parametrize("seed", range(10))
def test_leader_changes_break_no_rule(seed: int) -> None:
    """Guards against a new leader that restarts running tasks."""
    simulation = Simulation(seed)
    simulation.faults.unanswered = 0.1
    simulation.faults.late = 0.6
    rng = random.Random(seed)
    for delay_ms in range(400, 6_000, 1_900):
        simulation.at(
            delay_ms,
            lambda: (
                simulation.lose_leader(rng.randint(50, 2_500))
                if simulation.serving
                else None
            ),
        )
    run_until_settled(simulation, submit_jobs(simulation, seed))


@pytest.mark.parametrize("seed", range(8))
def test_lost_acknowledgements_break_no_rule(seed: int) -> None:
    """Guards against jobs that fail because an end is recorded twice."""
    simulation = Simulation(seed)
    simulation.faults.unanswered = 0.1
    simulation.faults.late = 0.6
    simulation.faults.lost_acknowledgement = 0.3
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.2
    names = submit_jobs(simulation, seed)
    simulation.run(5_000)
    assert simulation.term > 1
    run_until_settled(simulation, names)


@pytest.mark.parametrize("seed", range(4))
def test_cancelled_jobs_are_stopped(seed: int) -> None:
    """Guards against tasks of a cancelled job that keep running or start."""
    simulation = Simulation(seed)
    simulation.faults.unanswered = 0.1
    names = submit_jobs(simulation, seed)
    for name in names[::3]:
        simulation.cancel(name)
    simulation.run(4_000)
    for name in names[::3]:
        for worker in simulation.workers.values():
            assert not any(task.startswith(name) for task in worker.running)
    run_until_settled(simulation, names)


def test_failing_worker_does_not_exhaust_the_attempts() -> None:
    """Guards against jobs that fail because all runs on one worker fail."""
    simulation = Simulation(3)
    simulation.workers["w0"].failing = True
    names = submit_jobs(simulation, 3)
    run_until_settled(simulation, names)
    failed = [
        name
        for name in names
        if simulation.machine.table.workflows[name].state == "failed"
    ]
    assert failed == []


def test_tasks_move_away_from_a_stalled_worker() -> None:
    """Guards against jobs that wait forever for a stalled worker."""
    simulation = Simulation(4)
    simulation.workers["w1"].hanging = True
    names = submit_jobs(simulation, 4)
    run_until_settled(simulation, names)


def test_start_answered_by_the_next_incarnation_is_not_repeated() -> None:
    """Guards against a second run beside one that a restarted worker took.

    The answer to a start does not name the incarnation of the worker, so a
    new incarnation that has not sent a heartbeat yet accepts starts meant for
    the previous one.
    """
    simulation = Simulation(5, workers=2)
    simulation.run(1_500)
    worker = simulation.workers["w0"]
    worker.crash()
    worker.start_incarnation(simulation.now_ms)
    step = StepSpec(
        count=8,
        processors_millicores=1_000,
        memory_mb=100,
        expected_run_ms=700,
    )
    simulation.submit("job", step)
    run_until_settled(simulation, ["job"])


def test_deposed_leader_stops_sending_orders() -> None:
    """Guards against a leader that keeps ordering with a lower token."""
    simulation = Simulation(6)
    simulation.run(1_500)
    step = StepSpec(
        count=6,
        processors_millicores=1_000,
        memory_mb=100,
        expected_run_ms=700,
    )
    for worker in simulation.workers.values():
        worker.observe_token(simulation.term + 1)
    simulation.submit("job", step)
    simulation.run(500)
    refused = sum(worker.fenced for worker in simulation.workers.values())
    # Starts and lease renewals already in flight at the first refusal.
    assert 0 < refused <= step.count + len(simulation.workers)
    simulation.run(2_000)
    assert refused == sum(
        worker.fenced for worker in simulation.workers.values()
    )
    assert simulation.oracle.starts == 0


@pytest.mark.parametrize(
    "cause", ["fenced", "unreconciled", "clock", "silent"]
)
def test_orders_that_may_not_be_sent_have_no_due_time(cause: str) -> None:
    """Guards against senders that wake each millisecond for nothing."""
    simulation = Simulation(6)
    simulation.run(1_500)
    state = simulation.dispatcher.fleet.workers["w0"]
    run = add_running(state, StepSpec(count=1), "job")
    run.phase = RunPhase.ORDERED
    state.pending[run.key] = run
    orders = simulation.dispatcher.orders
    assert orders.ms_until_next_order("w0", simulation.now()) == 1
    match cause:
        case "fenced":
            orders.fenced = True
        case "unreconciled":
            state.reconciled = False
        case "silent":
            state.answered = False
        case _:
            state.clock = WorkerClock(0.98)
    assert orders.next_order("w0", simulation.now()) is None
    assert orders.ms_until_next_order("w0", simulation.now()) is None


def test_refusal_from_an_earlier_term_does_not_fence_the_next() -> None:
    """Guards against a leader that never sends orders again.

    A member that is deposed and elected again can still receive the answer to
    a lease renewal or order of its first term.
    """
    simulation = Simulation(7)
    simulation.run(1_500)
    dispatcher = simulation.dispatcher
    late = RenewLease(
        fencing_token=simulation.term, acknowledged_end=0, wait_ms=1_000
    )
    simulation.term += 2
    dispatcher.begin(simulation.term, simulation.now())
    dispatcher.handle_renewal_result(
        "w0",
        simulation.workers["w0"].incarnation,
        late,
        OrderRefused(Refusal.FENCED, 1),
        simulation.now().boot_ms,
        simulation.now(),
    )
    step = StepSpec(
        count=6,
        processors_millicores=1_000,
        memory_mb=100,
        expected_run_ms=700,
    )
    simulation.submit("job", step)
    run_until_settled(simulation, ["job"])


@pytest.mark.parametrize("long_running", [False, True])
def test_next_leader_stops_runs_of_cancelled_jobs(
    long_running: bool,
) -> None:
    """Guards against tasks that outlive a cancel when the leader is lost."""
    simulation = Simulation(8)
    for worker in simulation.workers.values():
        worker.hanging = True
    step = StepSpec(
        count=6,
        processors_millicores=1_000,
        memory_mb=100,
        long_running=long_running,
    )
    simulation.submit("job", step)
    simulation.run(1_500)
    assert any(worker.running for worker in simulation.workers.values())
    # The cancel is committed, but the leader is lost before it sends stops.
    simulation.cancel("job")
    simulation.lose_leader(300)
    simulation.run(4_000)
    assert not any(worker.running for worker in simulation.workers.values())


def test_run_ended_in_the_log_still_occupies_its_resources() -> None:
    """Guards against starts that ignore a run that is being stopped."""
    simulation = Simulation(9, workers=1)
    worker = simulation.workers["w0"]
    worker.hanging = True
    step = StepSpec(
        count=1,
        processors_millicores=3_000,
        memory_mb=100,
        expected_run_ms=700,
    )
    simulation.submit("job", step)
    simulation.run(1_500)
    state = simulation.dispatcher.fleet.workers["w0"]
    (run,) = state.runs.values()
    simulation.cancel("job")
    simulation.dispatcher.end_run(
        state, run, "lost", "ended by an earlier leader"
    )
    while run.key in state.runs and state.runs[run.key] is run:
        simulation.run(5)
    while run.key not in state.runs:
        simulation.run(5)
    assert worker.running
    simulation.submit("other", step)
    simulation.run(3_000)
    assert simulation.oracle.violations == []


def test_worker_that_leaves_before_leader_change_frees_its_tasks() -> None:
    """Guards against tasks that stay assigned to a worker that has left.

    The leader that committed the leave is lost before it commits the ends of
    the worker's runs.
    """
    simulation = Simulation(1)
    simulation.submit(
        "job", StepSpec(count=6, processors_millicores=1_000, memory_mb=100)
    )
    simulation.run(200)
    worker_id = next(
        name for name, worker in simulation.workers.items() if worker.running
    )
    simulation.workers[worker_id].crash()
    simulation.drop_worker(worker_id)
    assert simulation.machine.table.assigned[worker_id]
    simulation.lose_leader(100)
    simulation.run(20_000)
    assert simulation.oracle.violations == []
    assert simulation.machine.table.workflows["job"].state == "completed"
