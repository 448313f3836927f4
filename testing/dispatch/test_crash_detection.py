"""Ways in which the end of a worker is seen, and which count as crashes."""

from collections.abc import Callable

import msgspec
import pytest

from sardinespool.dispatch.crash_trials import TRIAL_MS
from sardinespool.dispatch.order_queue import TRIAL_POLL_MARGIN_MS
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerLeaves
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.fake_worker import FakeWorker
from testing.dispatch.simulation import Simulation

BACK_MS = 3_000
SPEC = StepSpec(count=1, processors_millicores=1_000, memory_mb=100)

Event = Callable[[Simulation, FakeWorker], None]


def back(
    simulation: Simulation, worker: FakeWorker, new_id: bool, after_ms: int
) -> None:
    """Let a worker start again on its host."""
    name = f"{worker.worker_id}-2" if new_id else None
    simulation.at(
        after_ms, lambda: worker.start_incarnation(simulation.now_ms, name)
    )


def crash_with_new_id(simulation: Simulation, worker: FakeWorker) -> None:
    worker.crash()
    back(simulation, worker, True, BACK_MS)


def crash_with_same_id(simulation: Simulation, worker: FakeWorker) -> None:
    worker.crash()
    back(simulation, worker, False, BACK_MS)


def crash_with_same_address(
    simulation: Simulation, worker: FakeWorker
) -> None:
    simulation.workers_check_incarnation = True
    worker.crash()
    back(simulation, worker, False, 100)


def crash_for_good(simulation: Simulation, worker: FakeWorker) -> None:
    worker.crash()


def crash_silently(simulation: Simulation, worker: FakeWorker) -> None:
    worker.reachable = False
    worker.crash()
    back(simulation, worker, True, BACK_MS)
    simulation.at(BACK_MS, lambda: setattr(worker, "reachable", True))


def crash_with_leader(simulation: Simulation, worker: FakeWorker) -> None:
    crash_with_new_id(simulation, worker)
    simulation.lose_leader(500)


def crash_with_leader_for_long(
    simulation: Simulation, worker: FakeWorker
) -> None:
    crash_with_new_id(simulation, worker)
    simulation.lose_leader(BACK_MS + 500)


def crash_seen_by_an_earlier_leader(
    simulation: Simulation, worker: FakeWorker
) -> None:
    """Commit the next process of a worker, but no ends of its runs."""
    earlier = worker.description()
    worker.crash()
    simulation.lose_leader(500)
    worker.start_incarnation(simulation.now_ms, f"{worker.worker_id}-2")
    assert worker.description().host == earlier.host
    simulation.commit_worker(worker.description())


def report_draining(simulation: Simulation, worker: FakeWorker) -> None:
    simulation.request(
        ReportWorker(
            description=worker.description(draining=True),
            sequence=1_000_000,
            clock_ms=worker.clock(simulation.now_ms),
            remaining_ms=500,
        )
    )


def end_drained(simulation: Simulation, worker: FakeWorker) -> None:
    """Let a draining worker end whose leave is lost."""
    report_draining(simulation, worker)
    crash_with_new_id(simulation, worker)


def end_drained_for_good(simulation: Simulation, worker: FakeWorker) -> None:
    report_draining(simulation, worker)
    worker.crash()


def leave(simulation: Simulation, worker: FakeWorker) -> None:
    simulation.request(WorkerLeaves(worker_id=worker.worker_id, incarnation=1))
    worker.crash()


def cut_off(simulation: Simulation, worker: FakeWorker) -> None:
    worker.reachable = False


def lose_power(simulation: Simulation, worker: FakeWorker) -> None:
    """Let the failure domain lose its power for a while."""
    for other in simulation.workers.values():
        crash_silently(simulation, other)


def lose_power_with_leader(simulation: Simulation, worker: FakeWorker) -> None:
    """Let the next leader find only the next processes in the log."""
    simulation.lose_leader(500)
    for other in simulation.workers.values():
        other.crash()
        other.start_incarnation(simulation.now_ms, f"{other.worker_id}-2")
        simulation.commit_worker(other.description())


