"""Reports of workers that arrive late, twice or from an earlier process."""

import dataclasses

import msgspec
import pytest

from sardinespool.dispatch.orders import RenewLease
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerLeaves
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import HEARTBEAT_INTERVAL_MS
from testing.dispatch.simulation import Simulation


def report(
    simulation: Simulation,
    sequence: int,
    draining: bool,
    remaining_ms: int = 0,
) -> None:
    """Deliver a heartbeat of worker w0."""
    worker = simulation.workers["w0"]
    simulation.request(
        ReportWorker(
            description=worker.description(draining),
            sequence=sequence,
            clock_ms=worker.clock(simulation.now_ms),
            remaining_ms=remaining_ms,
        )
    )


@pytest.mark.parametrize("changes_leader", [False, True])
def test_late_heartbeat_does_not_undo_draining(changes_leader: bool) -> None:
    """Guards against starts on a worker whose draining was acknowledged.

    A new leader does not know the sequence numbers of earlier heartbeats.
    """
    simulation = Simulation(1)
    simulation.run(1_500)
    report(simulation, 1_000_000, draining=True, remaining_ms=5_000)
    if changes_leader:
        simulation.lose_leader(50)
        simulation.run(60)
    report(simulation, 999_999, draining=False)
    assert simulation.machine.workers["w0"].draining
    assert simulation.dispatcher.fleet.workers["w0"].description.draining


@pytest.mark.parametrize(
    ("draining", "waited_ms", "incarnation", "leaves"),
    [
        # The leave of an earlier process, which has no start time.
        (False, 0, None, False),
        (True, 500, None, False),
        (True, 3_000, None, True),
        # The leave names the start time of its process.
        (False, 0, 1, False),
        (True, 3_000, 1, False),
        (False, 0, 2, True),
    ],
)
def test_late_leave_does_not_remove_the_next_process(
    draining: bool, waited_ms: int, incarnation: int | None, leaves: bool
) -> None:
    """Guards against a second run beside that of a worker taken for gone.

    A worker leaves when the time that its draining reports name has passed.
    """
    simulation = Simulation(1)
    simulation.run(1_500)
    worker = simulation.workers["w0"]
    worker.crash()
    worker.start_incarnation(simulation.now_ms)
    simulation.run(HEARTBEAT_INTERVAL_MS + 100)
    assert simulation.machine.workers["w0"].incarnation == 2
    if draining:
        report(simulation, 1_000_000, draining=True, remaining_ms=2_000)
        simulation.run(waited_ms)
    simulation.request(WorkerLeaves(worker_id="w0", incarnation=incarnation))
    assert ("w0" not in simulation.machine.workers) == leaves
    assert ("w0" not in simulation.dispatcher.fleet.workers) == leaves


def test_heartbeat_of_the_next_process_ends_draining() -> None:
    """Guards against a restarted worker that stays drained."""
    simulation = Simulation(1)
    simulation.run(1_500)
    report(simulation, 1_000_000, draining=True)
    worker = simulation.workers["w0"]
    worker.crash()
    worker.start_incarnation(simulation.now_ms)
    report(simulation, 1, draining=False)
    assert not simulation.machine.workers["w0"].draining
    description = msgspec.structs.replace(worker.description(), incarnation=2)
    assert simulation.machine.workers["w0"] == description


def list_ends(simulation: Simulation, worker_id: str) -> None:
    """Deliver the lists of a worker now."""
    worker = simulation.workers[worker_id]
    simulation.dispatcher.handle_renewal_result(
        worker_id,
        worker.incarnation,
        RenewLease(simulation.term, acknowledged_end=0, wait_ms=0),
        worker.lists(simulation.now_ms),
        simulation.now().boot_ms,
        simulation.now(),
    )


