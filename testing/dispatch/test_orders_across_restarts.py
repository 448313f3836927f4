"""Calls and lease ends that outlive the process or leader they belong to."""

import dataclasses
from collections.abc import Callable

import msgspec
import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch import crash_trials
from sardinespool.dispatch import pace_controller
from sardinespool.dispatch.health import WorkerHealth
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import OrderResult
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.dispatch.run_state import FULL_PACE
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import Simulation
from testing.dispatch.support import add_running
from testing.dispatch.support import best_effort
from testing.dispatch.support import make_worker

RUN_TIME_MS = 60_000
RESTART_MAX_MS = 6_000
SLOWEST_CLOCK_RATE = 0.98
LONG_RUNNING = StepSpec(
    count=4, processors_millicores=1_000, memory_mb=100, long_running=True
)

BEST_EFFORT = StepSpec(
    count=4,
    processors_millicores=1_000,
    memory_mb=100,
    uses_leftover_processors=True,
    checkpointing=True,
    image="batch",
)


def make_simulation(settings: DispatchSettings | None = None) -> Simulation:
    """Return a simulation of long runs that don't fail."""
    simulation = Simulation(1, workers=4, settings=settings)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: RUN_TIME_MS
    return simulation


def running_tasks(simulation: Simulation) -> list[str]:
    """Return the tasks that the workers run."""
    return [
        task
        for worker in simulation.workers.values()
        for task in worker.running
    ]


@pytest.mark.parametrize("leader_changes", [False, True])
@pytest.mark.parametrize("rate", [SLOWEST_CLOCK_RATE, 1.0])
@pytest.mark.parametrize("idle_ms", [1_000, 30_000, 100_000, 300_000])
def test_leases_of_idle_workers_end_when_the_leaders_count(
    idle_ms: int, rate: float, leader_changes: bool
) -> None:
    """Guards against lease ends that rest on an old reading of a clock."""
    simulation = make_simulation()
    for worker in simulation.workers.values():
        worker._rate = rate
    simulation.run(1_500 + idle_ms)
    simulation.submit("job", LONG_RUNNING)
    while not any(worker.running for worker in simulation.workers.values()):
        simulation.run(5)
    lost = next(
        worker for worker in simulation.workers.values() if worker.running
    )
    lost.reachable = False
    if leader_changes:
        simulation.lose_leader(downtime_ms=50)
    simulation.run(8_000)
    assert len(running_tasks(simulation)) == LONG_RUNNING.count
    assert simulation.oracle.violations == []


@pytest.mark.parametrize("rate", [SLOWEST_CLOCK_RATE, 1.0])
@pytest.mark.parametrize(
    "idle_ms", [45_000, 100_000, 156_000, 180_000, 200_000, 300_000]
)
def test_leases_of_first_runs_after_idle_time_are_renewed_in_time(
    idle_ms: int, rate: float
) -> None:
    """Guards against leases that lapse during the first long poll.

    The simulation divides the wait of a long poll by four.
    """
    simulation = make_simulation(
        DispatchSettings(
            renewal_wait_ms=4 * DispatchSettings().renewal_wait_ms
        )
    )
    for worker in simulation.workers.values():
        worker._rate = rate
    simulation.run(1_500 + idle_ms)
    simulation.submit("job", LONG_RUNNING)
    simulation.run(10_000)
    starts = [
        running.run
        for worker in simulation.workers.values()
        for running in worker.running.values()
    ]
    assert starts == [1] * LONG_RUNNING.count
    assert simulation.oracle.starts == LONG_RUNNING.count
    assert simulation.oracle.violations == []


@pytest.mark.parametrize("late_ms", [500, 4_000, 4_500, 5_000, 5_500])
@pytest.mark.parametrize("idle_ms", [1_000, 100_000])
def test_late_starts_of_a_deposed_leader_run_alone(
    idle_ms: int, late_ms: int
) -> None:
    """Guards against a start that is sent when its leader wakes again.

    The next leader can't reach the worker, which has seen no higher token.
    """
    simulation = make_simulation()
    for worker in simulation.workers.values():
        worker._rate = SLOWEST_CLOCK_RATE
    simulation.run(1_500 + idle_ms)
    lost = simulation.workers["w0"]
    lost.reachable = False
    simulation.submit("job", LONG_RUNNING)
    simulation.run(50)
    (task,) = simulation.machine.table.assigned["w0"].values()
    start = StartRun(
        task=task.key,
        run=task.run,
        payload="text",
        lease_end_ms=simulation.dispatcher.fleet.workers["w0"].lease_end_ms,
        fencing_token=simulation.term,
    )
    simulation.lose_leader(downtime_ms=50)
    simulation.run(late_ms)
    lost.execute(start, simulation.now_ms)
    simulation.run(8_000)
    assert simulation.oracle.violations == []