@pytest.mark.parametrize(
    ("event", "crashes", "suspected"),
    [
        (crash_with_new_id, 1, True),
        (crash_with_same_id, 1, True),
        (crash_with_same_address, 1, True),
        (crash_for_good, 1, True),
        (crash_silently, 1, True),
        (crash_with_leader, 1, True),
        (crash_with_leader_for_long, 1, True),
        (crash_seen_by_an_earlier_leader, 1, True),
        (end_drained, 0, False),
        (end_drained_for_good, 0, False),
        (leave, 0, False),
        (cut_off, 0, False),
        (lose_power, 0, False),
        (lose_power_with_leader, 0, False),
    ],
)
def test_ends_that_count_as_crashes(
    event: Event, crashes: int, suspected: bool
) -> None:
    """Guards against crashes that are missed, or seen where there are none."""
    simulation = Simulation(1, workers=3)
    simulation.hosts_refuse = True
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: 1_500
    simulation.run(1_500)
    spec = msgspec.structs.replace(SPEC, count=3, tasks_per_worker_max=1)
    simulation.submit("job", spec)
    simulation.run(150)
    (worker,) = [
        worker
        for worker in simulation.workers.values()
        if "job.0.0.0" in worker.running
    ]
    event(simulation, worker)
    simulation.run(20_000)
    task = simulation.machine.table.task("job.0.0.0")
    assert task is not None
    assert len(task.crashed_runs) == crashes
    assert bool(task.suspected_crash) is suspected
    assert simulation.read_state("job") == "completed"
    assert simulation.oracle.violations == []


def test_run_that_has_lived_long_does_not_count() -> None:
    """Guards against long-running tasks blamed for a crash of their worker.

    Their life of a minute also clears the crash before.
    """
    simulation = Simulation(1, workers=3)
    simulation.hosts_refuse = True
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: 200_000
    simulation.run(1_500)
    simulation.submit("job", msgspec.structs.replace(SPEC, long_running=True))
    task = simulation.machine.table.task("job.0.0.0")
    assert task is not None
    for age_ms, crashed_runs in ((7_000, {1}), (66_000, set())):
        simulation.run(age_ms)
        (worker,) = [
            worker for worker in simulation.workers.values() if worker.running
        ]
        crash_with_new_id(simulation, worker)
        simulation.run(5_000)
        assert task.crashed_runs == crashed_runs
    assert task.run == 3


def restart_from_snapshot(simulation: Simulation) -> None:
    simulation.restores_snapshots = True
    simulation.lose_leader(100)


@pytest.mark.parametrize(
    "spec",
    [
        SPEC,
        msgspec.structs.replace(SPEC, count=3, gang=True),
        msgspec.structs.replace(SPEC, count=2, long_running=True),
        msgspec.structs.replace(SPEC, count=2, uses_leftover_processors=True),
        msgspec.structs.replace(SPEC, count=2, speculative=True),
    ],
    ids=["plain", "gang", "long-running", "best-effort", "speculative"],
)
@pytest.mark.parametrize("restarts", [False, True])
def test_every_kind_of_crashing_task_fails_its_job(
    spec: StepSpec, restarts: bool
) -> None:
    """Guards against kinds of tasks that are started again for good."""
    simulation = Simulation(3, workers=4)
    simulation.make_crashing(BACK_MS, keep_id=False)
    simulation.crashing_tasks.add("job.0.0.0")
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: 60_000
    simulation.run(1_500)
    simulation.submit("job", spec)
    if restarts:
        simulation.at(6_000, lambda: restart_from_snapshot(simulation))
    simulation.run(25_000)
    assert simulation.read_state("job") == "failed"
    assert simulation.oracle.violations == []
    assert simulation.oracle.crashes["job.0.0.0"] <= 4
    assert not any(worker.running for worker in simulation.workers.values())
    assert all(
        not worker.runs and worker.free_millicores == 4_000
        for worker in simulation.dispatcher.fleet.workers.values()
    )


def test_cancelled_job_gets_no_trial() -> None:
    """Guards against trials of a job that nobody wants any more."""
    simulation = Simulation(3, workers=4)
    simulation.make_crashing(BACK_MS, keep_id=False)
    simulation.crashing_tasks.add("job.0.0.0")
    simulation.run(1_500)
    simulation.submit("job", SPEC)
    simulation.run(1_000)
    simulation.cancel("job")
    simulation.run(10_000)
    assert simulation.oracle.crashes["job.0.0.0"] == 1
    assert simulation.read_state("job") == "cancelled"
    assert not simulation.machine.table.suspects


def test_suspect_starts_on_a_full_fleet() -> None:
    """Guards against a suspect that waits for an empty worker for good."""
    simulation = Simulation(3, workers=5)
    simulation.make_crashing(60_000, keep_id=False)
    simulation.crashing_tasks.add("job.0.0.0")
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: 90_000
    simulation.run(1_500)
    filling = StepSpec(
        count=5,
        processors_millicores=2_500,
        memory_mb=100,
        long_running=True,
    )
    simulation.submit("filling", filling)
    simulation.run(7_000)
    simulation.submit("job", SPEC)
    simulation.run(35_000)
    assert simulation.read_state("job") == "failed"
    assert simulation.oracle.crashes["job.0.0.0"] == 3
    assert simulation.read_state("filling") == "running"