@pytest.mark.parametrize("phase", ["in-commit", "committed", "assigned-again"])
def test_late_end_of_a_run_taken_for_lost_counts(phase: str) -> None:
    """Guards against a second run of a task that is done.

    The run was given up when the lease of its worker seemed to have ended;
    the worker then lists it as done.
    """
    simulation = Simulation(3, workers=2)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
    step = StepSpec(count=1, processors_millicores=3_000, memory_mb=100)
    simulation.submit("job", step, msgspec.structs.replace(step, after=(0,)))
    while simulation.oracle.starts == 0:
        simulation.run(5)
    simulation.run(20)
    (name,) = (
        name for name, worker in simulation.workers.items() if worker.running
    )
    (other,) = simulation.workers.keys() - {name}
    worker = simulation.workers[name]
    state = simulation.dispatcher.fleet.workers[name]
    (run,) = state.runs.values()
    state.avoid_until_boot_ms = simulation.now().boot_ms + 60_000
    # No order of the second run is answered, and none takes effect.
    simulation.workers[other].reachable = False
    simulation.dispatcher.end_run(state, run, "lost", "the lease has ended")
    simulation.run({"in-commit": 5, "committed": 30}.get(phase, 150))
    worker.running[run.task_key].ends_ms = simulation.now_ms
    worker.advance(simulation.now_ms)
    list_ends(simulation, name)
    list_ends(simulation, name)
    simulation.run(30)
    simulation.workers[other].reachable = True
    simulation.run(5_000)
    assert simulation.oracle.violations == []
    assert simulation.oracle.starts == 2
    assert simulation.machine.table.workflows["job"].state == "completed"


@pytest.mark.parametrize(
    ("worker_time_ms", "stops"),
    [(300, False), (2_400, False), (2_700, True)],
)
def test_late_list_is_not_taken_for_a_stall(
    worker_time_ms: int, stops: bool
) -> None:
    """Guards against work that is given up because its report was late.

    The leader was paused, or the report was on its way, for four seconds; the
    worker wrote its lists in less time.
    """
    simulation = Simulation(3, workers=1)
    worker = simulation.workers["w0"]
    worker.hanging = True
    simulation.submit(
        "job", StepSpec(count=1, processors_millicores=1_000, memory_mb=100)
    )
    while simulation.oracle.starts == 0:
        simulation.run(5)
    simulation.run(100)
    lists = worker.lists(simulation.now_ms)
    (run,) = simulation.dispatcher.fleet.workers["w0"].runs.values()
    for listed_ms, received_ms in ((0, 0), (worker_time_ms, 4_000)):
        now = simulation.now().after(received_ms)
        simulation.dispatcher.handle_renewal_result(
            "w0",
            worker.incarnation,
            RenewLease(simulation.term, acknowledged_end=0, wait_ms=0),
            dataclasses.replace(lists, clock_ms=lists.clock_ms + listed_ms),
            now.boot_ms,
            now,
        )
    assert run.stop_requested == stops


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("changes_leader", [False, True])
def test_worker_that_left_is_not_in_use_again(
    changes_leader: bool, restarts: bool
) -> None:
    """Guards against a late heartbeat that registers a departed worker.

    Its next process, which has a later start time, is registered.
    """
    simulation = Simulation(1)
    simulation.run(1_500)
    worker = simulation.workers["w0"]
    late = worker.description()
    simulation.request(
        WorkerLeaves(worker_id="w0", incarnation=worker.incarnation)
    )
    worker.crash()
    if changes_leader:
        snapshot = simulation.machine.snapshot()
        simulation.lose_leader(50)
        simulation.machine.restore(snapshot)
        simulation.run(60)
    simulation.request(
        ReportWorker(description=late, sequence=1_000_000, clock_ms=1)
    )
    assert "w0" not in simulation.machine.workers
    if restarts:
        worker.start_incarnation(simulation.now_ms)
        simulation.run(HEARTBEAT_INTERVAL_MS + 100)
    assert ("w0" in simulation.machine.workers) == restarts
    assert ("w0" in simulation.dispatcher.fleet.workers) == restarts
