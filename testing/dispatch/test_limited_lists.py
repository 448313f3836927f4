"""Workers that list a limited number of ends at a time."""

import dataclasses
import random

import pytest

from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import Simulation
from testing.dispatch.test_faults import run_until_settled
from testing.dispatch.test_faults import submit_jobs


def cut_worker_off(ends: int, limit: int) -> Simulation:
    """Return a simulation in which all runs end behind a cut."""
    simulation = Simulation(1, workers=2)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: 1_000
        worker.ends_listed_max = limit
    simulation.workers["w1"].reachable = False
    simulation.run(1_500)
    simulation.submit(
        "job", StepSpec(count=ends, processors_millicores=1, memory_mb=1)
    )
    while simulation.oracle.starts < ends:
        simulation.run(5)
    simulation.workers["w0"].reachable = False
    simulation.run(2_000)
    for worker in simulation.workers.values():
        worker.reachable = True
    return simulation


@pytest.mark.parametrize("changes_leader", [False, True])
@pytest.mark.parametrize("ends", [499, 500, 501, 1_000])
def test_run_with_an_unlisted_end_is_not_taken_for_lost(
    ends: int, changes_leader: bool
) -> None:
    """Guards against a second run of a task that is done."""
    simulation = cut_worker_off(ends, 500)
    simulation.list_latency_ms = 100
    if changes_leader:
        simulation.lose_leader(50)
    simulation.run(3_000)
    assert simulation.oracle.violations == []
    assert simulation.oracle.starts == ends
    assert simulation.read_state("job") == "completed"


@pytest.mark.parametrize("changes_leader", [False, True])
def test_full_list_with_nothing_behind_it_is_no_obstacle(
    changes_leader: bool,
) -> None:
    """Guards against a leader that waits for further ends forever."""
    simulation = cut_worker_off(6, 6)
    if changes_leader:
        simulation.lose_leader(50)
    simulation.run(1_500)
    state = simulation.dispatcher.fleet.workers["w0"]
    assert state.last_listed_end == 6
    assert state.reconciled
    assert not state.has_unlisted_ends
    assert not state.runs
    simulation.submit(
        "next", StepSpec(count=2, processors_millicores=3_000, memory_mb=100)
    )
    simulation.run(3_000)
    assert simulation.read_state("next") == "completed"


def test_new_leader_waits_for_the_complete_list() -> None:
    """Guards against orders for runs whose ends are not listed yet."""
    simulation = cut_worker_off(9, 4)
    simulation.lose_leader(5)
    simulation.run(5)
    state = simulation.dispatcher.fleet.workers["w0"]
    for listed in (4, 8):
        while state.last_listed_end < listed:
            simulation.run(5)
        assert not state.reconciled
        assert (
            simulation.dispatcher.orders.next_order("w0", simulation.now())
            is None
        )
    simulation.run(500)
    assert state.reconciled
    assert simulation.oracle.starts == 9


@pytest.mark.parametrize("is_complete", [True, False])
def test_missing_run_is_lost_only_by_a_complete_list(
    is_complete: bool,
) -> None:
    """Guards against a run that is given up, or kept forever, by mistake."""
    simulation = Simulation(1, workers=1)
    worker = simulation.workers["w0"]
    worker.hanging = True
    simulation.submit(
        "job", StepSpec(count=1, processors_millicores=1_000, memory_mb=100)
    )
    while simulation.oracle.starts == 0:
        simulation.run(5)
    simulation.run(100)
    (run,) = simulation.dispatcher.fleet.workers["w0"].runs.values()
    later = simulation.now().after(4_000)
    simulation.dispatcher.handle_renewal_result(
        "w0",
        worker.incarnation,
        RenewLease(simulation.term, acknowledged_end=0, wait_ms=0),
        dataclasses.replace(
            worker.lists(simulation.now_ms),
            clock_ms=worker.clock(simulation.now_ms) + 4_000,
            running=(),
            is_complete=is_complete,
        ),
        later.boot_ms,
        later,
    )
    assert (run.phase is RunPhase.ENDED) == is_complete
    assert not run.stop_requested


def test_ends_listed_out_of_order_are_all_recorded() -> None:
    """Guards against an acknowledgement of an end that was passed over."""
    simulation = cut_worker_off(6, 500)
    worker = simulation.workers["w0"]
    lists = worker.lists(simulation.now_ms)
    simulation.dispatcher.handle_renewal_result(
        "w0",
        worker.incarnation,
        RenewLease(simulation.term, acknowledged_end=0, wait_ms=0),
        dataclasses.replace(lists, ended=lists.ended[::-1]),
        simulation.now().boot_ms,
        simulation.now(),
    )
    simulation.run(1_000)
    assert simulation.oracle.starts == 6
    assert simulation.read_state("job") == "completed"


@pytest.mark.parametrize("seed", range(12))
def test_limited_lists_break_no_rule(seed: int) -> None:
    """Guards against second runs beside cuts, lost leaders and late orders."""
    simulation = Simulation(seed)
    simulation.faults.unanswered = 0.05
    simulation.faults.late = 0.5
    rng = random.Random(seed)

    def set_reachable(worker_id: str, reachable: bool) -> None:
        simulation.workers[worker_id].reachable = reachable

    for worker in simulation.workers.values():
        worker.ends_listed_max = rng.randint(1, 3)
    for delay_ms in range(300, 6_000, 1_200):
        worker_id = rng.choice(sorted(simulation.workers))
        simulation.at(delay_ms, lambda w=worker_id: set_reachable(w, False))
        simulation.at(
            delay_ms + rng.randint(500, 4_000),
            lambda w=worker_id: set_reachable(w, True),
        )
        if rng.random() < 0.4:
            simulation.at(
                delay_ms,
                lambda: (
                    simulation.lose_leader(rng.randint(50, 1_500))
                    if simulation.serving
                    else None
                ),
            )
    run_until_settled(simulation, submit_jobs(simulation, seed))