START = StartRun(
    task="", run=0, payload="text", lease_end_ms=0, fencing_token=1
)
STOP = StopRun(task="", run=0, fencing_token=1)
PACE = PaceRun(task="", run=0, percent=20, fencing_token=1)
NEXT_CLOCK_MS = 50


@pytest.mark.parametrize(
    ("order", "answer"),
    [
        pytest.param(START, OrderDone(NEXT_CLOCK_MS), id="start"),
        pytest.param(
            START, OrderRefused(Refusal.OLD, NEXT_CLOCK_MS), id="start-old"
        ),
        pytest.param(
            START,
            OrderRefused(Refusal.NO_ROOM, NEXT_CLOCK_MS),
            id="start-room",
        ),
        pytest.param(
            START, OrderRefused(Refusal.LATE, NEXT_CLOCK_MS), id="start-late"
        ),
        pytest.param(STOP, OrderDone(NEXT_CLOCK_MS), id="stop"),
        pytest.param(
            STOP, OrderRefused(Refusal.OLD, NEXT_CLOCK_MS), id="stop-old"
        ),
        pytest.param(PACE, OrderDone(NEXT_CLOCK_MS), id="pace"),
        pytest.param(
            PACE, OrderRefused(Refusal.OLD, NEXT_CLOCK_MS), id="pace-old"
        ),
    ],
)
def test_answers_of_a_later_process_say_nothing_of_an_earlier_one(
    order: Order, answer: OrderResult
) -> None:
    """Guards against runs judged by a process that never had them.

    Their ages would be differences of two clocks, which exempts them from
    suspicion at a crash, and the earlier process would count as answering.
    """
    simulation = make_simulation()
    simulation.run(30_000)
    lost = simulation.workers["w0"]
    lost.reachable = False
    simulation.submit("job", LONG_RUNNING)
    simulation.run(600)
    dispatcher = simulation.dispatcher
    worker = dispatcher.fleet.workers["w0"]
    run = next(iter(worker.runs.values()))
    dispatcher.handle_renewal_result(
        "w0",
        worker.description.incarnation,
        RenewLease(fencing_token=1, acknowledged_end=0, wait_ms=0),
        NoAnswer(sent=True, reason="no answer"),
        simulation.now().boot_ms,
        simulation.now(),
    )
    silent_since_boot_ms = worker.silent_since_boot_ms
    phase = run.phase
    dispatcher.handle_order_result(
        "w0",
        worker.description.incarnation,
        run.key,
        dataclasses.replace(order, task=run.task_key, run=run.run),
        answer,
        simulation.now().boot_ms,
        simulation.now(),
    )
    assert silent_since_boot_ms is not None
    assert worker.silent_since_boot_ms == silent_since_boot_ms
    assert not worker.answered
    assert run.phase is phase
    assert not run.stop_confirmed
    assert run.pace == FULL_PACE
    assert crash_trials.observed_age_ms(worker, run) == 0


def test_refusals_of_a_later_process_keep_no_run() -> None:
    """Guards against waits for a process that has refused all calls."""
    simulation = make_simulation()
    simulation.run(30_000)
    simulation.submit("job", LONG_RUNNING)
    simulation.run(2_000)
    lost = simulation.workers["w0"]
    assert lost.running
    incarnation = lost.incarnation
    lost.crash()
    renewal = RenewLease(fencing_token=1, acknowledged_end=0, wait_ms=0)
    while simulation.now_ms < 32_000 + RESTART_MAX_MS:
        simulation.run(simulation.settings.retry_ms)
        simulation.dispatcher.handle_renewal_result(
            "w0",
            incarnation,
            renewal,
            OrderRefused(Refusal.UNHEALTHY, simulation.now_ms - 32_000),
            simulation.now().boot_ms,
            simulation.now(),
        )
    assert len(running_tasks(simulation)) == LONG_RUNNING.count
    assert simulation.oracle.violations == []


