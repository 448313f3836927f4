"""Starts that wait while their worker drains or its zone is evacuated."""

import pytest

from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.worker_reports import PutWorker
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import Simulation

TASKS = 4
STEP = StepSpec(count=TASKS, processors_millicores=500, memory_mb=100)


def vacate(simulation: Simulation, cause: str) -> None:
    """Drain the worker or evacuate its failure domain."""
    worker = simulation.workers["w0"]
    if cause == "drain":
        description = worker.description(draining=True)
        simulation.request_applied(PutWorker(description=description))
    else:
        simulation.request_applied(
            SetEvacuation(failure_domain="centro", evacuated=True)
        )


@pytest.mark.parametrize("cause", ["drain", "evacuation"])
@pytest.mark.parametrize("held_up_ms", [100, 3_000])
@pytest.mark.parametrize("changes_leader", [False, True])
def test_waiting_start_is_given_up_with_its_worker(
    cause: str, held_up_ms: int, changes_leader: bool
) -> None:
    """Guards against a start long after the worker was to be emptied.

    The worker was cut off, or the leader lost, before it got its orders.
    """
    simulation = Simulation(1, workers=1)
    simulation.run(1_500)
    simulation.submit("job", STEP)
    assigned = simulation.machine.table.assigned
    while sum(map(len, assigned.values())) < TASKS:
        simulation.workers["w0"].reachable = False
        simulation.run(5)
    assert simulation.oracle.starts == 0
    vacate(simulation, cause)
    if changes_leader:
        simulation.lose_leader(50)
    simulation.run(held_up_ms)
    simulation.workers["w0"].reachable = True
    simulation.run(8_000)
    assert simulation.oracle.starts == 0
    assert not simulation.machine.table.assigned
    assert len(simulation.machine.table.ready) == 1


def test_given_up_start_follows_elsewhere_at_once() -> None:
    """Guards against tasks that wait for an evacuated worker's lease."""
    simulation = Simulation(1, workers=1)
    simulation.run(1_500)
    simulation.workers["w0"].refuses_starts = True
    simulation.submit("job", STEP)
    simulation.run(300)
    vacate(simulation, "evacuation")
    simulation.workers["w0"].refuses_starts = False
    simulation.run(2_000)
    assert simulation.oracle.starts == 0
    simulation.request_applied(
        SetEvacuation(failure_domain="centro", evacuated=False)
    )
    simulation.run(3_000)
    assert simulation.oracle.starts >= TASKS
    assert simulation.oracle.violations == []