def test_nothing_starts_beside_an_open_trial() -> None:
    """Guards against healthy tasks that are lost with a suspect."""
    simulation = Simulation(3, workers=1)
    simulation.make_crashing(BACK_MS, keep_id=False)
    simulation.crashing_tasks.add("job.0.0.0")
    (worker,) = simulation.workers.values()
    worker.failure_ratio = 0.0
    worker.run_time_ms = lambda task: 100
    simulation.run(1_500)
    simulation.submit("job", SPEC)
    simulation.run(1_000)
    simulation.submit("healthy", msgspec.structs.replace(SPEC, count=40))
    simulation.run(20_000)
    # Only the first start of the crashing task was not a trial.
    assert simulation.read_state("healthy") == "completed"
    assert simulation.read_state("job") == "failed"
    assert simulation.oracle.starts == 40 + 3


def test_trial_shortens_the_wait_of_a_renewal() -> None:
    """Guards against trials that last as long as a quiet long poll."""
    simulation = Simulation(3, workers=1)
    simulation.hosts_refuse = True
    (worker,) = simulation.workers.values()
    worker.failure_ratio = 0.0
    worker.run_time_ms = lambda task: 60_000
    simulation.run(1_500)
    simulation.submit("job", msgspec.structs.replace(SPEC, long_running=True))
    simulation.run(200)
    assert wait_of_renewal(simulation) == simulation.settings.renewal_wait_ms
    crash_with_new_id(simulation, worker)
    while not any(
        state.trials and state.reconciled
        for state in simulation.dispatcher.fleet.workers.values()
    ):
        simulation.run(5)
    assert wait_of_renewal(simulation) <= TRIAL_MS + TRIAL_POLL_MARGIN_MS
    simulation.run(2_000)
    assert wait_of_renewal(simulation) == simulation.settings.renewal_wait_ms


def wait_of_renewal(simulation: Simulation) -> int:
    """Return the wait of the next renewal to the only worker."""
    (worker,) = simulation.workers.values()
    renewal = simulation.dispatcher.orders.next_lease_renewal(
        worker.worker_id, simulation.now()
    )
    assert renewal is not None
    return renewal.wait_ms


def test_waiting_suspect_does_not_hold_back_its_image() -> None:
    """Guards against best-effort tasks behind a suspect of their image."""

    def run_time_ms(task: str) -> int:
        return 60_000 if task.startswith("lasting") else 500

    simulation = Simulation(3, workers=2)
    simulation.make_crashing(60_000, keep_id=False)
    simulation.crashing_tasks.add("first.0.0.0")
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = run_time_ms
    spec = msgspec.structs.replace(
        SPEC,
        processors_millicores=500,
        uses_leftover_processors=True,
        image="batch",
        expected_run_ms=60_000,
    )
    simulation.run(1_500)
    # It needs all memory of a worker.
    simulation.submit("first", msgspec.structs.replace(spec, memory_mb=8_000))
    simulation.run(100)
    lasting = msgspec.structs.replace(SPEC, long_running=True)
    simulation.submit("lasting", lasting)
    simulation.run(10_000)
    assert set(simulation.machine.table.suspects) == {"first.0.0.0"}
    simulation.submit("second", spec)
    # Sooner than a step without any run would start on any worker.
    simulation.run(1_000)
    assert simulation.read_state("second") == "completed"


def test_new_leader_knows_the_open_trials() -> None:
    """Guards against starts beside a trial that an earlier leader began."""
    simulation = Simulation(3, workers=1)
    simulation.hosts_refuse = True
    (worker,) = simulation.workers.values()
    worker.failure_ratio = 0.0
    worker.run_time_ms = lambda task: 60_000
    simulation.run(1_500)
    simulation.submit("job", msgspec.structs.replace(SPEC, long_running=True))
    simulation.run(200)
    crash_with_new_id(simulation, worker)
    while "job.0.0.0" not in worker.running:
        simulation.run(5)
    simulation.submit("other", SPEC)
    simulation.lose_leader(50)
    simulation.run(300)
    assert set(worker.running) == {"job.0.0.0"}
    simulation.run(1_000)
    assert set(worker.running) == {"job.0.0.0", "other.0.0.0"}