def test_next_leader_starts_no_run_on_a_later_process() -> None:
    """Guards against tasks on a worker that came back as another kind.

    The leader is lost after it has recorded the later process, but before
    the ends of the runs of the earlier one.
    """
    simulation = make_simulation()
    for worker in simulation.workers.values():
        worker.labels = ("large",)
    simulation.run(1_500)
    simulation.submit(
        "job", msgspec.structs.replace(LONG_RUNNING, required_label="large")
    )
    simulation.run(2_000)
    lost = simulation.workers["w0"]
    assert lost.running
    lost.start_incarnation(simulation.now_ms)
    lost.labels = ("small",)
    simulation.commit_worker(lost.description())
    simulation.service.step_down()
    simulation.lead()
    for _ in range(RESTART_MAX_MS // 5):
        simulation.run(5)
        assert not lost.running
    assert len(running_tasks(simulation)) == LONG_RUNNING.count
    assert simulation.oracle.violations == []


def test_next_leader_restores_the_pace_of_a_run() -> None:
    """Guards against runs held at the pace that an earlier leader set."""
    simulation = make_simulation()
    simulation.run(1_500)
    simulation.submit("job", BEST_EFFORT)
    simulation.run(1_000)
    simulation.service.step_down()
    simulation.lead()
    paced: dict[str, int] = {}
    for worker in simulation.workers.values():
        execute = worker.execute

        def observe(
            order: Order,
            now_ms: int,
            sent_ms: int | None = None,
            execute: Callable[..., OrderResult] = execute,
        ) -> OrderResult:
            if isinstance(order, PaceRun):
                paced[order.task] = order.percent
            return execute(order, now_ms, sent_ms)

        worker.execute = observe
    simulation.run(1_000)
    assert paced == dict.fromkeys(running_tasks(simulation), FULL_PACE)


@pytest.mark.parametrize(("pace", "unanswered"), [(100, 20), (20, 100)])
def test_pace_is_sent_again_after_an_unanswered_order(
    pace: int, unanswered: int
) -> None:
    """Guards against a run that keeps the pace of an unanswered order."""
    simulation = make_simulation()
    simulation.run(1_500)
    simulation.submit("job", BEST_EFFORT)
    simulation.run(1_000)
    worker = next(
        worker
        for worker in simulation.dispatcher.fleet.workers.values()
        if worker.runs
    )
    run = next(iter(worker.runs.values()))
    run.confirm_pace(pace)
    run.target_pace = unanswered
    simulation.dispatcher.handle_order_result(
        worker.worker_id,
        worker.description.incarnation,
        run.key,
        PaceRun(run.task_key, run.run, unanswered, fencing_token=1),
        NoAnswer(sent=True, reason="no answer"),
        simulation.now().boot_ms,
        simulation.now(),
    )
    run.target_pace = pace
    assert run.needs_order


@pytest.mark.parametrize("known", [False, True])
def test_unknown_pace_is_no_reason_to_judge_a_run(known: bool) -> None:
    """Guards against a throttled run that counts as stalled or as small."""
    worker = make_worker("w", 64_000)
    run = add_running(worker, best_effort("batch"), "f")
    now = Instant(1_000_000, 1_000_000)
    run.load = 0
    run.pace_known = known
    run.progress_clock_ms = 0
    stopped: list[RunState] = []

    class Control:
        def stop_run(
            self, worker: WorkerState, run: RunState, reason: str
        ) -> None:
            stopped.append(run)

    WorkerHealth({}).check_progress(worker, 900_000, now, Control())
    assert bool(stopped) is known
    declared = run.step.spec.processors_millicores
    expected = pace_controller._full_pace_millicores(run, now)
    assert (expected < declared) is known


def test_lists_of_another_incarnation_are_not_applied() -> None:
    """Guards against runs that end as they are not on the next process."""
    simulation = make_simulation()
    simulation.run(1_500)
    simulation.submit("job", LONG_RUNNING)
    simulation.run(2_000)
    worker = simulation.dispatcher.fleet.workers["w0"]
    runs = dict(worker.runs)
    assert runs
    now = simulation.now()
    simulation.dispatcher.handle_renewal_result(
        "w0",
        worker.description.incarnation,
        RenewLease(fencing_token=1, acknowledged_end=0, wait_ms=0),
        LeaseRenewed(
            simulation.workers["w0"].clock(simulation.now_ms),
            worker.description.incarnation + 1,
            running=(),
            ended=(),
        ),
        now.boot_ms,
        now,
    )
    assert not worker.answered
    assert worker.runs == runs
    assert all(run.phase is RunPhase.RUNNING for run in runs.values())
    longest_lease_ms = simulation.settings.lease_limit_ms
    assert worker.other_lease_end_boot_ms >= now.boot_ms + longest_lease_ms
