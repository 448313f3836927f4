"""Count of waiting jobs while starts are refused, lost or late."""

import pytest

from sardinespool.dispatch.orders import NoAnswer
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.messages.workflows import CountWaiting
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WaitingCount
from testing.dispatch.simulation import HOST
from testing.dispatch.simulation import PREFIX
from testing.dispatch.simulation import Simulation

JOBS = 10
COUNT_AGE_MAX_MS = 2_000
"""Age that callers accept in the count."""
STEP = StepSpec(count=1, processors_millicores=100, memory_mb=10)


def count_waiting(simulation: Simulation) -> int:
    """Return the number of waiting jobs that a caller is told."""
    outcome = simulation.service.handle(
        CountWaiting(host=HOST, path=PREFIX), simulation.now()
    )
    assert isinstance(outcome, ImmediateReply)
    assert isinstance(outcome.reply, WaitingCount)
    return outcome.reply.waiting


def start_simulation() -> Simulation:
    """Return a simulation of one worker whose tasks don't end."""
    simulation = Simulation(1, workers=1)
    simulation.workers["w0"].hanging = True
    simulation.restores_snapshots = True
    simulation.run(1_500)
    return simulation


def submit_jobs(simulation: Simulation, step: StepSpec = STEP) -> None:
    for number in range(JOBS):
        simulation.submit(f"job{number}", step)


@pytest.mark.parametrize("changes_leader", [False, True])
def test_jobs_with_refused_starts_wait(changes_leader: bool) -> None:
    """Guards against a count without the jobs that no worker has begun."""
    simulation = start_simulation()
    worker = simulation.workers["w0"]
    worker.refuses_starts = True
    submit_jobs(simulation)
    for _ in range(60):
        simulation.run(100)
        assert count_waiting(simulation) == JOBS
    assert worker.refused > JOBS
    if changes_leader:
        simulation.lose_leader(50)
        simulation.run(100)
    worker.refuses_starts = False
    simulation.run(2_000 + COUNT_AGE_MAX_MS)
    assert simulation.oracle.starts == JOBS
    assert count_waiting(simulation) == 0


@pytest.mark.parametrize("changes_leader", [False, True])
@pytest.mark.parametrize("carried_out", [False, True])
def test_jobs_with_unanswered_starts_wait_until_a_list_shows_them(
    carried_out: bool, changes_leader: bool
) -> None:
    """Guards against a start without an answer that counts as begun."""
    simulation = start_simulation()
    worker = simulation.workers["w0"]
    submit_jobs(simulation)
    while len(simulation.dispatcher.fleet.workers["w0"].runs) < JOBS:
        simulation.run(5)
    execute = worker.execute
    worker.execute = lambda *order: (  # type: ignore[method-assign]
        execute(*order) if carried_out else None,
        NoAnswer(sent=True, reason="lost"),
    )[1]
    worker.reachable = True
    simulation.run(40)
    assert count_waiting(simulation) == JOBS
    if changes_leader:
        simulation.lose_leader(50)
        simulation.run(60)
    simulation.run(1_500 + COUNT_AGE_MAX_MS)
    assert count_waiting(simulation) == (0 if carried_out else JOBS)


@pytest.mark.parametrize("changes_leader", [False, True])
@pytest.mark.parametrize("step", [STEP, StepSpec(count=2, gang=True)])
def test_job_that_has_begun_never_waits_again(
    step: StepSpec, changes_leader: bool
) -> None:
    """Guards against a count of jobs whose worker was lost later."""
    simulation = start_simulation()
    submit_jobs(simulation, step)
    simulation.run(500 + COUNT_AGE_MAX_MS)
    assert count_waiting(simulation) == 0
    assert simulation.read_state("job0") == "running"
    simulation.workers["w0"].crash()
    if changes_leader:
        simulation.lose_leader(50)
    for _ in range(80):
        simulation.run(100)
        if simulation.serving:
            assert count_waiting(simulation) == 0


def test_next_leader_learns_begun_jobs_from_the_lists() -> None:
    """Guards against begins that are lost with the leader."""
    simulation = start_simulation()
    submit_jobs(simulation)
    while simulation.oracle.starts < JOBS:
        simulation.run(5)
    simulation.lose_leader(50)
    simulation.run(500 + COUNT_AGE_MAX_MS)
    assert count_waiting(simulation) == 0
